"""The guards of the lease cores, each taken away on purpose; what is explored then must break.

Owns the mutants alone. Each is a context that patches one guard and puts it back; the words say which.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from linenbridge.fleet.leases import acceptor, errors, granted_leases, lease_state, proposer, quorum, recovery


@contextmanager
def counts_from_the_answer() -> Iterator[None]:
    """The holder counts its lease from when an acceptor answered, not from when it asked."""
    granted = proposer.Proposer._on_granted

    def late(self, now, lease, acceptor, slot, term, sent_at):
        return granted(self, now, lease, acceptor, slot, term, now)

    with patch.object(proposer.Proposer, "_on_granted", late):
        yield


@contextmanager
def forgets_the_clocks() -> Iterator[None]:
    """The holder trusts its clock to run as fast as the acceptors'."""
    with patch.object(lease_state, "lease_expiry", lambda timing, sent_at: sent_at + timing.lease):
        yield


@contextmanager
def acts_without_a_look_at_the_clock() -> Iterator[None]:
    """The holder takes it that it still holds what it held."""

    def may_act(self, now, task):
        held = self.leases.get(task)
        return held.term if held is not None and held.phase == lease_state.HELD else None

    with patch.object(proposer.Proposer, "may_act", may_act):
        yield


@contextmanager
def half_is_enough() -> Iterator[None]:
    """One acceptor fewer than a majority carries."""
    with patch.object(quorum, "majority", lambda acceptors: max(1, len(acceptors) // 2)):
        yield


@contextmanager
def grants_what_is_held() -> Iterator[None]:
    """The acceptor does not keep a place for its holder."""
    with patch.object(granted_leases.GrantedLeases, "remaining", lambda self, key, now: 0):
        yield


@contextmanager
def grants_any_term() -> Iterator[None]:
    """The acceptor grants terms that are not newer than what it knows."""
    plain = acceptor.Acceptor._rejection

    def lax(self, now, name, take):
        found = plain(self, now, name, take)
        return None if found is errors.OlderTerm else found

    choose = lease_state.LeaseState.choose_slot

    def first(self, statuses, free, abandon_at):
        found = choose(self, statuses, free, abandon_at)
        if found:
            self.requested_term = 1
        return found

    with (
        patch.object(acceptor.Acceptor, "_rejection", lax),
        patch.object(lease_state.LeaseState, "choose_slot", first),
    ):
        yield


@contextmanager
def does_not_stand_aside() -> Iterator[None]:
    """An acceptor that starts anew does not let the longest lease run out."""
    with patch.object(recovery, "restart_wait", lambda timing: 0):
        yield


@contextmanager
def returns_alone() -> Iterator[None]:
    """An acceptor that starts anew hears nobody, and grants at once."""
    with (
        patch.object(recovery, "restart_wait", lambda timing: 0),
        patch.object(recovery.Recovery, "_grounds", lambda self: "recalled"),
    ):
        yield


@contextmanager
def learns_no_terms() -> Iterator[None]:
    """An acceptor that comes back takes in nothing of what the others remember."""
    with patch.object(granted_leases.GrantedLeases, "merge", lambda self, record, expires_at: False):
        yield


@contextmanager
def moves_without_settling() -> Iterator[None]:
    """An acceptor grants under a new quorum at once, without hearing the old one."""

    def on_quorum(self, now, quorum):
        self.quorum, self.confirmed_generation = quorum, quorum.generation

    with patch.object(recovery.Recovery, "on_quorum", on_quorum):
        yield


@contextmanager
def answers_any_generation() -> Iterator[None]:
    """An acceptor grants to proposers that count by another quorum."""

    def rejection_code(self, message):
        return errors.AcceptorAside.code if self.store_error or not self.recovery.done else ""

    with patch.object(acceptor.Acceptor, "_rejection_code", rejection_code):
        yield


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        counts_from_the_answer,
        forgets_the_clocks,
        acts_without_a_look_at_the_clock,
        half_is_enough,
        grants_what_is_held,
        grants_any_term,
        does_not_stand_aside,
        returns_alone,
        learns_no_terms,
        moves_without_settling,
        answers_any_generation,
    )
}
