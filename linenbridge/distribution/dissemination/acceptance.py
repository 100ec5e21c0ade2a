"""A follower's rules for the content of one region: which messages are accepted, ignored or malformed.

The module decides without I/O. Batches are accepted only in order. A batch or range that is older than the
follower's position is ignored. A message whose bytes fail a check is malformed and is discarded as a whole.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from linenbridge.distribution.changes import RANGES, START, Change, Position, Version, intact, range_of
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.messages import Batch, RangeSnapshot, batch_checksum, range_checksum

MAX_RANGE_BYTES = 16_000_000  # sum of the sizes of the values of one range
MAX_PENDING_DIGESTS = 256  # positions with a relay's digest and none of the host yet

_encode = msgspec.msgpack.Encoder().encode


class Verdict(Enum):
    """The result of checking a message against a follower's state of its region."""

    ACCEPTED = "accepted"
    HEARTBEAT = "heartbeat"
    IGNORED = "ignored"
    GAP = "gap"
    MALFORMED = "malformed"


def defect(message: Batch | RangeSnapshot) -> str:
    """Return a description of the first check that a message fails, or an empty string."""
    return batch_defect(message) if isinstance(message, Batch) else range_defect(message)


def batch_defect(batch: Batch) -> str:
    """Return a description of the first check that a batch fails, or an empty string."""
    if batch.checksum != batch_checksum(batch.region, batch.after, batch.upto, _encode(batch.changes)):
        return "the checksum of the batch does not match"
    if batch.after > batch.upto.sequence:
        return "the end of the batch is before its start"
    return _changes_defect(batch.region, batch.changes) or _order_defect(batch)


def _order_defect(batch: Batch) -> str:
    last = batch.after
    for change in batch.changes:
        if not last < change.sequence <= batch.upto.sequence or change.epoch > batch.upto.epoch:
            return "a change is out of order or outside the batch"
        last = change.sequence
    return ""


def range_defect(snapshot: RangeSnapshot) -> str:
    """Return a description of the first check that a part of a range fails, or an empty string."""
    encoded = _encode(snapshot.changes)
    expected = range_checksum(
        snapshot.region, snapshot.upto, snapshot.range_index, snapshot.part, snapshot.last, encoded
    )
    if snapshot.checksum != expected:
        return "the checksum of the range does not match"
    if not 0 <= snapshot.range_index < RANGES:
        return "the range index is out of bounds"
    if any(range_of(change.kind, change.name) != snapshot.range_index for change in snapshot.changes):
        return "a change belongs to another range"
    return _changes_defect(snapshot.region, snapshot.changes)


def _changes_defect(region: str, changes: list[Change]) -> str:
    for change in changes:
        if change.region != region:
            return "a change belongs to another region"
        if not intact(change):
            return "the checksum of a change does not match"
    return ""


