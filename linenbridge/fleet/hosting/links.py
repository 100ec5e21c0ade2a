"""Links between members: messages over Twisted's AMP, one connection from each member to each acceptor.

Owns the connections and knows the member at the far end of each. A peer that sends something else costs
its own connection. It must never look into a message beyond its form, buffer more than one connection's
unsent messages, nor send one again: the cores repeat requests by themselves.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols import amp

from linenbridge.fleet.leases.messages import Message
from linenbridge.net.log import Log

WORD_MOST = 60_000  # AMP's values end at 65,535 bytes
UNSENT_MOST = 1 << 20  # of a peer that reads nothing; then its link is dropped
CONNECT_WAIT, AGAIN_FROM, AGAIN_MOST = 5.0, 0.1, 2.0

_encode, _decode = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


class Meet(amp.Command):
    """The name of the member at this end, sent once before any message."""

    arguments = [(b"name", amp.Unicode())]
    requiresAnswer = False


class Say(amp.Command):
    """One message of a core."""

    arguments = [(b"word", amp.String())]
    requiresAnswer = False


class Link(amp.AMP):
    """One connection. `far` is the name of the member at the other end, by its own word."""

    noisy, far, quiet = False, "", None

    def __init__(self, links: Links) -> None:
        super().__init__()
        self.links = links

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.callRemote(Meet, name=self.links.name)
        self.links.open.add(self)
        self.quiet = self.links.reactor.callLater(CONNECT_WAIT, self.transport.abortConnection)

    @Meet.responder
    def meet(self, name: str) -> dict:
        if name not in self.links.known or self.far:
            self.links.log.rarely("link.stranger", name[:64])
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
            self.links.hear(self.far, _decode.decode(word))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self.links.log.rarely("link.malformed", self.far, error=str(error))
            self.transport.abortConnection()
        return {}

    def unhandledError(self, failure: Any) -> None:
        self.links.log.rarely("link.malformed", self.far, error=str(failure.value))
        self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        super().connectionLost(reason)
        if self.quiet is not None and self.quiet.active():
            self.quiet.cancel()
        self.links.lost(self)


class Links(Factory):
    """All links of one member. `hear(far, message)` is called for each message; `known` are the other
    members' names."""

    noisy = False

    def __init__(
        self, name: str, known: frozenset[str], reactor: Any, log: Log, hear: Callable[[str, Any], None]
    ) -> None:
        self.name, self.known, self.reactor, self.log, self.hear = name, known, reactor, log, hear
        self.open: set[Link] = set()
        self.to: dict[str, Link] = {}  # by the far end's name
        self.dialled: dict[str, tuple[ClientService, tuple[str, int]]] = {}

    def buildProtocol(self, addr: Any) -> Link | None:
        """Accept a connection, unless more are open than the known members can use."""
        if len(self.open) >= 4 * len(self.known) + 16:
            self.log.rarely("link.too_many", "all")
            return None
        return Link(self)

    def dial(self, acceptor: str, address: tuple[str, int]) -> None:
        """Keep a connection to an acceptor; after a failure it is opened again with exponential backoff
        and jitter."""
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
        self.to[link.far] = link
        self.log.rarely("link.up", link.far)

    def lost(self, link: Link) -> None:
        """A connection has closed."""
        self.open.discard(link)
        if self.to.get(link.far) is link:
            del self.to[link.far]
            self.log.rarely("link.lost", link.far)

    def say(self, to: str, word: Any) -> None:
        """Send a message to a member; without a connection it is lost, as on any network."""
        link, data = self.to.get(to), _encode.encode(word)
        if link is None or link.transport is None:
            return
        if len(data) > WORD_MOST:
            self.log.rarely("link.too_long", to, bytes=len(data))
            return
        if len(getattr(link.transport, "dataBuffer", b"")) > UNSENT_MOST:
            link.transport.abortConnection()
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
