"""Recovery of an acceptor: which records of its own and of others permit it to grant again."""

from __future__ import annotations

import pytest

from linenbridge.fleet.leases.messages import RecoveryReply
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.recovery import Recovery, RecoveryGrounds, StoreRestored
from linenbridge.fleet.leases.stored_state import AcceptorFacts
from linenbridge.fleet.leases.timing import LeaseTiming

ACCEPTORS = ("a", "b", "c")
TIMING = LeaseTiming(lease=100, max_lease=100, clock_drift_ppm=100_000, heartbeat=10)
WAIT = 110  # the longest lease plus the clock drift
GENERATION = 5
QUORUM = Quorum(GENERATION, ACCEPTORS, ACCEPTORS)


def start_recovery(facts: AcceptorFacts, quorum: Quorum = QUORUM, *, trusted: bool = False) -> Recovery:
    """Return a recovery of acceptor a that begins at 0."""
    return Recovery("a", quorum, TIMING, facts, 0, incarnation=7, trusted=trusted)


def reply(
    recovering: Recovery,
    acceptor: str,
    *,
    confirmed: int = GENERATION,
    has_records: bool = True,
    founding: int = 0,
) -> RecoveryReply:
    """Return another acceptor's reply to the request of a recovery."""
    generation = recovering.quorum.generation
    return RecoveryReply(
        recovering.number,
        acceptor,
        1,
        founding,
        generation,
        confirmed,
        has_records,
        0,
        records=[],
        newest_queue_positions={},
    )


KNOWN = AcceptorFacts(has_records=True, confirmed_generation=GENERATION)


def test_a_trusted_store_of_the_current_generation_needs_no_recovery():
    assert start_recovery(KNOWN, trusted=True).done


def test_an_acceptor_recovers_after_the_wait_with_two_others_records():
    recovering = start_recovery(KNOWN)
    for name in ("b", "c"):
        assert recovering.accept_reply(reply(recovering, name))
    assert recovering.complete(WAIT - 1) is None
    assert recovering.complete(WAIT) is RecoveryGrounds.RECOVERED


def test_an_acceptor_does_not_recover_with_one_others_records():
    recovering = start_recovery(KNOWN)
    assert recovering.accept_reply(reply(recovering, "b"))
    assert recovering.complete(WAIT) is None


@pytest.mark.parametrize(("missed", "grounds"), [(2, RecoveryGrounds.RECOVERED), (3, None)])
def test_records_that_missed_more_than_two_changes_of_the_quorum_do_not_count(missed, grounds):
    recovering = start_recovery(KNOWN)
    for name in ("b", "c"):
        assert recovering.accept_reply(reply(recovering, name, confirmed=GENERATION - missed))
    assert recovering.complete(WAIT) is grounds


@pytest.mark.parametrize(("missed", "grounds"), [(2, RecoveryGrounds.RECONFIGURED), (3, None)])
def test_a_trusted_acceptors_own_records_that_missed_more_than_two_changes_do_not_count(missed, grounds):
    recovering = start_recovery(KNOWN._replace(confirmed_generation=GENERATION - missed), trusted=True)
    assert recovering.accept_reply(reply(recovering, "b"))
    assert recovering.complete(0) is grounds


def test_a_reply_of_another_recovery_or_generation_or_acceptor_does_not_count():
    recovering = start_recovery(KNOWN)
    of_older_recovery = RecoveryReply(
        recovering.number - 1, "b", 1, 0, GENERATION, GENERATION, True, 0, [], {}
    )
    of_other_generation = RecoveryReply(
        recovering.number, "b", 1, 0, GENERATION + 1, GENERATION, True, 0, [], {}
    )
    assert not recovering.accept_reply(of_older_recovery)
    assert not recovering.accept_reply(of_other_generation)
    assert not recovering.accept_reply(reply(recovering, "d"))


def test_a_quorum_is_founded_when_no_acceptor_has_records():
    recovering = start_recovery(AcceptorFacts())
    for name in ("b", "c"):
        recovering.accept_reply(reply(recovering, name, confirmed=0, has_records=False))
    assert recovering.complete(WAIT) is RecoveryGrounds.FOUNDED
    assert recovering.founded_with == {"b": 1, "c": 1}


def test_a_quorum_is_not_founded_while_an_acceptor_is_missing():
    recovering = start_recovery(AcceptorFacts())
    recovering.accept_reply(reply(recovering, "b", confirmed=0, has_records=False))
    assert recovering.complete(WAIT) is None


def test_an_acceptor_reported_without_records_at_the_founding_needs_no_other_replies():
    recovering = start_recovery(AcceptorFacts())
    recovering.accept_reply(reply(recovering, "b", founding=recovering.number))
    assert recovering.complete(WAIT) is RecoveryGrounds.FOUNDED


def test_an_acceptor_whose_store_was_restored_recovers_as_one_without_records():
    restored = start_recovery(KNOWN, trusted=True)
    restored.on_store_restored(50, StoreRestored("b", 3, 9))
    assert restored.store_restored
    for name in ("b", "c"):
        restored.accept_reply(reply(restored, name))
    assert restored.complete(50 + WAIT - 1) is None
    assert restored.complete(50 + WAIT) is RecoveryGrounds.RECOVERED
    assert not restored.store_restored
