"""Writes `data/peering.json`, `data/task_actions.json`, `data/freezes.json` and `data/fleet_settings.json`.

The script ran in a checkout of commit 4d24a08 and uses the module names of that commit:

    cd CHECKOUT && PYTHONPATH=. python PATH/tests/compatibility/record_fleet_hosting.py

It is kept to document the content of the data files. The tests read only these files.
"""

# ruff: noqa: E501  (settings with one element a line)

from __future__ import annotations

import dataclasses
import io
import json
import tempfile
from datetime import UTC, datetime
from itertools import islice
from pathlib import Path
from typing import Any

import msgspec
from fleet_fakes import ResolvingReactor, SocketInMemory, amp_box, log_rows
from linenbridge.configuration.read import ConfigurationError, parse
from linenbridge.fleet.configuration import Errand, fleet
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.fleet.freezes.holds import Holds
from linenbridge.fleet.freezes.windows import occurrences
from linenbridge.fleet.hosting.errands import Errands
from linenbridge.fleet.hosting.links import Links, WellFormedNames
from linenbridge.fleet.leases.messages import (
    Acquire, Granted, LeaseReply, LeaseRequest, PlaceRecord, RecoveryReply, RecoveryRequest, Rejected,
    Relinquish, StatusQuery, TaskStatus,
)  # fmt: skip
from linenbridge.net.log import Log
from twisted.internet.testing import StringTransport
from twisted.protocols import amp

DATA = Path(__file__).parent / "data"
encode = msgspec.msgpack.encode

MESSAGES = [
    LeaseRequest(
        7, "b#5f3a", 2, 12, [Acquire("sweep", 0, 3, 10_000_000)], [Relinquish("sweep", 1, 2)],
        [StatusQuery("sweep", 2, 4)],
    ),
    LeaseRequest(1 << 40, "b#1", 1, 0, [], [], []),
    LeaseReply(
        7, "b", 2, 13, "", [Granted("sweep", 0, 3)], [Rejected("sweep", 1, 9, "held", 9)],
        [TaskStatus("sweep", 4, 1, [3, 9], [0, 250_000], ["b#5f3a", "g2#1"])],
    ),
    LeaseReply(8, "b", 2, 13, "generation", [], [], []),
    RecoveryRequest(52, "b", 3),
    RecoveryReply(52, "b", 9, 0, 3, 2, True, 77, [PlaceRecord("sweep", 0, 3, "b#5f3a", 2, 1_000)], {"b#5f3a": 4}),
]  # fmt: skip


# ---- connections between processes -----------------------------------------------------------------------


def hello(name: str = "b", **more: bytes) -> bytes:
    return amp_box({b"_command": b"Meet", b"name": name.encode(), **{k.encode(): v for k, v in more.items()}})


def deliver(payload: bytes, **more: bytes) -> bytes:
    return amp_box({b"_command": b"Say", b"word": payload, **{k.encode(): v for k, v in more.items()}})


