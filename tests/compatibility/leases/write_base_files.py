"""Write `messages.json`, `decisions.json` and the stores in this folder with the code of commit 4d24a08.

Run in a checkout of that commit, with this folder as the argument:

    cd CHECKOUT && .venv/bin/python - FOLDER < FOLDER/write_base_files.py

The script uses the names of that commit and does not run on later ones. The tests read the files it wrote.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import sha256
from pathlib import Path
from unittest.mock import patch

sys.path.insert(0, os.getcwd())

import msgspec
from linenbridge.fleet.hosting import links
from linenbridge.fleet.leases.acceptor import Acceptor
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
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.store.promises import Promises
from tests.fleet.explore.leases import LeaseWorld, Scenario
from tests.fleet.explore.schedules import GROWS
from tests.fleet.explore.search import wander
from tests.fleet.sim import world
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

FOLDER = Path(sys.argv[1])
COMMIT = subprocess.run(
    ["git", "rev-parse", "HEAD"], capture_output=True, text=True, check=True
).stdout.strip()
SEEDS = (1, 2, 3, 4, 5, 6)
QUORUM_FAULTS = ("quorum", "quorum", "part", "lost", "late", "blank", "stopped", "older")
WALKS = {
    "two places": (
        Scenario(14, ticks=60, places=2, faults=(*Scenario.faults, "part", "mend", "older")),
        0.06,
    ),
    "three changes of the quorum": (Scenario(22, ticks=50, faults=QUORUM_FAULTS, quorums=GROWS), 0.12),
}
WALKS_EACH = 40

MESSAGES = {
    "request": LeaseRequest(
        70_000, "g1#5f3a", 3, 4_294_967_296,
        [Acquire("sweep", 1, 12, 10_000_000), Acquire("räume", 0, 2, 1)],
        [Relinquish("sweep", 0, 11)],
        [StatusQuery("index", 64, 0), StatusQuery("sweep", 2, 9)],
    ),
    "empty request": LeaseRequest(1, "g1#1", 1, 0, [], [], []),
    "reply": LeaseReply(
        70_000, "g2", 3, 129, "",
        [Granted("sweep", 1, 12)],
        [Rejected("räume", 0, 2, "held", 7), Rejected("index", 3, 1, "older", 2**40)],
        [TaskStatus("index", 8, 2, [0, 4], [0, 9_999_999], ["", "g3#1"])],
    ),
    "rejecting reply": LeaseReply(2, "g2", 4, 0, "generation", [], [], []),
    "recovery request": RecoveryRequest(2**52 - 1, "g1", 4),
    "recovery reply": RecoveryReply(
        2**52 - 1, "g2", 17, 2**51, 4, 3, True, 130,
        [PlaceRecord("sweep", 1, 12, "g1#5f3a", 11, 9_000_000), PlaceRecord("sweep", 2, 0, "", 5, 0)],
        {"index": 8, "sweep": 9},
    ),
    "empty recovery reply": RecoveryReply(1, "g3", 2, 0, 1, 0, False, 0, [], {}),
}  # fmt: skip


def changed(values: list) -> Iterator[tuple[str, list]]:
    """Return the message as other versions might send it: with more, fewer or differently typed fields."""
    yield "two unknown fields at the end", [*values, "unknown", {"more": [1]}]
    yield "another tag", ["other", *values[1:]]
    for length in range(len(values)):
        yield f"the first {length} elements only", values[:length]
    for index in range(len(values)):
        yield f"null as element {index}", [*values[:index], None, *values[index + 1 :]]
        rows = values[index]
        if isinstance(rows, list) and rows:
            row = rows[0]
            for what, other in (
                ("an unknown field at the end", [*row, "unknown"]),
                ("its last field absent", row[:-1]),
                ("no field", []),
            ):
                head = [other, *rows[1:]]
                yield f"row 0 of element {index} with {what}", [*values[:index], head, *values[index + 1 :]]


def read(data: bytes) -> dict:
    """Return the values that the base decodes from the bytes, or the error that it logs."""
    try:
        return {"values": msgspec.to_builtins(links._decode.decode(data))}
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return {"error": f"{type(error).__name__}: {error}"}


class Transport(StringTransport):
    """An in-memory transport that accepts TCP_NODELAY, as a TCP transport does."""

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802 - Twisted's name


def frames() -> dict[str, str]:
    """Return the bytes of one connection: the name of the sender, then a message."""

    class Log:
        def rarely(self, *arguments: object, **fields: object) -> None: ...

    made = links.Links("g1", frozenset({"g2"}), Clock(), Log(), lambda far, message: None)
    link, transport = made.buildProtocol(None), Transport()
    link.makeConnection(transport)
    hello = transport.value()
    transport.clear()
    link.dataReceived(hello.replace(b"g1", b"g2"))
    made.say("g2", MESSAGES["empty request"])
    return {"name": hello.hex(), "empty request": transport.value().hex()}


def plain(core: Acceptor | Proposer, decision: tuple) -> list:
    """Return a decision without the content of log events."""
    kind = decision[0]
    if kind == "log":
        return [kind]
    if kind == "say":
        return [kind, decision[1], msgspec.msgpack.encode(decision[2]).hex()]
    if kind == "keep":
        _, rows, to, message = decision
        sent = "" if message is None else msgspec.msgpack.encode(message).hex()
        return [kind, [list(row) for row in rows], to, sent, sorted(core.facts().items())]
    return list(decision)


@contextmanager
def recorded() -> Iterator[dict]:
    """Record the number and the digest of all decisions of all cores; the digest is set at the end."""
    digest, found = sha256(), {"decisions": 0}

    def recording(kind: type) -> object:
        original = kind.next_decision

        def next_decision(core: Acceptor | Proposer, now: int) -> tuple | None:
            decision = original(core, now)
            if decision is not None:
                found["decisions"] += 1
                digest.update(json.dumps([now, core.name, plain(core, decision)]).encode() + b"\n")
            return decision

        return patch.object(kind, "next_decision", next_decision)

    with recording(Acceptor), recording(Proposer):
        yield found
    found["digest"] = digest.hexdigest()


def decisions() -> dict:
    """Return the decisions of simulated fleets and of random walks in small worlds."""
    fleets, walks = {}, {}
    for seed in SEEDS:
        with recorded() as found:
            lines = world.Fleet(world.Shape(), seed).play()
        fleets[str(seed)] = {**found, "lines": len(lines)}
    for name, (scenario, odds) in WALKS.items():
        with recorded() as found:
            walked = wander(lambda: LeaseWorld(scenario), WALKS_EACH, seed=1, odds=odds)  # noqa: B023
        walks[name] = {**found, "states": walked.states, "breach": walked.breach}
    return {"commit": COMMIT, "fleets": fleets, "walks": walks}


ROWS = [("sweep", 0, 7, "g1#1", 0), ("sweep", 1, 5, "g2#1", 5), ("räume", 63, 2**40, "g3#5f3a", 0)]
FACTS = {"remembers": 1, "settled": 3, "stamp": 12, "longest": 10_000_000}


def stores() -> None:
    """Write a store that is closed, and one whose process is killed after its last write."""
    for path in FOLDER.glob("*.db*"):
        path.unlink()
    store = Promises(str(FOLDER / "closed.db"), "g1")
    store.read()
    store.keep(ROWS, FACTS)
    store.keep([("sweep", 0, 8, "g2#2", 7)], {**FACTS, "stamp": 13})
    store.close()
    if os.fork() == 0:
        store = Promises(str(FOLDER / "killed.db"), "g1")
        store.read()
        store.keep(ROWS, FACTS)
        os.kill(os.getpid(), 9)
    os.wait()


def main() -> None:
    """Write all records and stores."""
    written = {
        name: {"values": msgspec.to_builtins(message), "bytes": links._encode.encode(message).hex()}
        for name, message in MESSAGES.items()
    }
    received = []
    for name, message in MESSAGES.items():
        values = msgspec.to_builtins(message)
        for what, other in changed(values):
            data = msgspec.msgpack.encode(other)
            received.append({"message": name, "change": what, "bytes": data.hex(), **read(data)})
    assert set(map(type, MESSAGES.values())) == set(Message.__args__)
    text = {"commit": COMMIT, "written": written, "received": received, "frames": frames()}
    (FOLDER / "messages.json").write_text(json.dumps(text, indent=1) + "\n")
    stores()
    (FOLDER / "decisions.json").write_text(json.dumps(decisions(), indent=1) + "\n")


main()
