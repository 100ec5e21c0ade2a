"""Links between members: words over Twisted's AMP, one connection from each member to each acceptor.

Owns the connections and who is at their far ends. A peer that sends what is no word costs its own
connection. It must never look into a word beyond its form, hold more than one connection's unsent words,
nor retry one: the cores ask anew by themselves.
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
    """Who is at this end, once, before any word."""

    arguments = [(b"name", amp.Unicode())]
    requiresAnswer = False


class Say(amp.Command):
    """One word of a core."""

    arguments = [(b"word", amp.String())]
    requiresAnswer = False


class Link(amp.AMP):
    """One connection. `far` is the name of the member at the other end, as it says itself."""

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
    """All links of one member. `hear(far, word)` is called for each word; `known` are the others by name."""

    noisy = False

    def __init__(
        self, name: str, known: frozenset[str], reactor: Any, log: Log, hear: Callable[[str, Any], None]
    ) -> None:
        self.name, self.known, self.reactor, self.log, self.hear = name, known, reactor, log, hear
        self.open: set[Link] = set()
        self.to: dict[str, Link] = {}  # by the far end's name
        self.dialled: dict[str, tuple[ClientService, tuple[str, int]]] = {}

    def buildProtocol(self, addr: Any) -> Link | None:
        """No more connections at once than the members known can have any use for."""
        if len(self.open) >= 4 * len(self.known) + 16:
            self.log.rarely("link.too_many", "all")
            return None
        return Link(self)

    def dial(self, acceptor: str, address: tuple[str, int]) -> None:
        """Keep a link to an acceptor; it is taken up again after a while of chance, ever longer."""
        if acceptor in self.dialled and self.dialled[acceptor][1] == address:
            return
        self.drop(acceptor)
        endpoint = TCP4ClientEndpoint(self.reactor, *address, timeout=CONNECT_WAIT)
        policy = backoffPolicy(initialDelay=AGAIN_FROM, maxDelay=AGAIN_MOST)
        service = ClientService(endpoint, self, retryPolicy=policy, clock=self.reactor)
        self.dialled[acceptor] = service, address
        service.startService()

    def drop(self, acceptor: str) -> None:
        if acceptor in self.dialled:
            self.dialled.pop(acceptor)[0].stopService()

    def met(self, link: Link) -> None:
        """The newest connection of a name is the one that is written to."""
        self.to[link.far] = link
        self.log.rarely("link.up", link.far)

    def lost(self, link: Link) -> None:
        self.open.discard(link)
        if self.to.get(link.far) is link:
            del self.to[link.far]
            self.log.rarely("link.lost", link.far)

    def say(self, to: str, word: Any) -> None:
        """To a name that is there; else it is lost, as on any network."""
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
        for acceptor in list(self.dialled):
            self.drop(acceptor)
        for link in list(self.open):
            link.transport.loseConnection()


def later(reactor: Any, call: Callable[..., None], *args: object) -> None:
    """A word to oneself takes the same way round the reactor as any other."""
    reactor.callLater(0, partial(call, *args))