def received_cases() -> dict[str, list[bytes]]:
    """Return the bytes that a peer sends, by the name of the case."""
    array = msgspec.msgpack.decode(encode(MESSAGES[4]))
    nested = msgspec.msgpack.decode(encode(MESSAGES[0]))
    nested[5][0].append("later version")
    request = msgspec.msgpack.decode(encode(MESSAGES[0]))
    each = {f"message {number}": [hello() + deliver(encode(one))] for number, one in enumerate(MESSAGES)}
    stream = hello() + deliver(encode(MESSAGES[0])) + deliver(encode(MESSAGES[4]))
    return each | {
        "hello alone": [hello()],
        "one byte at a time": [bytes([byte]) for byte in stream],
        "unknown key in hello": [hello(version=b"2") + deliver(encode(MESSAGES[4]))],
        "unknown key in deliver": [hello() + deliver(encode(MESSAGES[4]), trace=b"x")],
        "hello without a name": [amp_box({b"_command": b"Meet"})],
        "deliver without a payload": [hello() + amp_box({b"_command": b"Say"})],
        "hello that asks for an answer": [hello(_ask=b"1")],
        "deliver that asks for an answer": [hello() + deliver(encode(MESSAGES[4]), _ask=b"2")],
        "unknown command": [hello() + amp_box({b"_command": b"Later"}) + deliver(encode(MESSAGES[4]))],
        "unknown command that asks": [
            hello() + amp_box({b"_command": b"Later", b"_ask": b"3"}) + deliver(encode(MESSAGES[4]))
        ],
        "answer that nobody asked for": [hello() + amp_box({b"_answer": b"4"})],
        "box without a command": [hello() + amp_box({b"word": b"x"})],
        "empty box": [hello() + b"\0\0"],
        "deliver before hello": [deliver(encode(MESSAGES[4]))],
        "hello twice": [hello() + hello("c")],
        "hello of the same name twice": [hello() + hello()],
        "unauthorized name": [hello("z")],
        "empty name": [hello("")],
        "long name": [hello("b" * 500)],
        "name that is no text": [amp_box({b"_command": b"Meet", b"name": b"\xff\xfe"})],
        "own name": [hello("a")],
        "unknown trailing field": [hello() + deliver(encode([*array, "later version"]))],
        "unknown trailing field within": [hello() + deliver(encode(nested))],
        "absent trailing field": [hello() + deliver(encode(array[:-1]))],
        "absent fields of a request": [hello() + deliver(encode(request[:5]))],
        "unknown tag": [hello() + deliver(encode(["later", 1]))],
        "field of another type": [hello() + deliver(encode(["recall", "52", "b", 3]))],
        "number below zero": [hello() + deliver(encode(["recall", -1, "b", 3]))],
        "object for an array": [hello() + deliver(encode({"recall": 1}))],
        "empty payload": [hello() + deliver(b"")],
        "bytes that are no message": [hello() + deliver(b"\xff" * 9)],
        "two messages in one payload": [hello() + deliver(encode(MESSAGES[4]) * 2)],
        "another protocol": [b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3],
        "nothing": [],
    }  # fmt: skip


class End:
    """The peer connections of one process on an in-memory reactor."""

    def __init__(self, known: Any, **more: Any) -> None:
        self.reactor, self.messages, self.changes = ResolvingReactor(), [], []
        self.stream = io.BytesIO()
        self.log = Log(self.stream)
        self.links = Links(
            "a", known, self.reactor, self.log,
            lambda far, message: self.messages.append([far, encode(message).hex()]),
            changed=lambda far, up: self.changes.append([far, up]), **more,
        )  # fmt: skip

    def connect(self) -> Any:
        link = self.links.buildProtocol(None)
        link.makeConnection(SocketInMemory())
        return link

    def shown(self, link: Any) -> dict[str, Any]:
        return {
            "sent": link.transport.value().hex(),
            "closed": bool(link.transport.disconnecting or link.transport.disconnected),
            "messages": self.messages,
            "changes": self.changes,
            "connected": sorted(self.links.to),
            "counts": {" ".join(names): count for names, count in sorted(self.log.counts.items())},
        }


def record_received(known: Any, cases: dict[str, list[bytes]], **more: Any) -> list[dict[str, Any]]:
    found = []
    for name, chunks in cases.items():
        end = End(known, **more)
        link = end.connect()
        raised = ""  # the reactor would close the connection
        try:
            for chunk in chunks:
                link.dataReceived(chunk)
        except (KeyError, amp.AmpError) as error:
            raised = type(error).__name__
        if not chunks:
            end.reactor.advance(6.0)
        row = {"case": name, "received": [chunk.hex() for chunk in chunks], "raised": raised}
        found.append(row | end.shown(link))
    return found


def record_sent() -> list[dict[str, Any]]:
    found = []
    for message in MESSAGES:
        end = End(frozenset("bc"))
        link = end.connect()
        link.dataReceived(hello())
        link.transport.clear()
        end.links.say("b", message)
        end.links.say("c", message)
        found.append({"message": encode(message).hex(), "sent": link.transport.value().hex()})
    return found


def record_too_long() -> dict[str, Any]:
    end = End(frozenset("bc"))
    link = end.connect()
    link.dataReceived(hello())
    link.transport.clear()
    sizes = {}
    for size in (59_000, 59_987, 59_988):
        link.transport.clear()
        end.links.say("b", RecoveryRequest(1, "x" * size, 1))
        sizes[size] = len(link.transport.value())
    return {"sizes": sizes, **{key: end.shown(link)[key] for key in ("closed", "counts")}}


