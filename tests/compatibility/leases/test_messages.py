"""Messages of leases are the same bytes as at the base; other versions' bytes are read as it read them."""

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
    PlaceRecord,
    RecoveryReply,
    RecoveryRequest,
    Rejected,
    Relinquish,
    StatusQuery,
    TaskStatus,
)
from linenbridge.peering.connections import Links
from tests.compatibility.leases.conftest import base_file

BASE = base_file("messages.json")
MESSAGES = {
    "request": LeaseRequest(
        number=70_000,
        proposer="g1#5f3a",
        generation=3,
        stamp=4_294_967_296,
        acquires=[
            Acquire(task="sweep", place=1, term=12, length=10_000_000),
            Acquire(task="räume", place=0, term=2, length=1),
        ],
        relinquishes=[Relinquish(task="sweep", place=0, term=11)],
        queries=[
            StatusQuery(task="index", places=64, ticket=0),
            StatusQuery(task="sweep", places=2, ticket=9),
        ],
    ),
    "empty request": LeaseRequest(
        number=1, proposer="g1#1", generation=1, stamp=0, acquires=[], relinquishes=[], queries=[]
    ),
    "reply": LeaseReply(
        number=70_000,
        acceptor="g2",
        generation=3,
        stamp=129,
        code="",
        granted=[Granted(task="sweep", place=1, term=12)],
        rejected=[
            Rejected(task="räume", place=0, term=2, code="held", newest=7),
            Rejected(task="index", place=3, term=1, code="older", newest=2**40),
        ],
        statuses=[
            TaskStatus(
                task="index", ticket=8, position=2, terms=[0, 4], left=[0, 9_999_999], holders=["", "g3#1"]
            )
        ],
    ),
    "rejecting reply": LeaseReply(
        number=2,
        acceptor="g2",
        generation=4,
        stamp=0,
        code="generation",
        granted=[],
        rejected=[],
        statuses=[],
    ),
    "recovery request": RecoveryRequest(number=2**52 - 1, acceptor="g1", generation=4),
    "recovery reply": RecoveryReply(
        number=2**52 - 1,
        acceptor="g2",
        own=17,
        blank=2**51,
        generation=4,
        settled=3,
        remembers=True,
        stamp=130,
        places=[
            PlaceRecord(task="sweep", place=1, term=12, holder="g1#5f3a", closed=11, left=9_000_000),
            PlaceRecord(task="sweep", place=2, term=0, holder="", closed=5, left=0),
        ],
        tickets={"index": 8, "sweep": 9},
    ),
    "empty recovery reply": RecoveryReply(
        number=1,
        acceptor="g3",
        own=2,
        blank=0,
        generation=1,
        settled=0,
        remembers=False,
        stamp=0,
        places=[],
        tickets={},
    ),
}


class SilentLog:
    """A log that drops what it is given."""

    def rarely(self, *arguments: object, **fields: object) -> None:
        """Drop a counted event."""


class Transport(StringTransport):
    """A TCP transport as far as a link needs one."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 - Twisted's name
        """Do nothing."""


def test_the_base_wrote_every_message_type():
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
def test_bytes_of_other_versions_are_read_as_by_the_base(row):
    data = bytes.fromhex(row["bytes"])
    try:
        found = {"values": msgspec.to_builtins(msgspec.msgpack.decode(data, type=Message))}
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        found = {"error": f"{type(error).__name__}: {error}"}
    expected = {key: value for key, value in row.items() if key in ("values", "error")}
    assert found == expected


def test_the_bytes_of_a_connection_are_those_of_the_base():
    links = Links("g1", frozenset({"g2"}), Clock(), SilentLog(), lambda peer, message: None)
    link = links.buildProtocol(None)
    transport = Transport()

    link.makeConnection(transport)
    name = transport.value()
    transport.clear()
    link.dataReceived(name.replace(b"g1", b"g2"))
    links.say("g2", MESSAGES["empty request"])

    assert {"name": name.hex(), "empty request": transport.value().hex()} == BASE["frames"]


def test_the_bytes_of_a_connection_of_the_base_are_read():
    received = []
    links = Links(
        "g2", frozenset({"g1"}), Clock(), SilentLog(), lambda peer, message: received.append((peer, message))
    )
    link = links.buildProtocol(None)
    link.makeConnection(Transport())

    link.dataReceived(bytes.fromhex(BASE["frames"]["name"]))
    link.dataReceived(bytes.fromhex(BASE["frames"]["empty request"]))

    assert received == [("g1", MESSAGES["empty request"])]
