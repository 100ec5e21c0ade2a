"""Peer connections send and decode the same AMP boxes as commit 4d24a08.

`record_fleet_hosting.py` has written the record `data/peering.json`.
"""

from __future__ import annotations

import io
from typing import Any

import msgspec
import pytest
from twisted.protocols import amp

from linenbridge.fleet.leases.messages import Message
from linenbridge.logging.event_log import Log
from linenbridge.peering.connections import PeerConnections, WellFormedNames
from tests.compatibility.fleet_fakes import ResolvingReactor, SocketInMemory, amp_box

DECODER = msgspec.msgpack.Decoder(Message)
HELLO = amp_box({b"_command": b"Meet", b"name": b"b"})
# Counters that have been renamed since the record was written, old -> new.
RENAMED = {
    "link.up": "peer.connected",
    "link.lost": "peer.disconnected",
    "link.stranger": "peer.unauthorized",
    "link.malformed": "peer.malformed",
    "link.unread": "peer.send_buffer_full",
    "link.too_many": "peer.too_many_connections",
    "link.too_long": "peer.message_too_long",
}


class End:
    """The peer connections of one process on an in-memory reactor, with one connection open."""

    def __init__(self, known: Any, **more: Any) -> None:
        self.reactor = ResolvingReactor()
        self.log = Log(io.BytesIO())
        self.messages: list[list[str]] = []
        self.changes: list[list[Any]] = []
        self.raised = ""
        self.connections = PeerConnections(
            "a", known, self.reactor, self.log, self._on_message, on_peer_changed=self._on_change, **more
        )
        self.connection = self.connections.buildProtocol(None)
        self.connection.makeConnection(SocketInMemory())

    def _on_message(self, peer: str, message: Any) -> None:
        self.messages.append([peer, msgspec.msgpack.encode(message).hex()])

    def _on_change(self, peer: str, *, connected: bool) -> None:
        self.changes.append([peer, connected])

    def receive(self, chunks: list[str]) -> None:
        """Receive `chunks` from the peer; without chunks, advance the clock past the deadline of its name."""
        try:
            for chunk in chunks:
                self.connection.dataReceived(bytes.fromhex(chunk))
        except (KeyError, amp.AmpError) as error:  # the reactor would close the connection
            self.raised = type(error).__name__
        if not chunks:
            self.reactor.advance(6.0)

    def outcome(self) -> dict[str, Any]:
        """Return the outcome of one case in the format of the record."""
        transport = self.connection.transport
        return {
            "raised": self.raised,
            "sent": transport.value().hex(),
            "closed": bool(transport.disconnecting or transport.disconnected),
            "messages": self.messages,
            "changes": self.changes,
            "connected": sorted(self.connections.by_peer),
            "counts": {" ".join(names): count for names, count in sorted(self.log.counts.items())},
        }


def expected(row: dict[str, Any]) -> dict[str, Any]:
    """Return the outcome in a row of the record, with the present names of counters."""
    counts = {}
    for name, count in row["counts"].items():
        event, _, rest = name.partition(" ")
        counts[f"{RENAMED.get(event, event)} {rest}"] = count
    return {key: row[key] for key in row if key not in ("case", "received")} | {"counts": counts}


def test_bytes_from_a_configured_peer_have_the_recorded_outcome(record):
    rows = record("peering")["received"]

    for row in rows:
        end = End(frozenset("bc"), decoder=DECODER)
        end.receive(row["received"])
        assert end.outcome() == expected(row), row["case"]

    assert len(rows) == 40


def test_bytes_of_a_peer_by_a_rule_have_the_same_consequences(record):
    rows = record("peering")["received_by_rule"]

    for row in rows:
        end = End(WellFormedNames("g-"), decoder=DECODER, max_connections=4)
        end.receive(row["received"])
        assert end.outcome() == expected(row), row["case"]

    assert len(rows) == 9


def test_messages_are_sent_as_the_recorded_bytes(record):
    rows = record("peering")["sent"]

    for row in rows:
        end = End(frozenset("bc"), decoder=DECODER)
        end.receive([HELLO.hex()])
        end.connection.transport.clear()
        message = DECODER.decode(bytes.fromhex(row["message"]))
        end.connections.send("b", message)
        end.connections.send("c", message)
        assert end.connection.transport.value().hex() == row["sent"], message

    assert len(rows) == 6


def test_the_recorded_bytes_of_a_message_are_received_as_that_message(record):
    for row in record("peering")["sent"]:
        end = End(frozenset("bc"), decoder=DECODER)
        end.receive([HELLO.hex(), row["sent"]])
        assert end.messages == [["b", row["message"]]]


@pytest.mark.parametrize("size", [59_000, 59_987, 59_988])
def test_a_message_near_the_maximum_size_is_sent_or_dropped_as_recorded(record, size):
    from linenbridge.fleet.leases.messages import RecoveryRequest

    end = End(frozenset("bc"), decoder=DECODER)
    end.receive([HELLO.hex()])
    end.connection.transport.clear()

    end.connections.send("b", RecoveryRequest(1, "x" * size, 1))

    assert len(end.connection.transport.value()) == record("peering")["too_long"]["sizes"][str(size)]
