"""A follower's rules for the content of one region: what is accepted, what is ignored, what is malformed.

Decides without I/O. Batches are accepted in order only; a batch or range behind the position is ignored; a
message whose bytes fail a check is malformed, and nothing of it is accepted.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from linenbridge.distribution.changes import RANGES, START, Change, Position, Version, intact, range_of
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.messages import Batch, RangeSnapshot, batch_checksum, range_checksum

MAX_RANGE_BYTES = 16_000_000  # of the values of one range whose parts are being joined
MAX_PENDING_DIGESTS = 256  # positions whose digest the host has yet to report

_encode = msgspec.msgpack.Encoder().encode


class Verdict(Enum):
    """What a follower does with a message."""

    ACCEPTED = "accepted"
    HEARTBEAT = "heartbeat"
    IGNORED = "ignored"
    GAP = "gap"
    MALFORMED = "malformed"


def defect(message: Batch | RangeSnapshot) -> str:
    """The first check that the bytes of a message fail; empty if they pass all."""
    return batch_defect(message) if isinstance(message, Batch) else range_defect(message)


def batch_defect(batch: Batch) -> str:
    """The first check that the bytes of a batch fail; empty if they pass all."""
    if batch.checksum != batch_checksum(batch.region, batch.after, batch.upto, _encode(batch.changes)):
        return "the list's checksum"
    if batch.after > batch.upto.sequence:
        return "the end lies before the beginning"
    return _changes_defect(batch.region, batch.changes) or _order_defect(batch)


def _order_defect(batch: Batch) -> str:
    last = batch.after
    for change in batch.changes:
        if not last < change.sequence <= batch.upto.sequence or change.epoch > batch.upto.epoch:
            return "the order of changes"
        last = change.sequence
    return ""


def range_defect(snapshot: RangeSnapshot) -> str:
    """The first check that the bytes of a part of a range fail; empty if they pass all."""
    encoded = _encode(snapshot.changes)
    expected = range_checksum(
        snapshot.region, snapshot.upto, snapshot.range_index, snapshot.part, snapshot.last, encoded
    )
    if snapshot.checksum != expected:
        return "the list's checksum"
    if not 0 <= snapshot.range_index < RANGES:
        return "the range's number"
    if any(range_of(change.kind, change.name) != snapshot.range_index for change in snapshot.changes):
        return "a change of another range"
    return _changes_defect(snapshot.region, snapshot.changes)


def _changes_defect(region: str, changes: list[Change]) -> str:
    for change in changes:
        if change.region != region:
            return "a change of another region"
        if not intact(change):
            return "a change's checksum"
    return ""


class Acceptance:
    """State of one region at a follower.

    `accepted` is the position up to which changes were handed to the host, `applied` the position up to which
    the host has them in force, `digest` the host's digest at `applied` where it is known.
    """

    def __init__(self, region: str, version: Version = START) -> None:
        self.region = region
        self.accepted = self.applied = version
        self.digest: int | None = None
        self.confirmed = False  # a relay has sent its digest at `accepted`
        self.digest_differs = False  # the host's digest is not the relay's at the same position
        self.behind_horizon = False
        self.transferring_at: int | None = None  # when ranges were requested or last arrived, microseconds
        self._expected: dict[Version, int] = {}
        self._parts: list[Change] = []
        self._bytes = 0
        self._range = -1
        self._next_part = 0

    @property
    def needs_ranges(self) -> bool:
        """Whether the follower has to request ranges, because changes alone do not lead to the relay's
        state."""
        return self.digest_differs or self.behind_horizon

    def on_new_session(self) -> None:
        """Reset what belongs to a session: transfers end, digests are compared again."""
        self.transferring_at = None
        self.confirmed = self.digest_differs = self.behind_horizon = False
        self._drop_parts()

    def judge(self, message: Batch | RangeSnapshot) -> Verdict:
        """Decide what to do with a message of this region. Records the relay's horizon and the first part of
        a range; all else changes in `accept` and `accept_snapshot`."""
        if defect(message):
            return Verdict.MALFORMED
        return self._judge_batch(message) if isinstance(message, Batch) else self._judge_snapshot(message)

    # ---- batches ---------------------------------------------------------------------------------------

    def _judge_batch(self, batch: Batch) -> Verdict:
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
        """What the host has to apply of an accepted batch. The first heartbeat with a digest has no changes:
        the host only reports its own digest."""
        changes = [change for change in batch.changes if change.version > self.accepted]
        self.accepted = batch.upto
        self.confirmed = batch.digest is not None
        if batch.digest is not None:
            self._expect(batch.upto, batch.digest)
        return Apply(self.region, batch.upto, changes, batch.digest, batch.horizon)

    def compare(self, batch: Batch) -> bool:
        """Compare the digest of a heartbeat with the host's. Returns whether both are known at one
        position."""
        if batch.digest is None or self.applied != batch.upto or self.digest is None:
            return False
        self.digest_differs = self.digest != batch.digest
        return True

    def _expect(self, upto: Version, digest: int) -> None:
        self._expected[upto] = digest
        if len(self._expected) > MAX_PENDING_DIGESTS:
            del self._expected[next(iter(self._expected))]

    # ---- ranges ----------------------------------------------------------------------------------------

    def _judge_snapshot(self, snapshot: RangeSnapshot) -> Verdict:
        if snapshot.upto < self.accepted or self.transferring_at is None:
            return Verdict.IGNORED
        if snapshot.part == 0:
            self._drop_parts()
            self._range = snapshot.range_index
        if snapshot.range_index != self._range or snapshot.part != self._next_part:
            return Verdict.GAP
        return Verdict.ACCEPTED

    def accept_snapshot(self, now: int, snapshot: RangeSnapshot) -> ReplaceRange | None:
        """Add a part; returns the complete range with its last part. `now` is in microseconds."""
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
        """Whether the range that is being joined exceeds MAX_RANGE_BYTES."""
        return self._bytes > MAX_RANGE_BYTES

    def _drop_parts(self) -> None:
        self._parts = []
        self._bytes = 0
        self._range = -1
        self._next_part = 0

    # ---- the host --------------------------------------------------------------------------------------

    def on_applied(self, upto: Version, digest: int | None) -> bool:
        """The host has a batch or range in force. `digest` is its digest there, None if it cannot be
        compared. A range that does not end its transfer does not move the position. Returns whether the
        digest was compared with the relay's."""
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
    """State of all regions of one follower.

    With an empty `regions` the follower accepts every region that its relays send, up to
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
        """The state of a region; None if the follower accepts nothing of it."""
        if region not in self._by_region:
            bounded = len(self._by_region) >= self._max_unknown_regions
            if bounded or (self._wanted and region not in self._wanted):
                return None
            self._by_region[region] = Acceptance(region)
        return self._by_region[region]

    def applied(self) -> list[Position]:
        """The positions up to which the host has the changes in force."""
        return [
            Position(region, each.applied.epoch, each.applied.sequence)
            for region, each in self._by_region.items()
        ]

    def accepted(self) -> list[Position]:
        """The positions up to which changes were handed to the host."""
        return [
            Position(region, each.accepted.epoch, each.accepted.sequence)
            for region, each in self._by_region.items()
        ]

    def on_new_session(self) -> None:
        """Reset what belongs to a session, in every region."""
        for acceptance in self._by_region.values():
            acceptance.on_new_session()
