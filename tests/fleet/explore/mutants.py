"""Mutants of the lease cores: each disables one safeguard, and an explored schedule must then breach.

A mutant is a context manager that patches the safeguard and restores it. Its docstring describes the fault.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from linenbridge.fleet.leases import acceptor, errors, lease_state, quorum, recovery
from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.granted_leases import GrantedLeases
from linenbridge.fleet.leases.lease_state import LeasePhase, LeaseState
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.leases.recovery import Recovery, RecoveryGrounds


@contextmanager
def lease_counted_from_reply() -> Iterator[None]:
    """The holder counts its lease from an acceptor's reply, not from the sending of the request."""
    original = Proposer._on_granted

    def on_granted(self, now, lease, acceptor, sent_at):
        return original(self, now, lease, acceptor, now)

    with patch.object(Proposer, "_on_granted", on_granted):
        yield


@contextmanager
def clock_drift_ignored() -> Iterator[None]:
    """The holder assumes that its clock runs as fast as those of the acceptors."""
    with patch.object(lease_state, "lease_expiry", lambda timing, sent_at: sent_at + timing.lease):
        yield


@contextmanager
def expiry_not_checked() -> Iterator[None]:
    """The holder acts without checking by its clock whether the lease has expired."""

    def may_act(self, now, task):
        lease = self.leases.get(task)
        return lease.term if lease is not None and lease.phase is LeasePhase.HELD else None

    with patch.object(Proposer, "may_act", may_act):
        yield


@contextmanager
def half_counts_as_majority() -> Iterator[None]:
    """Half of the acceptors, rounded down and at least one, count as a majority."""
    with patch.object(quorum, "majority", lambda acceptors: max(1, len(acceptors) // 2)):
        yield


@contextmanager
def held_slot_granted() -> Iterator[None]:
    """The acceptor grants a slot that another proposer still holds."""
    with patch.object(GrantedLeases, "remaining", lambda self, key, now: 0):
        yield


@contextmanager
def older_term_granted() -> Iterator[None]:
    """The acceptor grants terms that are not newer than the newest in its records."""
    original_rejection = Acceptor._rejection
    original_choice = LeaseState.choose_slot

    def rejection(self, now, proposer, acquire):
        found = original_rejection(self, now, proposer, acquire)
        return None if found is errors.OlderTerm else found

    def choose_slot(self, statuses, free, abandon_at):
        found = original_choice(self, statuses, free, abandon_at)
        if found:
            self.requested_term = 1
        return found

    with (
        patch.object(Acceptor, "_rejection", rejection),
        patch.object(LeaseState, "choose_slot", choose_slot),
    ):
        yield


@contextmanager
def no_wait_after_restart() -> Iterator[None]:
    """A restarted acceptor does not wait until the longest lease has expired."""
    with patch.object(recovery, "restart_wait", lambda timing: 0):
        yield


@contextmanager
def recovery_without_replies() -> Iterator[None]:
    """A restarted acceptor grants at once, without waiting for time or for replies."""
    with (
        patch.object(recovery, "restart_wait", lambda timing: 0),
        patch.object(Recovery, "_grounds", lambda self: RecoveryGrounds.RECOVERED),
    ):
        yield


@contextmanager
def stored_leases_expired() -> Iterator[None]:
    """A restarted acceptor takes the leases in its store as expired."""
    with patch.object(acceptor, "restart_wait", lambda timing: 0):
        yield


@contextmanager
def records_not_merged() -> Iterator[None]:
    """A recovering acceptor does not merge the records of the other acceptors."""
    with patch.object(GrantedLeases, "merge", lambda self, record, expires_at: False):
        yield


@contextmanager
def quorum_changed_without_recovery() -> Iterator[None]:
    """An acceptor grants under a new quorum at once, without replies from the previous quorum."""

    def on_quorum(self, now, quorum):
        self.quorum = quorum
        self.confirmed_generation = quorum.generation

    with patch.object(Recovery, "on_quorum", on_quorum):
        yield


@contextmanager
def generation_not_checked() -> Iterator[None]:
    """An acceptor grants leases to proposers whose quorum has another generation."""

    def rejection_code(self, message):
        return "" if self.grants() else errors.AcceptorAside.code

    with patch.object(Acceptor, "_rejection_code", rejection_code):
        yield


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        lease_counted_from_reply,
        clock_drift_ignored,
        expiry_not_checked,
        half_counts_as_majority,
        held_slot_granted,
        older_term_granted,
        no_wait_after_restart,
        recovery_without_replies,
        stored_leases_expired,
        records_not_merged,
        quorum_changed_without_recovery,
        generation_not_checked,
    )
}
