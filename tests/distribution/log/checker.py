"""Guarantees of a region's log, checked by the writes and deliveries of its relays and the responses to
change clients.

The checker shares no code with the log. `breach` describes the first guarantee that was broken.
"""

from __future__ import annotations

from linenbridge.distribution.changes import Change
from linenbridge.distribution.decisions import Persist
from linenbridge.distribution.messages import Append, Publish, Published
from linenbridge.distribution.log.replica import StoredLog


class Disk:
    """One relay's disk, as its writes leave it: entries by sequence."""

    def __init__(self) -> None:
        """Create an empty disk."""
        self.rows: dict[int, tuple[int, bytes, int, str]] = {}
        self.epoch = self.committed = 0


def _row(change: Change) -> tuple[int, bytes, int, str]:
    return change.epoch, change.value, change.kind, change.name


class LogChecker:
    """The checker of one region.

    `agreed` has the entries known to be committed, by sequence. `accepted` has the key and the sequence of
    each change whose client got `accepted`, by request.
    """

    def __init__(self, relays: tuple[str, ...]) -> None:
        """Start with empty disks."""
        self.disks = {name: Disk() for name in relays}
        self.agreed: dict[int, tuple[int, bytes, int, str]] = {}
        self.requests_by_number: dict[int, Publish] = {}
        self.accepted: dict[int, tuple[str, int]] = {}
        self.rejected: set[bytes] = set()
        self.delivered = dict.fromkeys(relays, 0)
        self.promised = dict.fromkeys(relays, 0)
        self.delivering: tuple[str, int] | None = None  # a relay, and the epoch of the Append that it handles
        self.truncated = 0  # number of entries that relays replaced
        self.breach: str | None = None

    # ---- change clients ----------------------------------------------------------------------------------

    def on_publish(self, message: Publish) -> None:
        self.requests_by_number[message.request] = message

    def on_response(self, response: Published) -> None:
        request = self.requests_by_number[response.request]
        if response.state == "accepted":
            self.accepted[response.request] = (request.name, response.version.sequence)
            row = (response.version.epoch, request.value, request.kind, request.name)
            self._agree(response.version.sequence, row, "the publisher")
        elif response.state == "refused" and request.value:
            self.rejected.add(request.value)

    # ---- relays ------------------------------------------------------------------------------------------

    def on_append(self, relay: str, message: Append | None) -> None:
        """Note that a relay starts to handle an Append, or with None that it has handled it."""
        self.delivering = None if message is None else (relay, message.epoch)

    def on_disk(self, relay: str, stored: StoredLog) -> None:
        """Replace the content of a disk that was emptied or restored."""
        disk = self.disks[relay]
        disk.epoch, disk.committed = stored.epoch, stored.committed
        disk.rows = {change.sequence: _row(change) for change in stored.changes}

    def on_start(self, relay: str) -> None:
        self.delivered[relay] = 0
        self.promised[relay] = self.disks[relay].epoch

    def on_persist(self, relay: str, write: Persist) -> None:
        """Check a write that a running relay has decided on."""
        promised = self.promised[relay]
        if write.epoch < promised:
            self._report_breach(f"{relay} went back from epoch {promised} to {write.epoch}")
        if self.delivering is not None and write.changes and self.delivering[1] < promised:
            self._report_breach(
                f"{relay} accepted epoch {self.delivering[1]} after it had promised {promised}"
            )
        self.promised[relay] = write.epoch

    def on_persisted(self, relay: str, write: Persist) -> None:
        """Check a write that is on disk, and apply it."""
        disk = self.disks[relay]
        if write.epoch < disk.epoch:
            self._report_breach(f"{relay}'s disk went back from epoch {disk.epoch} to {write.epoch}")
        if write.truncate_after is not None:
            self._truncate(relay, disk, write.truncate_after)
        for change in write.changes:
            disk.rows[change.sequence] = _row(change)
            if change.value in self.rejected and change.kind:
                self._report_breach(
                    f"{relay} kept {change.value!r}, whose author was told that it is refused"
                )
        disk.epoch = write.epoch
        self._commit(relay, disk, write.committed)
        for sequence in write.superseded:
            disk.rows.pop(sequence, None)
        self._check_superseded_removed(relay, disk)

    def on_failed(self, relay: str, restored: bool) -> None:
        """Check that a relay stops using its disk only if the disk was emptied or restored."""
        if not restored:
            self._report_breach(f"{relay} stopped using a disk that was never restored to an earlier state")

    def on_delivered(self, relay: str, changes: list[Change]) -> None:
        for change in changes:
            if change.sequence <= self.delivered[relay]:
                self._report_breach(f"{relay} delivered {change.sequence} after {self.delivered[relay]}")
            self.delivered[relay] = change.sequence
            self._agree(change.sequence, _row(change), relay)

    # ---- checks ------------------------------------------------------------------------------------------

    def _truncate(self, relay: str, disk: Disk, after: int) -> None:
        if after < disk.committed:
            self._report_breach(f"{relay} truncated committed entries after {after}")
        self.truncated += sum(sequence > after for sequence in disk.rows)
        disk.rows = {sequence: row for sequence, row in disk.rows.items() if sequence <= after}

    def _commit(self, relay: str, disk: Disk, committed: int) -> None:
        if committed < disk.committed:
            self._report_breach(f"{relay} went back from committed {disk.committed} to {committed}")
        if committed == disk.committed:
            return
        for sequence, row in disk.rows.items():
            if disk.committed < sequence <= committed:
                self._agree(sequence, row, relay)
        disk.committed = committed
        for name, sequence in self.accepted.values():
            if sequence <= committed and not self._has_change_or_newer(disk, name, sequence):
                self._report_breach(f"{relay} committed up to {committed} without key {name} of {sequence}")

    def _has_change_or_newer(self, disk: Disk, name: str, sequence: int) -> bool:
        """Return whether the disk has a change of a key or a newer one. A tombstone may have been purged."""
        rows = [at for at, row in disk.rows.items() if row[2:] == (2, name)]
        deleted = [at for at, row in self.agreed.items() if row[1:] == (b"", 2, name)]
        return any(at >= sequence for at in rows) or (not rows and any(at >= sequence for at in deleted))

    def _check_superseded_removed(self, relay: str, disk: Disk) -> None:
        """Check that no entry is left that a committed one has superseded."""
        newest: dict[str, int] = {}
        for at, row in self.agreed.items():
            if row[2] == 2 and at <= disk.committed:
                newest[row[3]] = max(at, newest.get(row[3], 0))
        for at, row in disk.rows.items():
            if row[2] == 2 and at <= disk.committed and at < newest.get(row[3], 0):
                self._report_breach(f"{relay} has key {row[3]} of {at}, superseded at {newest[row[3]]}")

    def _agree(self, sequence: int, row: tuple[int, bytes, int, str], source: str) -> None:
        known = self.agreed.setdefault(sequence, row)
        if known != row:
            self._report_breach(f"{source} committed {row} at {sequence}, where {known} was committed")

    def _report_breach(self, what: str) -> None:
        self.breach = self.breach or what
