"""A follower's rules for what it takes of a region: what follows on, what is passed over, what is spoilt.

Decides without I/O. Batches are taken in order only; what lies behind the position is passed over; a message
whose bytes are not those that were sent is spoilt, and nothing of it is taken.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from linenbridge.distribution.changes import RANGES, START, Change, Version, intact, range_of
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.messages import Batch, RangeSnapshot, batch_checksum, range_checksum

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


def whole_spoilt(whole: RangeSnapshot) -> str:
    """What is wrong with the bytes of a part of a range; empty: nothing."""
    encoded = _encode(whole.changes)
    expected = range_checksum(whole.region, whole.upto, whole.range_index, whole.part, whole.last, encoded)
    if whole.checksum != expected:
        return "the list's checksum"
    if not 0 <= whole.range_index < RANGES:
        return "the range's number"
    if any(range_of(change.kind, change.name) != whole.range_index for change in whole.changes):
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

    # ---- batches ---------------------------------------------------------------------------------------

    def judge(self, batch: Batch) -> Verdict:
        if batch_spoilt(batch):
            return Verdict.SPOILT
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

    def judge_whole(self, whole: RangeSnapshot) -> Verdict:
        if whole_spoilt(whole):
            return Verdict.SPOILT
        if whole.upto < self.taken or self.transferring_at is None:
            return Verdict.PASSED_OVER
        if whole.part == 0:
            self._drop_parts()
            self._range = whole.range_index
        if whole.range_index != self._range or whole.part != self._next_part:
            return Verdict.GAP
        return Verdict.TAKEN

    def take_whole(self, now: int, whole: RangeSnapshot) -> ReplaceRange | None:
        """The complete range, once its last part is here."""
        self.transferring_at = now
        self._next_part += 1
        self._parts += whole.changes
        self._bytes += sum(len(change.value) for change in whole.changes)
        if not whole.last:
            return None
        replace = ReplaceRange(
            self.region, whole.upto, whole.range_index, self._parts, whole.final, whole.horizon
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
