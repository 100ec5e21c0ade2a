"""Acceptors and proposers of simulated fleets return the same decisions as at the base."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import sha256
from unittest.mock import patch

import msgspec
import pytest

from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import LeaseAcquired, LeaseLost, LogEvent, Persist, Send
from linenbridge.fleet.leases.proposer import Proposer
from tests.compatibility.leases.conftest import base_file
from tests.fleet.explore.leases import LeaseWorld, Scenario
from tests.fleet.explore.schedules import GROWING_QUORUMS
from tests.exploration.search import random_walks
from tests.fleet.sim.world import SimulatedFleet, FleetShape

BASE = base_file("decisions.json")
QUORUM_FAULTS = (
    "quorum",
    "quorum",
    "partition_pair",
    "lost",
    "late",
    "restart_empty",
    "pause",
    "restart_older",
)
WALKS = {
    "two places": (
        Scenario(14, ticks=60, slots=2, faults=(*Scenario.faults, "partition_pair", "heal", "restart_older")),
        0.06,
    ),
    "three changes of the quorum": (
        Scenario(22, ticks=50, faults=QUORUM_FAULTS, quorums=GROWING_QUORUMS),
        0.12,
    ),
}
WALKS_EACH = 40


def plain(core: Acceptor | Proposer, decision: object) -> list:
    """Return a decision in the format of the record, without the content of log events."""
    match decision:
        case LogEvent():
            return ["log"]
        case Send(to, message):
            return ["say", to, msgspec.msgpack.encode(message).hex()]
        case Persist(records, then):
            rows = [
                [record.task, record.slot, record.term, record.holder, record.relinquished_term]
                for record in records
            ]
            to = "" if then is None else then.to
            sent = "" if then is None else msgspec.msgpack.encode(then.message).hex()
            has_records, confirmed_generation, revision, max_lease = core.facts()
            facts = {
                "remembers": int(has_records),
                "settled": confirmed_generation,
                "stamp": revision,
                "longest": max_lease,
            }
            return ["keep", rows, to, sent, sorted(facts.items())]
        case LeaseAcquired(task, slot, term):
            return ["held", task, slot, term]
        case LeaseLost(task, slot, term):
            return ["lost", task, slot, term]
    raise TypeError(decision)


@contextmanager
def recorded() -> Iterator[dict]:
    """Record the number and the digest of all decisions of all cores; the digest is set at the end."""
    digest = sha256()
    found = {"decisions": 0}

    def recording(kind: type) -> object:
        original = kind.next_decision

        def next_decision(core: Acceptor | Proposer, now: int) -> object:
            decision = original(core, now)
            if decision is not None:
                found["decisions"] += 1
                digest.update(json.dumps([now, core.name, plain(core, decision)]).encode() + b"\n")
            return decision

        return patch.object(kind, "next_decision", next_decision)

    with recording(Acceptor), recording(Proposer):
        yield found
    found["digest"] = digest.hexdigest()


@pytest.mark.parametrize("seed", BASE["fleets"])
def test_a_simulated_fleet_makes_the_same_decisions_as_at_the_base(seed):
    with recorded() as found:
        lines = SimulatedFleet(FleetShape(), int(seed)).run()
    assert {**found, "lines": len(lines)} == BASE["fleets"][seed]


@pytest.mark.parametrize("name", BASE["walks"])
def test_random_walks_with_faults_make_the_same_decisions_as_at_the_base(name):
    scenario, odds = WALKS[name]
    with recorded() as found:
        walked = random_walks(lambda: LeaseWorld(scenario), WALKS_EACH, seed=1, deviation_probability=odds)
    assert {**found, "states": walked.states, "breach": walked.breach} == BASE["walks"][name]
