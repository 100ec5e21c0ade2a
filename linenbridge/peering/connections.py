"""Connections between processes: messages over Twisted's AMP, one connection from each dialler to each one
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

MAX_MESSAGE_BYTES = 60_000  # AMP's values end at 65,535 bytes
MAX_UNSENT_BYTES = 1 << 20  # bytes queued for a peer that reads nothing; beyond them, no connection
CONNECT_TIMEOUT = 5.0  # seconds, of a connection attempt and of the wait for a peer's name
MIN_RECONNECT_DELAY = 0.1  # seconds
MAX_RECONNECT_DELAY = 2.0  # seconds
WELL_FORMED_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._\-]{0,62}")  # the schema's type `name`
ANY_PEER = "any"  # stands for all names in the counters where names are not in the settings

_encode, _decode = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


class Hello(amp.Command):
    """The name of the member at this end, sent once before any message."""

    commandName = b"Meet"  # on the wire

    arguments = [(b"name", amp.Unicode())]
    requiresAnswer = False


class Deliver(amp.Command):
    """One message of a core."""

    commandName = b"Say"  # on the wire

    arguments = [(b"word", amp.String())]
    requiresAnswer = False


class PeerNames(Protocol):
    """Who may name itself at the far end of a connection: a set of names, or a rule."""

    def __contains__(self, name: object, /) -> bool: ...


class WellFormedNames:
    """The rule for links of processes that no settings list: any well-formed name that begins with
    `prefix`. The links that use it need a bound on connections."""

    def __init__(self, prefix: str = "") -> None:
        self.prefix = prefix

    def __contains__(self, name: object, /) -> bool:
        return (
            isinstance(name, str) and name.startswith(self.prefix) and bool(WELL_FORMED_NAME.fullmatch(name))
        )


class SendBuffer:
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


class PeerConnection(amp.AMP):
    """One connection. `peer` is the name of the process at the other end, as it says itself."""

    noisy, peer, hello_timer, send_buffer = False, "", None, None

    def __init__(self, connections: PeerConnections) -> None:
        super().__init__()
        self.connections = connections

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.send_buffer = SendBuffer(self.transport, self.connections.max_unsent_bytes, self._unread)
        self.callRemote(Hello, name=self.connections.name)
        self.connections.open_connections.add(self)
        self.hello_timer = self.connections.reactor.callLater(CONNECT_TIMEOUT, self.transport.abortConnection)

    @Hello.responder
    def on_hello(self, name: str) -> dict:
        if name not in self.connections.peer_names or self.peer:
            self.connections.rarely("link.stranger", name[:64])
            self.transport.abortConnection()
            return {}
        self.peer = name
        self.hello_timer.cancel()
        self.connections.on_connected(self)
        return {}

    @Deliver.responder
    def on_deliver(self, word: bytes) -> dict:
        try:
            if not self.peer:
                raise msgspec.ValidationError("a word before the name")
            decoded = self.connections.decoder.decode(word)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self._malformed(error)
        else:
            self.connections.on_message(self.peer, decoded)
        return {}

    def unhandledError(self, failure: Any) -> None:
        self._malformed(failure.value)

    def _malformed(self, error: BaseException) -> None:
        self.connections.rarely("link.malformed", self.peer, error=str(error))
        self.transport.abortConnection()

    def sendBox(self, box: amp.AmpBox) -> None:
        """Words and AMP's own answers alike."""
        if self.send_buffer is not None:
            self.send_buffer.write(box.serialize())

    def _unread(self, waited: int) -> None:
        self.connections.rarely("link.unread", self.peer, bytes=waited)
        self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        super().connectionLost(reason)
        if self.hello_timer is not None and self.hello_timer.active():
            self.hello_timer.cancel()
        self.connections.on_disconnected(self)


