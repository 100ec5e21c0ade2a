"""Mutants of a region's log: each disables one safeguard, and an explored schedule must then breach.

A mutant is a context manager that patches the safeguard and restores it. Its docstring describes the fault.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

import msgspec

from linenbridge.distribution.log import publisher, recovery, region_log, replica, replication


@contextmanager
def half_counts_as_majority() -> Iterator[None]:
    """Half of the relays, rounded down, count as a majority, for promises and for commits."""
    with (
        patch.object(recovery, "majority", lambda relays: relays // 2),
        patch.object(publisher, "majority", lambda relays: relays // 2),
    ):
        yield


@contextmanager
def any_epoch_accepted() -> Iterator[None]:
    """A relay accepts messages from a publisher that was replaced."""
    with patch.object(replica.Replica, "_accepts_epoch", lambda self, publisher, epoch: True):
        yield


@contextmanager
def epoch_shared_by_publishers() -> Iterator[None]:
    """A relay accepts the promised epoch from any publisher, not only from the one that it promised."""
    with patch.object(replica.Replica, "_accepts_epoch", lambda self, publisher, epoch: epoch >= self.epoch):
        yield


@contextmanager
def promise_lost_on_restart() -> Iterator[None]:
    """A restarted relay does not restore which epoch it has promised."""
    original = replica.Replica.__init__

    def discard_promise(self, region, name, stored, random, *, trusted):
        without_promise = msgspec.structs.replace(stored, epoch=0, publisher="")
        original(self, region, name, without_promise, random, trusted=trusted)

    with patch.object(replica.Replica, "__init__", discard_promise):
        yield


@contextmanager
def response_sent_before_write() -> Iterator[None]:
    """A relay sends its response before the promise or the entries are on disk."""
    original = replica.Replica._persist

    def persist_after_response(self, truncate_after=None, changes=None, superseded=None, then=None):
        self._decisions.extend(then or [])
        original(self, truncate_after, changes, superseded)

    with patch.object(replica.Replica, "_persist", persist_after_response):
        yield


@contextmanager
def previous_entry_not_checked() -> Iterator[None]:
    """A relay appends entries without checking that its log agrees at the entry before them."""
    with patch.object(region_log.Log, "agrees_at", lambda self, version: True):
        yield


@contextmanager
def agreeing_entries_truncated() -> Iterator[None]:
    """A relay truncates its log after `previous`, even if the entries there agree and the message is late."""

    def all_after_previous(self, message):
        agreed = max(message.previous.sequence, self.log.committed)
        changes = [change for change in message.changes if change.sequence > self.log.committed]
        truncate_after = agreed if changes and self.log.last.sequence > agreed else None
        return replica.LogUpdate(truncate_after, changes)

    with patch.object(replica.Replica, "_entries_to_append", all_after_previous):
        yield


@contextmanager
def recovery_without_reading() -> Iterator[None]:
    """A publisher appends after the entries that it knew as committed, without reading a relay's log."""

    def choose(self, now):
        self._quorum = [peer for peer in self.peers.values() if peer.prepared is not None]
        self._finish()

    with (
        patch.object(recovery.LogRecovery, "_choose_source", choose),
        patch.object(recovery.LogRecovery, "_is_retired", lambda self, peer: False),
    ):
        yield


@contextmanager
def recovery_from_any_log() -> Iterator[None]:
    """A publisher reads the log of any relay of the quorum, not the newest log."""
    with patch.object(recovery, "max", lambda rows, **_: list(rows)[0], create=True):
        yield


@contextmanager
def older_epochs_committed() -> Iterator[None]:
    """An entry of an earlier epoch is committed once a majority has it, without an entry of this epoch."""
    with patch.object(publisher.Publisher, "_is_of_this_epoch", lambda self, sequence: True):
        yield


@contextmanager
def lost_disk_counts() -> Iterator[None]:
    """A relay that lost its disk counts towards majorities as before."""
    with (
        patch.object(region_log.Log, "incarnation_counts", lambda self, relay, incarnation: True),
        patch.object(recovery.LogRecovery, "_is_retired", lambda self, peer: False),
    ):
        yield


@contextmanager
def restored_disk_trusted() -> Iterator[None]:
    """A relay whose disk was restored to an older state keeps its incarnation."""
    original = replica.Replica.__init__

    def trust_disk(self, region, name, stored, random, *, trusted):
        original(self, region, name, stored, random, trusted=True)

    with patch.object(replica.Replica, "__init__", trust_disk):
        yield


@contextmanager
def uncommitted_incarnation_counts() -> Iterator[None]:
    """A relay's new incarnation counts before the entry that names the incarnation is committed."""

    def counts(self, relay, incarnation):
        found = self.incarnations.get(relay)
        return found is not None and found.number == incarnation

    with patch.object(region_log.Log, "incarnation_counts", counts):
        yield


@contextmanager
def retired_incarnation_counts() -> Iterator[None]:
    """A publisher counts a promise of a retired incarnation, which the relay may have lost since."""
    with patch.object(recovery.LogRecovery, "_is_retired", lambda self, peer: False):
        yield


@contextmanager
def committed_announced_too_early() -> Iterator[None]:
    """The committed sequence is announced to a relay before the entries up to that sequence were sent."""

    def announce(self, log):
        self.announced_committed = log.committed
        return self.announced_committed

    with patch.object(replication.Peer, "_announce_committed", announce):
        yield


@contextmanager
def tombstones_purged_too_early() -> Iterator[None]:
    """Tombstones are purged that some relay does not have yet."""
    with patch.object(publisher.Publisher, "_committed_everywhere", lambda self: self.log.committed):
        yield


@contextmanager
def disk_older_than_purge_accepted() -> Iterator[None]:
    """A relay continues with a restored disk from before tombstones that were purged."""
    with patch.object(replica.Replica, "_predates_purge", lambda self, message: False):
        yield


@contextmanager
def purged_keys_recovered() -> Iterator[None]:
    """A publisher keeps keys that were deleted, and their tombstones purged, while it was not the
    publisher."""
    with patch.object(recovery.LogRecovery, "_purged_up_to", lambda self: 0):
        yield


@contextmanager
def partial_log_not_replaced() -> Iterator[None]:
    """A relay keeps its uncommitted entries while the log is sent to it from the start."""
    with patch.object(replica.Replica, "_refills_from_start", lambda self, message: False):
        yield


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        half_counts_as_majority,
        any_epoch_accepted,
        epoch_shared_by_publishers,
        promise_lost_on_restart,
        response_sent_before_write,
        previous_entry_not_checked,
        agreeing_entries_truncated,
        recovery_without_reading,
        recovery_from_any_log,
        older_epochs_committed,
        lost_disk_counts,
        restored_disk_trusted,
        uncommitted_incarnation_counts,
        retired_incarnation_counts,
        committed_announced_too_early,
        tombstones_purged_too_early,
        disk_older_than_purge_accepted,
        purged_keys_recovered,
        partial_log_not_replaced,
    )
}
