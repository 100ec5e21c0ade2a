"""Connections between processes: messages over Twisted's AMP, one connection to each dialled process.

Owns the connections, their send buffers and the name of the process at the far end of each. The connection of
a peer is closed when the peer sends anything but valid messages, or when it reads nothing until the bounded
send buffer is full. A message is only decoded and checked for its form, and is sent once: the caller repeats
requests. The caller also defines the set of messages by passing their decoder.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, ClassVar, Protocol

import msgspec
from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols import amp
from twisted.python.failure import Failure

from linenbridge.logging.event_log import Log

MAX_MESSAGE_BYTES = 60_000  # an AMP value has at most 65,535 bytes
MAX_UNSENT_BYTES = 1 << 20  # in the send buffer of one connection
MAX_LOGGED_NAME = 64  # characters of an unauthorized name
CONNECT_TIMEOUT = 5.0  # seconds to connect, and then to receive the peer's name
MIN_RECONNECT_DELAY = 0.1  # seconds
MAX_RECONNECT_DELAY = 2.0  # seconds
CONNECTIONS_PER_PEER = 4  # of the default bound: both sides dial, and earlier ones may not have timed out
SPARE_CONNECTIONS = 16  # of the default bound: for peers that have not sent their names
WELL_FORMED_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._\-]{0,62}")  # the schema's type `name`
ANY_PEER = "any"  # the counters' label for all peers whose names are not in the settings
ALL_PEERS = "all"  # the counters' label of events that concern no single peer

_encoder = msgspec.msgpack.Encoder()


class Hello(amp.Command):
    """The name of the sending process, sent once before any message."""

    commandName = b"Meet"  # on the wire
    arguments: ClassVar = [(b"name", amp.Unicode())]
    requiresAnswer = False


class Deliver(amp.Command):
    """One message, encoded as MessagePack."""

    commandName = b"Say"  # on the wire
    arguments: ClassVar = [(b"word", amp.String())]
    requiresAnswer = False


class PeerNames(Protocol):
    """The names that peers may have: a set of names, or a rule."""

    def __contains__(self, name: object, /) -> bool:
        """Return whether a peer may have the name."""


class WellFormedNames:
    """The rule for processes that are not listed in settings: any well-formed name that begins with `prefix`.

    `PeerConnections` with this rule require a bound on their number.
    """

    def __init__(self, prefix: str = "") -> None:
        """Allow names that begin with `prefix`."""
        self.prefix = prefix

    def __contains__(self, name: object, /) -> bool:
        """Return whether the name is well formed and begins with the prefix."""
        return (
            isinstance(name, str) and name.startswith(self.prefix) and bool(WELL_FORMED_NAME.fullmatch(name))
        )


class PeerChanged(Protocol):
    """Called when the first connection of a peer is established and when its last one is lost."""

    def __call__(self, peer: str, *, connected: bool) -> None:
        """The peer's name, and whether it is connected now."""


def ignore_peer_change(peer: str, *, connected: bool) -> None:
    """Do nothing: for callers that need no `PeerChanged`."""


class SendBuffer:
    """The unsent bytes of one connection, bounded by `max_bytes`.

    The buffer is a push producer in Twisted's sense: it is paused while the transport's own buffer is full.
    When the unsent bytes exceed the bound, it discards all of them, ignores later writes, and calls
    `on_overflow` with the number of bytes discarded.
    """

    def __init__(self, transport: Any, max_bytes: int, on_overflow: Callable[[int], None]) -> None:
        """Register with the transport as its producer."""
        self.transport = transport
        self.max_bytes = max_bytes
        self.on_overflow = on_overflow
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.paused = False
        self.stopped = False
        transport.registerProducer(self, streaming=True)

    def write(self, data: bytes) -> None:
        """Send `data` now, or once the transport's own buffer has room."""
        if self.stopped:
            return
        if not self.paused:
            self.transport.write(data)
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        if self.waiting_bytes > self.max_bytes:
            discarded = self.waiting_bytes
            self.stopProducing()
            self.on_overflow(discarded)

    def pauseProducing(self) -> None:
        """Stop writing to the transport; Twisted calls this when the transport's buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Write the waiting data; Twisted calls this when the transport's buffer is sent."""
        self.paused = False
        while self.waiting and not self.paused:
            data = self.waiting.popleft()
            self.waiting_bytes -= len(data)
            self.transport.write(data)

    def stopProducing(self) -> None:
        """Discard the waiting data; Twisted calls this when the connection is lost."""
        self.stopped = True
        self.waiting.clear()
        self.waiting_bytes = 0


