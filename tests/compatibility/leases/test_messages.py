"""Lease messages are encoded as at the base, and bytes of other versions are decoded as at the base."""

from __future__ import annotations

import msgspec
import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from linenbridge.fleet.leases.messages import (
    Acquire,
    Granted,
    LeaseReply,
    LeaseRequest,
    Message,
    SlotRecord,
    RecoveryReply,
    RecoveryRequest,
    Rejected,
    Relinquish,
    StatusQuery,
    TaskStatus,
)
from linenbridge.peering.connections import PeerConnections
from tests.compatibility.leases.conftest import base_file

BASE = base_file("messages.json")
DECODER = msgspec.msgpack.Decoder(Message)
MESSAGES = {
    "request": LeaseRequest(
        number=70_000,
        proposer="g1#5f3a",
        generation=3,
        revision=4_294_967_296,
        acquires=[
            Acquire(task="sweep", slot=1, term=12, duration=10_000_000),
            Acquire(task="räume", slot=0, term=2, duration=1),
        ],
        relinquishes=[Relinquish(task="sweep", slot=0, term=11)],
        queries=[
            StatusQuery(task="index", slots=64, queue_position=0),
            StatusQuery(task="sweep", slots=2, queue_position=9),
        ],
    ),
    "empty request": LeaseRequest(
        number=1, proposer="g1#1", generation=1, revision=0, acquires=[], relinquishes=[], queries=[]
    ),
    "reply": LeaseReply(
        number=70_000,
        acceptor="g2",
        generation=3,
        revision=129,
        code="",
        granted=[Granted(task="sweep", slot=1, term=12)],
        rejected=[
            Rejected(task="räume", slot=0, term=2, code="held", newest_term=7),
            Rejected(task="index", slot=3, term=1, code="older", newest_term=2**40),
        ],
        statuses=[
            TaskStatus(
                task="index",
                newest_queue_position=8,
                members_ahead=2,
                terms=[0, 4],
                remaining=[0, 9_999_999],
                holders=["", "g3#1"],
            )
        ],
    ),
    "rejecting reply": LeaseReply(
        number=2,
        acceptor="g2",
        generation=4,
        revision=0,
        code="generation",
        granted=[],
        rejected=[],
        statuses=[],
    ),
    "recovery request": RecoveryRequest(number=2**52 - 1, acceptor="g1", generation=4),
    "recovery reply": RecoveryReply(
        number=2**52 - 1,
        acceptor="g2",
        recovery=17,
        founding_recovery=2**51,
        generation=4,
        confirmed_generation=3,
        has_records=True,
        revision=130,
        records=[
            SlotRecord(
                task="sweep", slot=1, term=12, holder="g1#5f3a", relinquished_term=11, remaining=9_000_000
            ),
            SlotRecord(task="sweep", slot=2, term=0, holder="", relinquished_term=5, remaining=0),
        ],
        newest_queue_positions={"index": 8, "sweep": 9},
    ),
    "empty recovery reply": RecoveryReply(
        number=1,
        acceptor="g3",
        recovery=2,
        founding_recovery=0,
        generation=1,
        confirmed_generation=0,
        has_records=False,
        revision=0,
        records=[],
        newest_queue_positions={},
    ),
}


class SilentLog:
    """A log that drops all events."""

    def event_sampled(self, *arguments: object, **fields: object) -> None:
        """Drop a counted event."""


class Transport(StringTransport):
    """An in-memory transport that accepts TCP_NODELAY, as a TCP transport does."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 - Twisted's name
        """Ignore the option."""


def test_the_record_covers_every_message_type():
    assert set(BASE["written"]) == set(MESSAGES)
    assert {type(message) for message in MESSAGES.values()} == set(Message.__args__)


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_encoded_as_by_the_base(name):
    assert msgspec.msgpack.encode(MESSAGES[name]).hex() == BASE["written"][name]["bytes"]


@pytest.mark.parametrize("name", MESSAGES)
def test_the_bytes_of_the_base_are_decoded_to_the_message(name):
    data = bytes.fromhex(BASE["written"][name]["bytes"])
    assert msgspec.msgpack.decode(data, type=Message) == MESSAGES[name]


@pytest.mark.parametrize(
    "row", BASE["received"], ids=[f"{row['message']}: {row['change']}" for row in BASE["received"]]
)
def test_bytes_of_other_versions_are_decoded_or_rejected_as_by_the_base(row):
    data = bytes.fromhex(row["bytes"])
    try:
        found = {"values": msgspec.to_builtins(msgspec.msgpack.decode(data, type=Message))}
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        found = {"error": f"{type(error).__name__}: {error}"}
    expected = {key: value for key, value in row.items() if key in ("values", "error")}
    assert found == expected


def test_the_bytes_sent_on_a_connection_equal_those_of_the_base():
    connections = PeerConnections(
        "g1", frozenset({"g2"}), Clock(), SilentLog(), lambda peer, message: None, decoder=DECODER
    )
    connection = connections.buildProtocol(None)
    transport = Transport()

    connection.makeConnection(transport)
    name = transport.value()
    transport.clear()
    connection.dataReceived(name.replace(b"g1", b"g2"))
    connections.send("g2", MESSAGES["empty request"])

    assert {"name": name.hex(), "empty request": transport.value().hex()} == BASE["frames"]


def test_the_bytes_sent_by_the_base_on_a_connection_are_received_as_messages():
    received = []
    connections = PeerConnections(
        "g2",
        frozenset({"g1"}),
        Clock(),
        SilentLog(),
        lambda peer, message: received.append((peer, message)),
        decoder=DECODER,
    )
    connection = connections.buildProtocol(None)
    connection.makeConnection(Transport())

    connection.dataReceived(bytes.fromhex(BASE["frames"]["name"]))
    connection.dataReceived(bytes.fromhex(BASE["frames"]["empty request"]))

    assert received == [("g1", MESSAGES["empty request"])]
