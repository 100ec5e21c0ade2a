"""The names and fields of the log events of leases, which operators read."""

from __future__ import annotations

import pytest

from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import LogEvent
from linenbridge.fleet.leases.messages import Granted, LeaseReply, RecoveryReply, TaskStatus
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState
from linenbridge.fleet.leases.timing import LeaseTiming

ACCEPTORS = ("a", "b", "c")
QUORUM = Quorum(1, ACCEPTORS, ACCEPTORS)
NEXT_QUORUM = Quorum(2, ("a", "b", "d"), ACCEPTORS)
TIMING = LeaseTiming(lease=10_000, max_lease=10_000, clock_drift_ppm=0, heartbeat=1_000)
STORED = StoredState(AcceptorFacts(True, 1, 5, 10_000))


def run_decisions(core: Acceptor | Proposer, now: int) -> dict[str, dict]:
    """Carry out all decisions of a core; return the fields of its log events by name."""
    decisions = list(iter(lambda: core.next_decision(now), None))
    return {event.name: dict(event.fields) for event in decisions if isinstance(event, LogEvent)}


@pytest.fixture
def acceptor():
    """Return an acceptor that grants leases."""
    return Acceptor("a", QUORUM, TIMING, STORED, 0, trusted=True)


@pytest.fixture
def proposer():
    """Return a proposer that has sent its first request, which queries the status of a task."""
    proposer = Proposer("x#1", QUORUM, TIMING, 1, 0)
    proposer.request_lease(0, "sweep")
    run_decisions(proposer, 0)
    return proposer


def reply(acceptor: str, number: int, **lists: list) -> LeaseReply:
    """Return a reply without rejections."""
    granted, statuses = lists.get("granted", []), lists.get("statuses", [])
    return LeaseReply(number, acceptor, 1, 0, "", granted, [], statuses)


def acquire_task(proposer: Proposer, now: int) -> None:
    """Make the proposer acquire its task by the replies of two acceptors of three: queue position, free slot,
    grant."""
    free = TaskStatus("sweep", 0, 0, [0], [0], [""])
    for number in (1, 2):
        for name in ("a", "b"):
            proposer.on_reply(now, reply(name, number, statuses=[free]))
        while proposer.next_decision(now) is not None:
            pass
    for name in ("a", "b"):
        proposer.on_reply(now, reply(name, 3, granted=[Granted("sweep", 0, 1)]))


def test_a_recovered_acceptor_logs_its_grounds():
    acceptor = Acceptor("a", QUORUM, TIMING, STORED, 0, incarnation=7)
    for name in ("b", "c"):
        acceptor.on_recovery_reply(1, RecoveryReply(8, name, 1, 0, 1, 1, True, 0, [], {}))
    assert run_decisions(acceptor, 10_000) == {
        "acceptor.recovered": {"grounds": "recovered", "generation": 1, "slots": 0}
    }


def test_an_acceptor_of_a_changing_quorum_logs_it_and_its_recovery(acceptor):
    acceptor.on_quorum(1, NEXT_QUORUM)
    for name in ("b", "d"):
        acceptor.on_recovery_reply(
            2, RecoveryReply(acceptor.recovery.number, name, 1, 0, 2, 1, True, 0, [], {})
        )
    assert run_decisions(acceptor, 2) == {
        "quorum.changing": {"generation": 2, "acceptors": ["a", "b", "d"]},
        "acceptor.recovered": {"grounds": "reconfigured", "generation": 2, "slots": 0},
    }


def test_an_acceptor_whose_store_was_restored_logs_both_revisions(acceptor):
    acceptor.on_recovery_reply(1, RecoveryReply(0, "b", 1, 0, 1, 1, True, 9, [], {}))
    fields = run_decisions(acceptor, 1)["acceptor.recovering"]
    assert (fields["kind"], fields["what"]) == (
        "DiskWentBack",
        "b has seen revision 9, the store is at revision 5",
    )


def test_an_acceptor_without_replies_logs_the_missing_acceptors():
    acceptor = Acceptor("a", QUORUM, TIMING, StoredState(), 0)
    fields = run_decisions(acceptor, 10_000 + 3 * 1_000)["acceptor.recovering"]
    assert (fields["kind"], fields["what"]) == ("MemoryLost", "with records: none; no reply: ['b', 'c']")


def test_a_failed_store_is_logged(acceptor):
    acceptor.on_store_failed("disk is full")
    assert run_decisions(acceptor, 1)["store.failed"]["what"] == "disk is full"


def test_a_lease_is_logged_when_it_is_acquired_and_when_it_has_expired(proposer):
    acquire_task(proposer, 10)
    assert run_decisions(proposer, 10) == {
        "lease.held": {"task": "sweep", "slot": 0, "term": 1, "renewed": False}
    }
    assert run_decisions(proposer, 10_020)["lease.lost"] == {
        "task": "sweep",
        "slot": 0,
        "term": 1,
        "late": 10,
    }


def test_a_proposer_without_a_majority_logs_the_lost_quorum(proposer):
    fields = run_decisions(proposer, 10_000 + 3 * 1_000 + 1)["quorum.lost"]
    assert fields["kind"] == "QuorumLost"
    assert "name" not in fields
    assert fields["what"] == "of the acceptors ['a', 'b', 'c'] only [] grant leases"


def test_a_newer_generation_is_logged(proposer):
    proposer.on_reply(1, LeaseReply(1, "b", 2, 0, "generation", [], [], []))
    fields = run_decisions(proposer, 1)["quorum.newer_generation"]
    assert fields["what"] == "the acceptor has generation 2, this member 1"