def peering() -> dict[str, Any]:
    names = ["g-1", "g-1.eu", "g-" + "9" * 61, "", "relay", "h-1", "g-1 x", "g-" + "9" * 62, "g-\n"]
    by_rule = {repr(name): [hello(name)] for name in names}
    return {
        "received": record_received(frozenset("bc"), received_cases()),
        "received_by_rule": record_received(WellFormedNames("g-"), by_rule, connections=4),
        "sent": record_sent(),
        "too_long": record_too_long(),
    }


# ---- requests of task actions -----------------------------------------------------------------------------

BODY = b"x" * 70_000
ANSWERS = {
    "accepted": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
    "older term": b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "unavailable": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "too long": b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n",  # followed by `BODY`
    "another protocol": b"SSH-2.0-server\r\n",
    "none": b"",
}


def record_action(
    member: str, task: str, address: tuple[str, int], every: int, may_act: Any, answer: bytes
) -> dict[str, Any]:
    reactor, stream = ResolvingReactor(), io.BytesIO()
    log = Log(stream)
    errands = Errands(member, (Errand(task, 1, address, every),), reactor, log, lambda task: may_act)
    reactor.advance(every / 1e6 - 0.0001)
    early = len(reactor.tcpClients)
    reactor.advance(0.0002)
    found: dict[str, Any] = {"early": early, "connections": len(reactor.tcpClients)}
    if reactor.tcpClients:
        host, port, factory = reactor.tcpClients[0][:3]
        protocol, transport = factory.buildProtocol(None), StringTransport()
        protocol.makeConnection(transport)
        reactor.advance(every / 1e6)
        found |= {"host": host, "port": port, "sent": transport.value().hex()}
        found["connections_unanswered"] = len(reactor.tcpClients)
        if answer:
            protocol.dataReceived(answer + (BODY if b"90000" in answer else b""))
        else:
            reactor.advance(3.9)  # past the time at which the next action was due
            found["counts_before_timeout"] = len(log.counts)
            reactor.advance(0.2)
    found["counts"] = {" ".join(names): count for names, count in sorted(log.counts.items())}
    found["log"] = log_rows(stream.getvalue())
    errands.close()
    return found


def task_actions() -> list[dict[str, Any]]:
    rows = [
        ("g1#5f3a", "sweep", ("127.0.0.1", 9100), 1_000_000, (3, 0), answer) for answer in ANSWERS
    ] + [
        ("g1#5f3a", "publish-eu.west", ("resource.example", 80), 30_000, (1 << 40, 63), "accepted"),
        ("g1#5f3a", "sweep", ("resource.example", 443), 1_000_000, (3, 0), "accepted"),
        ("g1#5f3a", "sweep", ("127.0.0.1", 9100), 1_000_000, None, "accepted"),
    ]  # fmt: skip
    return [
        {
            "member": member, "task": task, "address": address, "every": every, "may_act": may_act,
            "answer": ANSWERS[answer].hex(),
            "found": record_action(member, task, address, every, may_act, ANSWERS[answer]),
        }
        for member, task, address, every, may_act, answer in rows
    ]  # fmt: skip


# ---- freezes ---------------------------------------------------------------------------------------------

