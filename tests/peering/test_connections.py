"""Connections between processes, on transports in memory: a misbehaving peer affects only its connection."""

from __future__ import annotations

import io
from typing import Any

import pytest
from msgspec import Struct, msgpack
from twisted.internet.abstract import FileDescriptor
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from linenbridge.logging.event_log import Log
from linenbridge.peering.connections import (
    CONNECT_TIMEOUT,
    Deliver,
    Hello,
    PeerConnection,
    PeerConnections,
    PeerNames,
    WellFormedNames,
)
from tests.compatibility.fleet_fakes import SocketInMemory, amp_box


class Ping(Struct, array_like=True, frozen=True, tag="ping"):
    """A message that the decoder of these tests decodes."""

    text: str


class Pong(Struct, array_like=True, frozen=True, tag="pong"):
    """A message that the decoder of these tests does not decode."""

    number: int


class StuckSocket(FileDescriptor):
    """Twisted's own buffer for a socket whose far end reads nothing."""

    def __init__(self, reactor: MemoryReactorClock) -> None:
        super().__init__(reactor)
        self.connected = True
        self.was_aborted = False

    def getPeer(self) -> str:  # noqa: N802
        return "peer"

    getHost = getPeer  # noqa: N815

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802
    def startWriting(self) -> None: ...  # noqa: N802
    def stopWriting(self) -> None: ...  # noqa: N802

    def writeSomeData(self, _data: bytes) -> int:  # noqa: N802
        return 0

    def abortConnection(self) -> None:  # noqa: N802
        self.was_aborted = True
        self.connected = False

    def buffered_bytes(self) -> int:
        return len(self.dataBuffer) - self.offset + self._tempDataLen


class Process:
    """The connections of one process on a reactor in memory, and the calls that they make."""

    def __init__(self, name: str, peer_names: PeerNames | str, **options: Any) -> None:
        self.reactor = MemoryReactorClock()
        self.log = Log(io.BytesIO())
        self.messages: list[tuple[str, Any]] = []
        self.changes: list[tuple[str, bool]] = []
        names = frozenset(peer_names.split()) if isinstance(peer_names, str) else peer_names
        self.connections = PeerConnections(
            name,
            names,
            self.reactor,
            self.log,
            lambda *message: self.messages.append(message),
            on_peer_changed=lambda peer, *, connected: self.changes.append((peer, connected)),
            **{"decoder": msgpack.Decoder(Ping)} | options,
        )

    def accept(self, transport: Any = None) -> PeerConnection | None:
        """Return a connection as from a listening port, or None if it is not accepted."""
        connection = self.connections.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(transport or SocketInMemory())
        return connection


def transfer(source: PeerConnection, target: PeerConnection) -> None:
    """Deliver all that one end has written to the other."""
    data = source.transport.value()
    source.transport.clear()
    target.dataReceived(data)


def is_closed(connection: PeerConnection) -> bool:
    return connection.transport.disconnecting or connection.transport.disconnected


@pytest.fixture
def connected() -> tuple[Process, PeerConnection, PeerConnection]:
    """Process `a`, its connection to `b`, and the far end, after both ends have sent their names."""
    process, peer = Process("a", "b c"), Process("b", "a c")
    local, remote = process.accept(), peer.accept()
    transfer(local, remote)
    transfer(remote, local)
    return process, local, remote


def test_messages_are_delivered_by_the_name_of_the_peer(connected):
    process, local, remote = connected

    remote.connections.send("a", Ping("here"))
    transfer(remote, local)

    assert process.messages == [("b", Ping("here"))]
    assert list(process.connections.by_peer) == ["b"]

    process.connections.send("c", Ping("absent"))

    assert local.transport.value() == b"", "no peer of that name is connected"


@pytest.mark.parametrize("name", ["z", "", "b" * 500])
def test_a_peer_under_an_unauthorized_name_is_disconnected(name):
    process = Process("a", "b c")
    local, remote = process.accept(), Process(name, "a").accept()

    transfer(remote, local)

    assert is_closed(local)
    assert not process.connections.by_peer
    assert not process.messages


@pytest.mark.parametrize("payload", [b"", b"\xff" * 9, msgpack.encode(["ping", 1]), msgpack.encode({"a": 1})])
def test_a_malformed_message_closes_the_connection_of_its_sender(connected, payload):
    process, local, remote = connected

    remote.callRemote(Deliver, word=payload)
    transfer(remote, local)

    assert is_closed(local)
    assert not process.messages


def test_a_message_before_the_peers_name_is_not_delivered():
    process = Process("a", "b")
    local, remote = process.accept(), Process("b", "a").accept()
    remote.transport.clear()

    remote.callRemote(Deliver, word=msgpack.encode(Ping("early")))
    transfer(remote, local)

    assert not process.messages


def test_input_of_another_protocol_closes_the_connection():
    local = Process("a", "b").accept()

    local.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3)

    assert is_closed(local)


