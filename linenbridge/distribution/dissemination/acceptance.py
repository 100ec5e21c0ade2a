"""A follower's rules for what it takes of a region: what follows on, what is passed over, what is spoilt.

Decides without I/O. Batches are taken in order only; what lies behind the position is passed over; a message
whose bytes are not those that were sent is spoilt, and nothing of it is taken.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from linenbridge.distribution.changes import RANGES, START, Change, Position, Version, intact, range_of
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.messages import Batch, Whole, batch_checksum, whole_checksum

RANGE_BYTES_MOST = 16_000_000  # values of one range whose parts are being put together
PENDING_MOST = 256  # applied changes whose digest is yet to be heard from the host

_encode = msgspec.msgpack.Encoder().encode


class Verdict(Enum):
    """What becomes of a message."""

    TAKEN = "taken"
    HEARTBEAT = "heartbeat"
    PASSED_OVER = "passed over"
    GAP = "gap"
    SPOILT = "spoilt"


def spoilt(message: Batch | Whole) -> str:
    """What is wrong with the bytes of a message; empty: nothing."""
    return batch_spoilt(message) if isinstance(message, Batch) else whole_spoilt(message)


def batch_spoilt(batch: Batch) -> str:
    """What is wrong with the bytes of a batch; empty: nothing."""
    if batch.checksum != batch_checksum(batch.region, batch.after, batch.upto, _encode(batch.changes)):
        return "the list's checksum"
    if batch.after > batch.upto.sequence:
        return "the end lies before the beginning"
    return _changes_spoilt(batch.region, batch.changes) or _order_spoilt(batch)


def _order_spoilt(batch: Batch) -> str:
    last = batch.after
    for change in batch.changes:
        if not last < change.sequence <= batch.upto.sequence or change.epoch > batch.upto.epoch:
            return "the order of changes"
        last = change.sequence
    return ""


def whole_spoilt(whole: Whole) -> str:
    """What is wrong with the bytes of a part of a range; empty: nothing."""
    encoded = _encode(whole.changes)
    expected = whole_checksum(whole.region, whole.upto, whole.range, whole.part, whole.last, encoded)
    if whole.checksum != expected:
        return "the list's checksum"
    if not 0 <= whole.range < RANGES:
        return "the range's number"
    if any(range_of(change.kind, change.name) != whole.range for change in whole.changes):
        return "a change of another range"
    return _changes_spoilt(whole.region, whole.changes)


def _changes_spoilt(region: str, changes: list[Change]) -> str:
    for change in changes:
        if change.region != region:
            return "a change of another region"
        if not intact(change):
            return "a change's checksum"
    return ""


class Acceptance:
    """One region at a follower. `taken` is the position up to which changes were given to the host, `applied`
    the one up to which the host has them in force; `digest` is the host's there, where it is known."""

    def __init__(self, region: str, version: Version = START) -> None:
        self.region = region
        self.taken = self.applied = version
        self.digest: int | None = None
        self.confirmed = False  # a relay has told the digest at `taken`
        self.differs = False  # the host's digest is not the relay's at the same position
        self.behind_horizon = False
        self.transferring_at: int | None = None  # when ranges were asked for or last came
        self._expected: dict[Version, int] = {}
        self._parts: list[Change] = []
        self._bytes = 0
        self._range = -1
        self._next_part = 0

    @property
    def needs_ranges(self) -> bool:
        return self.differs or self.behind_horizon

    def on_new_session(self) -> None:
        """Nothing of an earlier session goes on; digests are compared anew."""
        self.transferring_at = None
        self.confirmed = self.differs = self.behind_horizon = False
        self._drop_parts()

    def judge(self, message: Batch | Whole) -> Verdict:
        """What becomes of a message of this region; only a heartbeat and a first part change anything."""
        if spoilt(message):
            return Verdict.SPOILT
        return self._judge_batch(message) if isinstance(message, Batch) else self._judge_part(message)

    # ---- batches ---------------------------------------------------------------------------------------

    def _judge_batch(self, batch: Batch) -> Verdict:
        if batch.after > self.taken.sequence:
            return Verdict.GAP
        self.behind_horizon = batch.horizon > self.taken.sequence
        if batch.upto == self.taken and not batch.changes:
            tells = batch.digest is not None and not self.confirmed
            return Verdict.TAKEN if tells else Verdict.HEARTBEAT
        if batch.upto <= self.taken:
            return Verdict.PASSED_OVER
        return Verdict.PASSED_OVER if self.behind_horizon else Verdict.TAKEN

    def take(self, batch: Batch) -> Apply:
        """What the host is to apply of a batch that was judged to be taken; nothing but the digest of a
        heartbeat that is the first to tell it."""
        changes = [change for change in batch.changes if change.version > self.taken]
        self.taken = batch.upto
        self.confirmed = batch.digest is not None
        if batch.digest is not None:
            self._expect(batch.upto, batch.digest)
        return Apply(self.region, batch.upto, changes, batch.digest, batch.horizon)

    def compare(self, batch: Batch) -> bool:
        """A heartbeat at the relay's head tells the digest again; whether it was compared."""
        if batch.digest is None or self.applied != batch.upto or self.digest is None:
            return False
        self.differs = self.digest != batch.digest
        return True

    def _expect(self, upto: Version, digest: int) -> None:
        self._expected[upto] = digest
        if len(self._expected) > PENDING_MOST:
            del self._expected[next(iter(self._expected))]

    # ---- ranges ----------------------------------------------------------------------------------------

    def _judge_part(self, whole: Whole) -> Verdict:
        if whole.upto < self.taken or self.transferring_at is None:
            return Verdict.PASSED_OVER
        if whole.part == 0:
            self._drop_parts()
            self._range = whole.range
        if whole.range != self._range or whole.part != self._next_part:
            return Verdict.GAP
        return Verdict.TAKEN

    def take_whole(self, now: int, whole: Whole) -> ReplaceRange | None:
        """The complete range, once its last part is here."""
        self.transferring_at = now
        self._next_part += 1
        self._parts += whole.changes
        self._bytes += sum(len(change.value) for change in whole.changes)
        if not whole.last:
            return None
        replace = ReplaceRange(
            self.region, whole.upto, whole.range, self._parts, whole.final, whole.horizon
        )  # fmt: skip
        self._drop_parts()
        if whole.final:
            self.taken = whole.upto
            self.transferring_at = None
            self.confirmed = self.differs = self.behind_horizon = False
        return replace

    @property
    def too_large(self) -> bool:
        """A range that is put together has outgrown all reason."""
        return self._bytes > RANGE_BYTES_MOST

    def _drop_parts(self) -> None:
        self._parts, self._bytes, self._range, self._next_part = [], 0, -1, 0

    # ---- the host --------------------------------------------------------------------------------------

    def on_applied(self, upto: Version, digest: int | None) -> bool:
        """The host has a batch or range in force, and its table's digest is this; None: it cannot be compared
        now. A range that is not the last one of its transfer leaves the position where it is. Whether the
        digest was compared with the relay's."""
        if self.taken < upto or upto < self.applied:
            return False
        self.applied, self.digest = upto, digest
        expected = self._expected.pop(upto, None)
        self._expected = {version: each for version, each in self._expected.items() if version > upto}
        if expected is None or digest is None:
            return False
        self.differs = expected != digest
        return True


class Acceptances:
    """The rules of all regions of one follower. Without `regions` it takes all that its relays send, but no
    more than `unknown_regions`."""

    def __init__(self, regions: list[str], positions: list[Position], unknown_regions: int) -> None:
        self._wanted = frozenset(regions)
        self._unknown_regions = unknown_regions
        self._by_region = {region: Acceptance(region) for region in regions}
        for position in positions:
            if self.of_region(position.region) is not None:
                self._by_region[position.region] = Acceptance(position.region, position.version)

    def __contains__(self, region: str) -> bool:
        return region in self._by_region

    def __getitem__(self, region: str) -> Acceptance:
        return self._by_region[region]

    def of_region(self, region: str) -> Acceptance | None:
        """A region's rules; None where the follower takes nothing of this region."""
        if region not in self._by_region:
            bounded = len(self._by_region) >= self._unknown_regions
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

    def taken(self) -> list[Position]:
        """The positions up to which changes were given to the host."""
        return [
            Position(region, each.taken.epoch, each.taken.sequence)
            for region, each in self._by_region.items()
        ]

    def on_new_session(self) -> None:
        """Nothing of an earlier session goes on."""
        for acceptance in self._by_region.values():
            acceptance.on_new_session()
