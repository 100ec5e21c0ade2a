"""Links between processes: messages over Twisted's AMP, one connection from each dialler to each one
dialled.

Owns the connections and knows the process at the far end of each. A peer that sends something else costs
its own connection, and one that reads nothing costs a bounded queue of unsent bytes, then its connection.
It must never look into a message beyond its form, nor send one again: the cores repeat requests by
themselves.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import msgspec
from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols import amp

from linenbridge.fleet.leases.messages import Message
from linenbridge.logging.event_log import Log

WORD_MOST = 60_000  # AMP's values end at 65,535 bytes
UNSENT_MOST = 1 << 20  # bytes queued for a peer that reads nothing; beyond them its link is dropped
CONNECT_WAIT, AGAIN_FROM, AGAIN_MOST = 5.0, 0.1, 2.0
WELL_FORMED = re.compile(r"[A-Za-z0-9][A-Za-z0-9._\-]{0,62}")  # the schema's type `name`
ANY = "any"  # stands for all names in the counters where names are not in the settings

_encode, _decode = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


class Meet(amp.Command):
    """The name of the member at this end, sent once before any message."""

    arguments = [(b"name", amp.Unicode())]
    requiresAnswer = False


class Say(amp.Command):
    """One message of a core."""

    arguments = [(b"word", amp.String())]
    requiresAnswer = False


class Names(Protocol):
    """Who may name itself at the far end of a link: a set of names, or a rule."""

    def __contains__(self, name: object, /) -> bool: ...


class WellFormedNames:
    """The rule for links of processes that no settings list: any well-formed name that begins with
    `prefix`. The links that use it need a bound on connections."""

    def __init__(self, prefix: str = "") -> None:
        self.prefix = prefix

    def __contains__(self, name: object, /) -> bool:
        return isinstance(name, str) and name.startswith(self.prefix) and bool(WELL_FORMED.fullmatch(name))


class Outbox:
    """What is written to one connection: no more than a bound waits for a far end that does not read.

    Twisted's producer: it is paused while the transport's own buffer is full.
    """

    def __init__(self, transport: Any, most: int, full: Callable[[int], None]) -> None:
        self.transport, self.most, self.full = transport, most, full
        self.waiting: deque[bytes] = deque()
        self.bytes = 0  # of those that wait
        self.paused = self.ended = False
        transport.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        if self.ended:
            return
        if not self.paused:
            self.transport.write(data)
            return
        self.waiting.append(data)
        self.bytes += len(data)
        if self.bytes > self.most:
            waited = self.bytes
            self.stopProducing()
            self.full(waited)

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        while self.waiting and not self.paused:
            data = self.waiting.popleft()
            self.bytes -= len(data)
            self.transport.write(data)

    def stopProducing(self) -> None:
        self.ended = True
        self.waiting.clear()
        self.bytes = 0


class Link(amp.AMP):
    """One connection. `far` is the name of the process at the other end, as it says itself."""

    noisy, far, quiet, outbox = False, "", None, None

    def __init__(self, links: Links) -> None:
        super().__init__()
        self.links = links

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.outbox = Outbox(self.transport, self.links.unsent_most, self._unread)
        self.callRemote(Meet, name=self.links.name)
        self.links.open.add(self)
        self.quiet = self.links.reactor.callLater(CONNECT_WAIT, self.transport.abortConnection)

    @Meet.responder
    def meet(self, name: str) -> dict:
        if name not in self.links.known or self.far:
            self.links.rarely("link.stranger", name[:64])
            self.transport.abortConnection()
            return {}
        self.far = name
        self.quiet.cancel()
        self.links.met(self)
        return {}

    @Say.responder
    def heard(self, word: bytes) -> dict:
        try:
            if not self.far:
                raise msgspec.ValidationError("a word before the name")
            decoded = self.links.decoder.decode(word)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self._malformed(error)
        else:
            self.links.hear(self.far, decoded)
        return {}

    def unhandledError(self, failure: Any) -> None:
        self._malformed(failure.value)

    def _malformed(self, error: BaseException) -> None:
        self.links.rarely("link.malformed", self.far, error=str(error))
        self.transport.abortConnection()

    def sendBox(self, box: amp.AmpBox) -> None:
        """Words and AMP's own answers alike."""
        if self.outbox is not None:
            self.outbox.write(box.serialize())

    def _unread(self, waited: int) -> None:
        self.links.rarely("link.unread", self.far, bytes=waited)
        self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        super().connectionLost(reason)
        if self.quiet is not None and self.quiet.active():
            self.quiet.cancel()
        self.links.lost(self)