class PeerConnection(amp.AMP):
    """One connection. `peer` is the name that the process at the far end has sent, empty before that."""

    noisy = False
    transport: Any  # a TCP transport: Twisted declares the general type

    def __init__(self, connections: PeerConnections) -> None:
        """Create a connection of `connections`, which passes messages on and counts events."""
        super().__init__()
        self.connections = connections
        self.peer = ""
        self.hello_timer: Any = None
        self.send_buffer: SendBuffer | None = None

    def connectionMade(self) -> None:
        """Send this process's name, and set a timer for the peer's name."""
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.send_buffer = SendBuffer(
            self.transport, self.connections.max_unsent_bytes, self._on_send_buffer_full
        )
        self.callRemote(Hello, name=self.connections.name)
        self.connections.open_connections.add(self)
        self.hello_timer = self.connections.reactor.callLater(CONNECT_TIMEOUT, self.transport.abortConnection)

    @Hello.responder
    def on_hello(self, name: str) -> dict[str, Any]:
        """Register the peer's name; abort the connection on an unauthorized name or a second one."""
        if name not in self.connections.peer_names or self.peer:
            self.connections.log_sampled("peer.unauthorized", name[:MAX_LOGGED_NAME])
            self.transport.abortConnection()
            return {}
        self.peer = name
        self.hello_timer.cancel()
        self.connections.on_connected(self)
        return {}

    @Deliver.responder
    def on_deliver(self, word: bytes) -> dict[str, Any]:
        """Decode one message and pass it on. AMP names the parameter after the argument's key on the wire."""
        try:
            if not self.peer:
                raise msgspec.ValidationError("a message was received before the peer's name")
            message = self.connections.decoder.decode(word)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self._on_malformed(error)
        else:
            self.connections.on_message(self.peer, message)
        return {}

    def unhandledError(self, failure: Failure) -> None:
        """Abort the connection on a box that is not a command of this protocol."""
        self._on_malformed(failure.value)

    def _on_malformed(self, error: BaseException) -> None:
        self.connections.log_sampled("peer.malformed", self.peer, error=str(error))
        self.transport.abortConnection()

    def sendBox(self, box: amp.AmpBox) -> None:
        """Write a command, or an answer that AMP itself sends, to the send buffer."""
        if self.send_buffer is not None:
            self.send_buffer.write(box.serialize())

    def _on_send_buffer_full(self, discarded: int) -> None:
        self.connections.log_sampled("peer.send_buffer_full", self.peer, bytes=discarded)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the timer and remove the connection."""
        super().connectionLost(reason)
        if self.hello_timer is not None and self.hello_timer.active():
            self.hello_timer.cancel()
        self.connections.on_disconnected(self)


class PeerConnections(Factory):
    """All connections of one process under one name.

    `on_message(peer, message)` is called for each message that `decoder` decodes. `peer_names` are the names
    that peers may have. `max_connections` bounds the open connections; its default is computed from the
    number of names, so `peer_names` has to be a frozenset then. `on_peer_changed` is called when the first
    connection of a peer is established and when its last one is lost.
    """

    noisy = False

    def __init__(
        self,
        name: str,
        peer_names: PeerNames,
        reactor: Any,
        log: Log,
        on_message: Callable[[str, Any], None],
        *,
        decoder: msgspec.msgpack.Decoder[Any],
        max_connections: int | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        on_peer_changed: PeerChanged = ignore_peer_change,
    ) -> None:
        """Raise ValueError if `peer_names` is a rule and `max_connections` is None."""
        if max_connections is None and not isinstance(peer_names, frozenset):
            raise ValueError(
                "peer_names is a rule, which requires a bound on connections; set max_connections"
            )
        self.name = name
        self.peer_names = peer_names
        self.reactor = reactor
        self.log = log
        self.on_message = on_message
        self.decoder = decoder
        self.max_connections = max_connections
        self.max_unsent_bytes = max_unsent_bytes
        self.on_peer_changed = on_peer_changed
        self.open_connections: set[PeerConnection] = set()
        self.by_peer: dict[str, PeerConnection] = {}  # the newest connection of each peer
        self.dialled: dict[str, tuple[ClientService, tuple[str, int]]] = {}

    def buildProtocol(self, addr: Any) -> PeerConnection | None:  # noqa: ARG002  (Twisted's signature)
        """Accept a connection unless the bound on open connections is reached."""
        if len(self.open_connections) >= self._connection_bound():
            self.log.event_sampled("peer.too_many_connections", ALL_PEERS)
            return None
        return PeerConnection(self)

    def _connection_bound(self) -> int:
        if self.max_connections is not None or not isinstance(self.peer_names, frozenset):
            return self.max_connections or 0
        return CONNECTIONS_PER_PEER * len(self.peer_names) + SPARE_CONNECTIONS

    def log_sampled(self, event: str, peer: str, **fields: object) -> None:
        """Log and count an event, of which only a sample is written.

        The counter's label is the peer's name if the names are a set; by a rule all peers share one label,
        since a peer can use any number of names.
        """
        if isinstance(self.peer_names, frozenset):
            self.log.event_sampled(event, peer, **fields)
        else:
            self.log.event_sampled(event, ANY_PEER, peer=peer, **fields)

    def dial(self, peer: str, address: tuple[str, int]) -> None:
        """Keep a connection to a process open; reconnect with exponential backoff and jitter."""
        if peer in self.dialled and self.dialled[peer][1] == address:
            return
        self.disconnect(peer)
        factory: Any = self  # mypy does not read zope interfaces
        endpoint: Any = TCP4ClientEndpoint(self.reactor, *address, timeout=CONNECT_TIMEOUT)
        policy = backoffPolicy(initialDelay=MIN_RECONNECT_DELAY, maxDelay=MAX_RECONNECT_DELAY)
        service = ClientService(endpoint, factory, retryPolicy=policy, clock=self.reactor)
        self.dialled[peer] = service, address
        service.startService()

    def disconnect(self, peer: str) -> None:
        """Close the connection that was dialled to a process, and do not reconnect."""
        if peer in self.dialled:
            self.dialled.pop(peer)[0].stopService()

    def on_connected(self, connection: PeerConnection) -> None:
        """Send messages for the peer over this connection, the newest, from now on."""
        is_first = connection.peer not in self.by_peer
        self.by_peer[connection.peer] = connection
        self.log_sampled("peer.connected", connection.peer)
        if is_first:
            self.on_peer_changed(connection.peer, connected=True)

    def on_disconnected(self, connection: PeerConnection) -> None:
        """Remove a closed connection; an older one of the same peer is not used again."""
        self.open_connections.discard(connection)
        if self.by_peer.get(connection.peer) is connection:
            del self.by_peer[connection.peer]
            self.log_sampled("peer.disconnected", connection.peer)
            self.on_peer_changed(connection.peer, connected=False)

    def send(self, peer: str, message: Any) -> None:
        """Send a message to a peer.

        The message is dropped if the peer is not connected, and dropped and counted if it is longer than
        `MAX_MESSAGE_BYTES`.
        """
        connection = self.by_peer.get(peer)
        payload = _encoder.encode(message)
        if connection is None or connection.transport is None:
            return
        if len(payload) > MAX_MESSAGE_BYTES:
            self.log_sampled("peer.message_too_long", peer, bytes=len(payload))
            return
        connection.callRemote(Deliver, word=payload)

    def close(self) -> None:
        """Close all connections."""
        for peer in list(self.dialled):
            self.disconnect(peer)
        for connection in list(self.open_connections):
            connection.transport.loseConnection()


def call_soon(reactor: Any, call: Callable[..., None], *args: object) -> None:
    """Call `call(*args)` in the reactor's next turn; a process passes messages to itself this way."""
    reactor.callLater(0, partial(call, *args))