HEAD = '<freezes xmlns="urn:linenbridge:premises:1">\n'
FREEZES = {
    "none": "",
    "lengths": '<window name="a" kind="hold" from="2026-12-08T02:00" for="90m" in="UTC"/>'
    '<window name="b" kind="hold" from="2026-12-08T02:00:30" for="45s" in="UTC" zones="w1 w2"/>',
    "until": '<window name="a" kind="hold" from="2026-12-08T02:00" until="2026-12-08T04:30" in="Asia/Seoul"/>',
    "weeks": '<window name="a" kind="hold" from="2026-12-08T02:00" until="2026-12-08T04:30" in="Asia/Seoul" '
    'every="2 weeks" last="2027-02-01T00:00"/>',
    "days": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" every="1 day"/>',
    "months": '<window name="a" kind="hold" from="2027-01-31T10:00" for="1h" in="Europe/Berlin" every="1 month"/>',
    "years": '<window name="a" kind="hold" from="2028-02-29T10:00" for="1h" in="Europe/Berlin" every="1 year"/>',
    "daylight": '<window name="a" kind="hold" from="2027-03-28T02:30" until="2027-03-28T04:00" in="Europe/Berlin"/>'
    '<window name="b" kind="hold" from="2027-10-31T02:15" until="2027-10-31T02:45" in="Europe/Berlin"/>',
    "cancelled": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" cancelled="true"/>'
    '<window name="b" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" cancelled="1"/>'
    '<window name="c" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" cancelled="false"/>',
    "overlap": '<window name="a" kind="hold" from="2026-12-08T02:10" for="20m" in="UTC" zones="west"/>'
    '<window name="b" kind="hold" from="2026-12-08T02:20" for="20m" in="UTC" zones="east"/>'
    '<window name="c" kind="hold" from="2026-12-08T02:25" for="1m" in="UTC"/>',
    "other kind": '<window name="a" kind="drain" from="2026-12-08T02:00" for="1h" in="UTC"/>',
    "unknown zone": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="Mars"/>',
    "odd zone": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="../etc"/>',
    "no end": '<window name="a" kind="hold" from="2026-12-08T02:00" in="UTC"/>',
    "two ends": '<window name="a" kind="hold" from="2026-12-08T02:00" until="2026-12-08T03:00" for="1h" in="UTC"/>',
    "ends early": '<window name="a" kind="hold" from="2026-12-08T02:00" until="2026-12-08T01:00" in="UTC"/>',
    "last alone": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" last="2027-01-01T00:00"/>',
    "last early": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" every="1 day" '
    'last="2026-01-01T00:00"/>',
    "no month": '<window name="a" kind="hold" from="2026-13-08T02:00" for="1h" in="UTC"/>',
    "twice": 2 * '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC"/>',
    "several faults": '<window name="a" kind="hold" from="2026-13-08T02:00" for="1h" in="UTC"/>\n'
    '<window name="b" kind="hold" from="2026-12-08T02:00" for="1h" in="Mars"/>',
    "schema": '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" every="1 moon"/>',
}  # fmt: skip
BEGUN = int(datetime(2026, 12, 8, 2, tzinfo=UTC).timestamp()) * 1_000_000


def window_values(window: Any) -> dict[str, Any]:
    """Return the values of a window by their names at the base; wall-clock times are text."""
    shown = {
        "ZoneInfo": lambda value: value.key,
        "datetime": lambda value: value.isoformat(),
        "frozenset": sorted,
    }
    values = {field.name: getattr(window, field.name) for field in dataclasses.fields(window)}
    return {
        name: shown.get(type(value).__name__, lambda value: value)(value) for name, value in values.items()
    }


def decisions(found: Any) -> list[list[Any]]:
    """Return the decisions at the first 40 wake-ups, from one hour before the first window."""
    core, rows, now = Holds(found, BEGUN - 3_600_000_000), [], BEGUN - 3_600_000_000
    for _ in range(40):
        while (decision := core.next_decision(now)) is not None:
            zones = (
                [None if decision[1] is None else sorted(decision[1])]
                if decision[0] == "hold"
                else decision[1:]
            )
            rows.append([now, decision[0], *zones])
        wake = core.wake_at()
        if wake is None:
            break
        now = max(now + 1, wake)
    return rows


def freezes() -> list[dict[str, Any]]:
    found = []
    with tempfile.TemporaryDirectory() as folder:
        for name, inside in FREEZES.items():
            path = Path(folder, "freezes.xml")
            text = f"{HEAD}{inside}\n</freezes>"
            path.write_text(text)
            row: dict[str, Any] = {"case": name, "text": text, "error": "", "windows": []}
            try:
                read = windows(str(path))
            except ConfigurationError as error:
                row["error"] = str(error).replace(folder, "FOLDER")
            else:
                row["windows"] = [window_values(window) for window in read]
                row["occurrences"] = [list(islice(occurrences(window, BEGUN), 6)) for window in read]
                row["decisions"] = decisions(read)
            found.append(row)
    return found


# ---- the element `fleet` ---------------------------------------------------------------------------------

QUORUM = '<quorum><acceptor name="g1"/><acceptor name="g2"/><acceptor name="g3"/></quorum>'
OTHERS = "".join(f'<member name="g{number}" address="127.0.0.1:710{number}"/>' for number in (2, 3, 4))


def fleet_text(inside: str = OTHERS + QUORUM, more: str = "", listen: str = "127.0.0.1:7101") -> str:
    return (
        f'<linenbridge xmlns="urn:linenbridge:premises:1">\n<fleet member="g1" listen="{listen}" {more}>\n'
        f"{inside}\n</fleet>\n</linenbridge>"
    )


