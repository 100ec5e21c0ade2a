"""Task actions send the same bytes as at commit 4d24a08 and handle answers in the same way.

`record_fleet_hosting.py` has written the record `data/task_actions.json`.
"""

from __future__ import annotations

import io
from typing import Any

from twisted.internet.testing import StringTransport

from linenbridge.fleet.configuration import TaskSettings
from linenbridge.fleet.hosting.task_actions import ActiveLease, TaskActions
from linenbridge.logging.event_log import Log
from tests.compatibility.fleet_fakes import ResolvingReactor, log_rows

LONG_BODY = b"x" * 70_000  # body of the answer whose header announces 90,000 bytes
# Log events and fields that have been renamed since the record was written, old -> new.
RENAMED = {"act": "task_action", "act.refused": "task_action.rejected", "act.failed": "task_action.failed"}
RENAMED_FIELDS = {"place": "slot", "by": "member", "of": "source"}


def run_first_action(row: dict[str, Any]) -> dict[str, Any]:
    """Run the first action of a task, give it the recorded answer, and return the outcome."""
    reactor = ResolvingReactor()
    stream = io.BytesIO()
    log = Log(stream)
    may_act = None if row["may_act"] is None else ActiveLease(*row["may_act"])
    task = TaskSettings(row["task"], 1, tuple(row["address"]), row["every"])
    actions = TaskActions(row["member"], (task,), reactor, log, lambda _: may_act)
    reactor.advance(row["every"] / 1e6 - 0.0001)
    early = len(reactor.tcpClients)
    reactor.advance(0.0002)
    found: dict[str, Any] = {"early": early, "connections": len(reactor.tcpClients)}
    if reactor.tcpClients:
        host, port, factory = reactor.tcpClients[0][:3]
        protocol = factory.buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        reactor.advance(row["every"] / 1e6)
        found |= {"host": host, "port": port, "sent": transport.value().hex()}
        found["connections_unanswered"] = len(reactor.tcpClients)
        if row["answer"]:
            answer = bytes.fromhex(row["answer"])
            protocol.dataReceived(answer + (LONG_BODY if b"90000" in answer else b""))
        else:
            reactor.advance(3.9)  # past the time at which the next action was due
            found["counts_before_timeout"] = len(log.counts)
            reactor.advance(0.2)
    found["counts"] = {" ".join(names): count for names, count in sorted(log.counts.items())}
    found["log"] = log_rows(stream.getvalue())
    actions.close()
    return found


def expected(found: dict[str, Any]) -> dict[str, Any]:
    """Return a recorded outcome with the present names of events, fields and counters."""
    counts = {}
    for name, count in found["counts"].items():
        event, _, rest = name.partition(" ")
        counts[f"{RENAMED.get(event, event)} {rest}"] = count
    lines = [
        {RENAMED_FIELDS.get(name, name): value for name, value in line.items()}
        | {"event": RENAMED.get(line["event"], line["event"])}
        for line in found["log"]
    ]
    return found | {"counts": counts, "log": lines}


def test_the_request_and_the_outcome_of_each_recorded_answer_are_the_same(record):
    rows = record("task_actions")

    for row in rows:
        assert run_first_action(row) == expected(row["found"]), (row["task"], row["answer"][:60])

    assert len(rows) == 9