class Acceptance:
    """A follower's state of one region.

    `accepted` is the position up to which changes were handed to the host. `applied` is the position up to
    which the host has put them in force. `digest` is the host's digest at `applied`, or None if it is
    unknown.
    """

    def __init__(self, region: str, version: Version = START) -> None:
        self.region = region
        self.accepted = self.applied = version
        self.digest: int | None = None
        self.confirmed = False  # the relay has sent its digest at `accepted`
        self.digest_differs = False  # the host's digest is not the relay's at the same position
        self.behind_horizon = False
        self.transferring_at: int | None = None  # microseconds; the last request or part
        self._expected: dict[Version, int] = {}
        self._parts: list[Change] = []
        self._bytes = 0
        self._range = -1
        self._next_part = 0

    @property
    def needs_ranges(self) -> bool:
        """Whether changes alone do not lead to the relay's state, so that the follower has to request
        ranges."""
        return self.digest_differs or self.behind_horizon

    def on_new_session(self) -> None:
        """Reset the state of the session: abort a transfer and compare digests again."""
        self.transferring_at = None
        self.confirmed = self.digest_differs = self.behind_horizon = False
        self._drop_parts()

    def classify(self, message: Batch | RangeSnapshot) -> Verdict:
        """Decide what to do with a message of this region.

        The only state that changes here is `behind_horizon` and, at the first part of a range, the range that
        is being joined. All other state changes in `accept` and `accept_snapshot`.
        """
        if defect(message):
            return Verdict.MALFORMED
        return (
            self._classify_batch(message) if isinstance(message, Batch) else self._classify_snapshot(message)
        )

    # ---- batches ---------------------------------------------------------------------------------------

    def _classify_batch(self, batch: Batch) -> Verdict:
        if batch.after > self.accepted.sequence:
            return Verdict.GAP
        self.behind_horizon = batch.horizon > self.accepted.sequence
        if batch.upto == self.accepted and not batch.changes:
            has_new_digest = batch.digest is not None and not self.confirmed
            return Verdict.ACCEPTED if has_new_digest else Verdict.HEARTBEAT
        if batch.upto <= self.accepted:
            return Verdict.IGNORED
        return Verdict.IGNORED if self.behind_horizon else Verdict.ACCEPTED

    def accept(self, batch: Batch) -> Apply:
        """Accept a batch. Return the changes that the host has to apply.

        The first heartbeat with a digest leads to an `Apply` without changes, to which the host answers with
        its own digest.
        """
        changes = [change for change in batch.changes if change.version > self.accepted]
        self.accepted = batch.upto
        self.confirmed = batch.digest is not None
        if batch.digest is not None:
            self._expect(batch.upto, batch.digest)
        return Apply(self.region, batch.upto, changes, batch.digest, batch.horizon)

    def compare(self, batch: Batch) -> bool:
        """Compare the digest of a heartbeat with the host's digest. Return whether both digests are known at
        the same position."""
        if batch.digest is None or self.applied != batch.upto or self.digest is None:
            return False
        self.digest_differs = self.digest != batch.digest
        return True

    def _expect(self, upto: Version, digest: int) -> None:
        self._expected[upto] = digest
        if len(self._expected) > MAX_PENDING_DIGESTS:
            del self._expected[next(iter(self._expected))]

    # ---- ranges ----------------------------------------------------------------------------------------

    def _classify_snapshot(self, snapshot: RangeSnapshot) -> Verdict:
        if snapshot.upto < self.accepted or self.transferring_at is None:
            return Verdict.IGNORED
        if snapshot.part == 0:
            self._drop_parts()
            self._range = snapshot.range_index
        if snapshot.range_index != self._range or snapshot.part != self._next_part:
            return Verdict.GAP
        return Verdict.ACCEPTED

    def accept_snapshot(self, now: int, snapshot: RangeSnapshot) -> ReplaceRange | None:
        """Add a part to its range. Return the complete range if this is the last part, None otherwise. `now`
        is in microseconds."""
        self.transferring_at = now
        self._next_part += 1
        self._parts += snapshot.changes
        self._bytes += sum(len(change.value) for change in snapshot.changes)
        if not snapshot.last:
            return None
        replace = ReplaceRange(
            self.region, snapshot.upto, snapshot.range_index, self._parts, snapshot.final, snapshot.horizon
        )
        self._drop_parts()
        if snapshot.final:
            self.accepted = snapshot.upto
            self.transferring_at = None
            self.confirmed = self.digest_differs = self.behind_horizon = False
        return replace

    @property
    def too_large(self) -> bool:
        """Whether the parts received of the current range exceed MAX_RANGE_BYTES."""
        return self._bytes > MAX_RANGE_BYTES

    def _drop_parts(self) -> None:
        self._parts = []
        self._bytes = 0
        self._range = -1
        self._next_part = 0

    # ---- the host --------------------------------------------------------------------------------------

    def on_applied(self, upto: Version, digest: int | None) -> bool:
        """Record that the host has put a batch or range in force.

        `digest` is the host's digest at `upto`, or None if the host cannot compute a comparable one. A range
        that is not the final one of its transfer does not move the position. Return whether the digest was
        compared with the relay's.
        """
        if self.accepted < upto or upto < self.applied:
            return False
        self.applied = upto
        self.digest = digest
        expected = self._expected.pop(upto, None)
        self._expected = {version: each for version, each in self._expected.items() if version > upto}
        if expected is None or digest is None:
            return False
        self.digest_differs = expected != digest
        return True


class Acceptances:
    """A follower's state of all regions.

    If `regions` is empty, the follower accepts every region that its relays send, up to
    `max_unknown_regions`.
    """

    def __init__(self, regions: list[str], positions: list[Position], max_unknown_regions: int) -> None:
        self._wanted = frozenset(regions)
        self._max_unknown_regions = max_unknown_regions
        self._by_region = {region: Acceptance(region) for region in regions}
        for position in positions:
            if self.of_region(position.region) is not None:
                self._by_region[position.region] = Acceptance(position.region, position.version)

    def __contains__(self, region: str) -> bool:
        return region in self._by_region

    def __getitem__(self, region: str) -> Acceptance:
        return self._by_region[region]

    def of_region(self, region: str) -> Acceptance | None:
        """Return the state of a region, or None if the follower does not accept this region."""
        if region not in self._by_region:
            bounded = len(self._by_region) >= self._max_unknown_regions
            if bounded or (self._wanted and region not in self._wanted):
                return None
            self._by_region[region] = Acceptance(region)
        return self._by_region[region]

    def applied(self) -> list[Position]:
        """Return the positions up to which the host has put changes in force."""
        return [
            Position(region, each.applied.epoch, each.applied.sequence)
            for region, each in self._by_region.items()
        ]

    def accepted(self) -> list[Position]:
        """Return the positions up to which changes were handed to the host."""
        return [
            Position(region, each.accepted.epoch, each.accepted.sequence)
            for region, each in self._by_region.items()
        ]

    def on_new_session(self) -> None:
        """Reset the state of the session in every region."""
        for acceptance in self._by_region.values():
            acceptance.on_new_session()