def changed(text: str, **more: str) -> str:
    """Return the quorum `text` with attributes added to the acceptors that `more` names."""
    for name, words in more.items():
        text = text.replace(f'name="{name}"', f'name="{name}" {words}')
    return text


EARLIER = QUORUM.replace("quorum", "council").replace("<acceptor", "<seat")
JOINS = QUORUM.replace("</quorum>", '<acceptor name="g4" joins="true"/></quorum>')
SETTINGS = {
    "plain": fleet_text(),
    "earlier names": fleet_text(OTHERS + EARLIER),
    "no fleet": '<linenbridge xmlns="urn:linenbridge:premises:1"/>',
    "times": fleet_text(more='lease="5s" longest="8s" beat="500ms" clocks-apart="2.5%" store="g1.db" '
                             'store-never-goes-back="true"'),
    "one": fleet_text(more='store="/var/lib/g1.db" store-never-goes-back="1"'),
    "ipv6": fleet_text(OTHERS.replace("127.0.0.1", "[::1]") + QUORUM, listen="[::1]:7101"),
    "tasks": fleet_text(OTHERS + QUORUM + '<task name="a"/><task name="b" places="3" act="127.0.0.1:9100" every="30ms"/>'
                        '<restarts at-once="2" within="30s"/>'),
    "joins": fleet_text(OTHERS + JOINS.replace("<quorum>", '<quorum generation="2" first-term="900">')),
    "leaves": fleet_text(OTHERS + changed(QUORUM, g1='leaves="1"').replace("</quorum>", '<acceptor name="g4"/></quorum>')),
    "no acceptor": fleet_text(OTHERS + QUORUM.replace('"g1"', '"g4"')),
    "lease": fleet_text(more='lease="5s" longest="2s"'),
    "beat": fleet_text(more='lease="5s" beat="4s"'),
    "apart": fleet_text(more='clocks-apart="50%"'),
    "member twice": fleet_text(OTHERS + OTHERS + QUORUM),
    "own name": fleet_text(OTHERS.replace('"g2"', '"g1"') + QUORUM),
    "nobody": fleet_text(OTHERS + QUORUM.replace('"g3"', '"g9"')),
    "acceptor twice": fleet_text(OTHERS + QUORUM.replace('"g3"', '"g2"')),
    "one acceptor": fleet_text(OTHERS + '<quorum><acceptor name="g1"/></quorum>'),
    "joins and leaves": fleet_text(OTHERS + changed(QUORUM, g3='joins="true" leaves="true"')),
    "two change": fleet_text(OTHERS + changed(JOINS, g2='leaves="true"')),
    "task twice": fleet_text(OTHERS + QUORUM + '<task name="a"/><task name="a"/>'),
    "restarts as a task": fleet_text(OTHERS + QUORUM + '<task name="restarts"/>'),
    "places": fleet_text(OTHERS + QUORUM + '<task name="a" places="65"/>'),
    "all at once": fleet_text(OTHERS + OTHERS + QUORUM.replace('"g3"', '"g9"') + '<task name="a" places="65"/>',
                              'lease="5s" longest="2s" beat="4s" clocks-apart="50%"'),
    "schema": fleet_text(more='lease="long"'),
    "no freezes file": fleet_text(more='freezes="none.xml"'),
}  # fmt: skip


def plain(value: Any) -> Any:
    """Return values by their names at the base, and values of named tuples by position."""
    if dataclasses.is_dataclass(value):
        return {field.name: plain(getattr(value, field.name)) for field in dataclasses.fields(value)}
    if isinstance(value, tuple | list):
        return [plain(one) for one in value]
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    return value


def fleet_settings() -> list[dict[str, Any]]:
    found = []
    for name, text in SETTINGS.items():
        row: dict[str, Any] = {"case": name, "text": text, "error": "", "values": None}
        try:
            row["values"] = plain(fleet(parse(text.encode(), "/etc/fleet/x.xml")))
        except ConfigurationError as error:
            row["error"] = str(error)
        found.append(row)
    return found


def main() -> None:
    for build in (peering, task_actions, freezes, fleet_settings):
        text = json.dumps(build(), indent=1, sort_keys=False, ensure_ascii=True)
        (DATA / f"{build.__name__}.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