class Links(Factory):
    """All links of one process. `hear(far, message)` is called for each message; `known` are the others'
    names.

    `decoder` is that of the messages that are understood; `connections` bounds how many stand at once
    (without it, as many as the names known can have any use for); `changed(far, up)` is told when the
    first link of a name is met and when its last is lost.
    """

    noisy = False

    def __init__(
        self, name: str, known: Names, reactor: Any, log: Log, hear: Callable[[str, Any], None], *,
        decoder: msgspec.msgpack.Decoder = _decode, connections: int | None = None,
        unsent_most: int = UNSENT_MOST, changed: Callable[[str, bool], None] = lambda far, up: None,
    ) -> None:  # fmt: skip
        if connections is None and not isinstance(known, frozenset):
            raise ValueError("links to names by a rule need a bound on connections")
        self.name, self.known, self.reactor, self.log, self.hear = name, known, reactor, log, hear
        self.decoder, self.connections, self.unsent_most = decoder, connections, unsent_most
        self.changed = changed
        self.open: set[Link] = set()
        self.to: dict[str, Link] = {}  # by the far end's name
        self.dialled: dict[str, tuple[ClientService, tuple[str, int]]] = {}

    def buildProtocol(self, addr: Any) -> Link | None:
        """Accept a connection, unless as many are open as the bound."""
        most = 4 * len(self.known) + 16 if self.connections is None else self.connections
        if len(self.open) >= most:
            self.log.rarely("link.too_many", "all")
            return None
        return Link(self)

    def rarely(self, event: str, far: str, **fields: object) -> None:
        """Counted by name only where the settings hold the names: a peer can make up any number of others."""
        if isinstance(self.known, frozenset):
            self.log.rarely(event, far, **fields)
        else:
            self.log.rarely(event, ANY, far=far, **fields)

    def dial(self, acceptor: str, address: tuple[str, int]) -> None:
        """Keep a connection to a process; after a failure it is opened again with exponential backoff and
        jitter."""
        if acceptor in self.dialled and self.dialled[acceptor][1] == address:
            return
        self.drop(acceptor)
        endpoint = TCP4ClientEndpoint(self.reactor, *address, timeout=CONNECT_WAIT)
        policy = backoffPolicy(initialDelay=AGAIN_FROM, maxDelay=AGAIN_MOST)
        service = ClientService(endpoint, self, retryPolicy=policy, clock=self.reactor)
        self.dialled[acceptor] = service, address
        service.startService()

    def drop(self, acceptor: str) -> None:
        """Close the connection to an acceptor and don't open it again."""
        if acceptor in self.dialled:
            self.dialled.pop(acceptor)[0].stopService()

    def met(self, link: Link) -> None:
        """The far end has named itself: the newest connection of a name is the one that is written to."""
        first = link.far not in self.to
        self.to[link.far] = link
        self.rarely("link.up", link.far)
        if first:
            self.changed(link.far, True)

    def lost(self, link: Link) -> None:
        """A connection has closed."""
        self.open.discard(link)
        if self.to.get(link.far) is link:
            del self.to[link.far]
            self.rarely("link.lost", link.far)
            self.changed(link.far, False)

    def say(self, to: str, word: Any) -> None:
        """Send a message to a member; without a connection it is lost, as on any network."""
        link, data = self.to.get(to), _encode.encode(word)
        if link is None or link.transport is None:
            return
        if len(data) > WORD_MOST:
            self.rarely("link.too_long", to, bytes=len(data))
            return
        link.callRemote(Say, word=data)

    def close(self) -> None:
        """Close all connections."""
        for acceptor in list(self.dialled):
            self.drop(acceptor)
        for link in list(self.open):
            link.transport.loseConnection()


def later(reactor: Any, call: Callable[..., None], *args: object) -> None:
    """Deliver a message to this member itself by the reactor, as any other is."""
    reactor.callLater(0, partial(call, *args))
