"""Connections between processes write and understand the same bytes as commit 4d24a08, box by box.

The record is `data/peering.json`, written by `record_fleet_hosting.py`.
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
# Counters that have been renamed since, old -> new.
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
    """One process's connections on a reactor in memory, with one connection open."""

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
        """Bytes of the far end; without any, time until it has to have sent its name."""
        try:
            for chunk in chunks:
                self.connection.dataReceived(bytes.fromhex(chunk))
        except (KeyError, amp.AmpError) as error:  # to the reactor, which ends the connection
            self.raised = type(error).__name__
        if not chunks:
            self.reactor.advance(6.0)

    def shown(self) -> dict[str, Any]:
        """All that the record holds of one case."""
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
    """A row of the record with counters under their present names."""
    counts = {}
    for name, count in row["counts"].items():
        event, _, rest = name.partition(" ")
        counts[f"{RENAMED.get(event, event)} {rest}"] = count
    return {key: row[key] for key in row if key not in ("case", "received")} | {"counts": counts}


def test_bytes_of_a_peer_in_the_settings_have_the_same_consequences(record):
    rows = record("peering")["received"]

    for row in rows:
        end = End(frozenset("bc"), decoder=DECODER)
        end.receive(row["received"])
        assert end.shown() == expected(row), row["case"]

    assert len(rows) == 40


def test_bytes_of_a_peer_by_a_rule_have_the_same_consequences(record):
    rows = record("peering")["received_by_rule"]

    for row in rows:
        end = End(WellFormedNames("g-"), decoder=DECODER, max_connections=4)
        end.receive(row["received"])
        assert end.shown() == expected(row), row["case"]

    assert len(rows) == 9


def test_messages_are_sent_as_the_same_bytes(record):
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


def test_what_is_sent_is_what_the_other_end_receives(record):
    for row in record("peering")["sent"]:
        end = End(frozenset("bc"), decoder=DECODER)
        end.receive([HELLO.hex(), row["sent"]])
        assert end.messages == [["b", row["message"]]]


@pytest.mark.parametrize("size", [59_000, 59_987, 59_988])
def test_the_longest_message_has_the_same_bound(record, size):
    from linenbridge.fleet.leases.messages import RecoveryRequest

    end = End(frozenset("bc"), decoder=DECODER)
    end.receive([HELLO.hex()])
    end.connection.transport.clear()

    end.connections.send("b", RecoveryRequest(1, "x" * size, 1))

    assert len(end.connection.transport.value()) == record("peering")["too_long"]["sizes"][str(size)]