class PeerConnections(Factory):
    """All connections of one process. `on_message(peer, message)` is called for each message; `peer_names`
    are the others' names.

    `decoder` is that of the messages that are understood; `max_connections` bounds how many stand at once
    (without it, as many as the names known can have any use for); `on_peer_changed(peer, connected)` is told
    when the first connection of a name is met and when its last is lost.
    """

    noisy = False

    def __init__(
        self, name: str, peer_names: PeerNames, reactor: Any, log: Log,
        on_message: Callable[[str, Any], None], *,
        decoder: msgspec.msgpack.Decoder = _decode, max_connections: int | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        on_peer_changed: Callable[[str, bool], None] = lambda peer, connected: None,
    ) -> None:  # fmt: skip
        if max_connections is None and not isinstance(peer_names, frozenset):
            raise ValueError("links to names by a rule need a bound on connections")
        self.name, self.peer_names, self.reactor, self.log, self.on_message = (
            name,
            peer_names,
            reactor,
            log,
            on_message,
        )
        self.decoder, self.max_connections, self.max_unsent_bytes = decoder, max_connections, max_unsent_bytes
        self.on_peer_changed = on_peer_changed
        self.open_connections: set[PeerConnection] = set()
        self.by_peer: dict[str, PeerConnection] = {}  # by the far end's name
        self.dialled: dict[str, tuple[ClientService, tuple[str, int]]] = {}

    def buildProtocol(self, addr: Any) -> PeerConnection | None:
        """Accept a connection, unless as many are open as the bound."""
        most = 4 * len(self.peer_names) + 16 if self.max_connections is None else self.max_connections
        if len(self.open_connections) >= most:
            self.log.rarely("link.too_many", "all")
            return None
        return PeerConnection(self)

    def rarely(self, event: str, peer: str, **fields: object) -> None:
        """Counted by name only where the settings hold the names: a peer can make up any number of others."""
        if isinstance(self.peer_names, frozenset):
            self.log.rarely(event, peer, **fields)
        else:
            self.log.rarely(event, ANY_PEER, far=peer, **fields)

    def dial(self, peer: str, address: tuple[str, int]) -> None:
        """Keep a connection to a process; after a failure it is opened again with exponential backoff and
        jitter."""
        if peer in self.dialled and self.dialled[peer][1] == address:
            return
        self.disconnect(peer)
        endpoint = TCP4ClientEndpoint(self.reactor, *address, timeout=CONNECT_TIMEOUT)
        policy = backoffPolicy(initialDelay=MIN_RECONNECT_DELAY, maxDelay=MAX_RECONNECT_DELAY)
        service = ClientService(endpoint, self, retryPolicy=policy, clock=self.reactor)
        self.dialled[peer] = service, address
        service.startService()

    def disconnect(self, peer: str) -> None:
        """Close the connection to an acceptor and don't open it again."""
        if peer in self.dialled:
            self.dialled.pop(peer)[0].stopService()

    def on_connected(self, connection: PeerConnection) -> None:
        """The far end has named itself: the newest connection of a name is the one that is written to."""
        first = connection.peer not in self.by_peer
        self.by_peer[connection.peer] = connection
        self.rarely("link.up", connection.peer)
        if first:
            self.on_peer_changed(connection.peer, True)

    def on_disconnected(self, connection: PeerConnection) -> None:
        """A connection has closed."""
        self.open_connections.discard(connection)
        if self.by_peer.get(connection.peer) is connection:
            del self.by_peer[connection.peer]
            self.rarely("link.lost", connection.peer)
            self.on_peer_changed(connection.peer, False)

    def send(self, peer: str, message: Any) -> None:
        """Send a message to a member; without a connection it is lost, as on any network."""
        connection, data = self.by_peer.get(peer), _encode.encode(message)
        if connection is None or connection.transport is None:
            return
        if len(data) > MAX_MESSAGE_BYTES:
            self.rarely("link.too_long", peer, bytes=len(data))
            return
        connection.callRemote(Deliver, word=data)

    def close(self) -> None:
        """Close all connections."""
        for peer in list(self.dialled):
            self.disconnect(peer)
        for connection in list(self.open_connections):
            connection.transport.loseConnection()


def call_soon(reactor: Any, call: Callable[..., None], *args: object) -> None:
    """Deliver a message to this member itself by the reactor, as any other is."""
    reactor.callLater(0, partial(call, *args))
