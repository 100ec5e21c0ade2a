"""What an acceptor grants at once after a restart with a trusted store, and what it holds back."""

from __future__ import annotations

import pytest

from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import Persist, Send
from linenbridge.fleet.leases.messages import Acquire, LeaseReply, LeaseRequest, Relinquish
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState
from linenbridge.fleet.leases.timing import LeaseTiming
from tests.fleet.stored_state import state_after

ACCEPTORS = ("a", "b", "c")
QUORUM = Quorum(1, ACCEPTORS, ACCEPTORS)
LEASE = 10_000  # microseconds
TIMING = LeaseTiming(lease=LEASE, max_lease=LEASE, clock_drift_ppm=0, heartbeat=1_000)
HOLDER, OTHER = "x#1", "y#1"


class Store:
    """An acceptor's store, and the processes that run on it one after the other."""

    def __init__(self) -> None:
        self.state = StoredState(AcceptorFacts(True, 1, 0, LEASE))
        self.number = 0
        self.start(0)

    def start(self, now: int, timing: LeaseTiming = TIMING) -> None:
        """Start an acceptor with the stored state."""
        self.acceptor = Acceptor("a", QUORUM, timing, self.state, now, trusted=True)
        self.run(now)

    def run(self, now: int) -> list[LeaseReply]:
        """Carry out all decisions; return the replies sent."""
        replies = []
        while (decision := self.acceptor.next_decision(now)) is not None:
            if isinstance(decision, Persist):
                self.state = state_after(self.state, decision, self.acceptor.facts())
                decision = decision.then
            if isinstance(decision, Send):
                replies.append(decision.message)
        return replies

    def is_granted(self, now: int, proposer: str, term: int, slot: int = 0, duration: int = LEASE) -> bool:
        """Return whether the acceptor grants a slot of the task."""
        acquire = Acquire("sweep", slot, term, duration)
        return bool(self.request(now, proposer, [acquire], []).granted)

    def request(self, now: int, proposer: str, acquires: list, relinquishes: list) -> LeaseReply:
        """Return the reply to a request."""
        self.number += 1
        self.acceptor.on_request(now, LeaseRequest(self.number, proposer, 1, 0, acquires, relinquishes, []))
        (reply,) = self.run(now)
        return reply


@pytest.fixture
def store() -> Store:
    """Return a store in which one slot is granted to a holder, of an acceptor that was restarted at 100."""
    store = Store()
    assert store.is_granted(50, HOLDER, 1)
    store.start(100)
    return store


def test_a_stored_lease_stays_its_holders_for_the_longest_lease_after_a_restart(store):
    """Guards against a lease that is granted again while its holder still acts."""
    assert not store.is_granted(100, OTHER, 2)
    assert not store.is_granted(100 + LEASE - 1, OTHER, 2)
    assert store.is_granted(100 + LEASE, OTHER, 2)


def test_the_holder_renews_and_free_slots_are_granted_at_once_after_a_restart(store):
    assert store.is_granted(100, HOLDER, 1)
    assert store.is_granted(100, OTHER, 1, slot=1)


def test_a_slot_that_was_given_back_is_granted_at_once_after_a_restart(store):
    store.request(100, HOLDER, [], [Relinquish("sweep", 0, 1)])
    store.start(200)
    assert store.is_granted(200, OTHER, 2)


def test_a_lease_longer_than_the_settings_of_the_next_start_is_kept_for_its_length(store):
    """Guards against a renewal under a longer `longest` that the store does not know of."""
    longer = TIMING._replace(lease=3 * LEASE, max_lease=3 * LEASE)
    store.start(100, longer)
    assert store.is_granted(200, HOLDER, 1, duration=3 * LEASE)
    store.start(300)
    assert not store.is_granted(300 + LEASE, OTHER, 2)
    assert store.is_granted(300 + 3 * LEASE, OTHER, 2)