def test_connections_of_peers_without_a_name_are_bounded_and_closed_after_a_timeout():
    process = Process("a", "b c")

    accepted = [connection for connection in (process.accept() for _ in range(40)) if connection is not None]
    process.reactor.advance(CONNECT_TIMEOUT + 1)

    assert len(accepted) == 4 * 2 + 16
    assert all(is_closed(connection) for connection in accepted)


def test_a_peer_that_sends_a_second_name_is_disconnected(connected):
    process, local, remote = connected

    remote.callRemote(Hello, name="c")
    transfer(remote, local)

    assert is_closed(local)
    assert "c" not in process.connections.by_peer


def test_a_message_of_an_unknown_type_closes_the_connection(connected):
    process, local, remote = connected
    remote.connections.send("a", Ping("here"))
    transfer(remote, local)
    assert process.messages == [("b", Ping("here"))]

    remote.callRemote(Deliver, word=msgpack.encode(Pong(3)))
    transfer(remote, local)

    assert is_closed(local)
    assert len(process.messages) == 1


@pytest.mark.parametrize("name", ["g-1", "g-1.eu", "g-" + "9" * 61])
def test_a_rule_accepts_well_formed_names_with_its_prefix(name):
    process = Process("relay", WellFormedNames("g-"), max_connections=4)
    local, remote = process.accept(), Process(name, "relay").accept()

    transfer(remote, local)

    assert list(process.connections.by_peer) == [name]
    assert process.changes == [(name, True)]

    local.connectionLost(Failure(ConnectionDone()))

    assert not process.connections.by_peer
    assert process.changes[-1] == (name, False)


@pytest.mark.parametrize("name", ["", "relay", "h-1", "g-1 x", "g-" + "9" * 62, "g-\n"])
def test_a_rule_rejects_malformed_names_and_other_prefixes(name):
    process = Process("relay", WellFormedNames("g-"), max_connections=4)
    local, remote = process.accept(), Process(name, "relay").accept()

    transfer(remote, local)

    assert is_closed(local)
    assert not process.connections.by_peer
    assert not process.changes


def test_a_rule_without_a_connection_bound_raises_value_error():
    with pytest.raises(ValueError, match="requires a bound on connections; set max_connections"):
        Process("relay", WellFormedNames())


def test_peers_accepted_by_a_rule_are_counted_under_one_label():
    process = Process("relay", WellFormedNames("g-"), max_connections=3)
    names = ("g-1", "g-2", "x", "y")

    pairs = [(process.accept(), Process(name, "relay").accept()) for name in names]
    for local, remote in pairs[:3]:
        transfer(remote, local)

    assert pairs[3][0] is None, "the number of connections is bounded"
    assert {key for key in process.log.counts if key[0].startswith("peer.")} == {
        ("peer.connected", "any"),
        ("peer.unauthorized", "any"),
        ("peer.too_many_connections", "all"),
    }


def connect_stuck_peer(max_unsent_bytes: int) -> tuple[Process, PeerConnection, StuckSocket]:
    """Return a process, its connection to a peer that sends its name and reads nothing, and its socket."""
    process = Process("a", "b c", max_unsent_bytes=max_unsent_bytes)
    socket = StuckSocket(process.reactor)
    local, remote = process.accept(socket), Process("b", "a").accept()
    transfer(remote, local)
    return process, local, socket


def test_the_send_buffer_of_a_peer_that_reads_nothing_is_bounded_and_then_the_connection_is_aborted():
    process, local, socket = connect_stuck_peer(max_unsent_bytes=200_000)

    unsent = []
    for _ in range(400):
        process.connections.send("b", Ping("x" * 10_000))
        unsent.append(local.send_buffer.waiting_bytes + socket.buffered_bytes())

    assert socket.was_aborted
    assert max(unsent) < 200_000 + 2 * FileDescriptor.bufferSize
    assert process.log.counts["peer.send_buffer_full", "b"] == 1
    assert not local.send_buffer.waiting
    assert local.send_buffer.waiting_bytes == 0


def test_unread_error_answers_to_a_peer_count_towards_the_same_bound():
    process, local, socket = connect_stuck_peer(max_unsent_bytes=50_000)

    for number in range(20_000):
        local.dataReceived(amp_box({b"_command": b"Nothing", b"_ask": b"%d" % number}))
        if socket.was_aborted:
            break

    assert socket.was_aborted
    assert process.log.counts["peer.send_buffer_full", "b"] == 1


def test_a_peer_that_reads_late_receives_every_message_in_order():
    process, local, socket = connect_stuck_peer(max_unsent_bytes=1_000_000)
    for number in range(60):
        process.connections.send("b", Ping(f"{number:05}" * 1_000))
    assert local.send_buffer.waiting, "some messages wait for room in the transport's own buffer"
    peer = Process("b", "a")
    remote = peer.accept()
    sent = bytearray()

    def read_late(data: bytes) -> int:
        sent.extend(data)
        return len(data)

    socket.writeSomeData = read_late
    for _ in range(100):
        socket.doWrite()
    remote.dataReceived(bytes(sent))

    assert [message.text[:5] for _, message in peer.messages] == [f"{number:05}" for number in range(60)]
    assert not socket.was_aborted
    assert local.send_buffer.waiting_bytes == 0
