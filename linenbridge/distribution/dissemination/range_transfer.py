"""Transfer of complete ranges to one follower: which ranges differ, and what is left to send.

Keeps state without I/O. The content of a range is read when its first part is sent: it may be newer than the
version that the transfer leads to.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from linenbridge.distribution.changes import RANGES, Version
from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.encoded_lists import joined, split

DIGEST_BYTES = 8  # of one range


@dataclass(frozen=True, slots=True)
class RangeTransferPart:
    """The content of one message: `last` of its range, `final` of the transfer."""

    index: int
    part: int
    last: bool
    final: bool
    changes: bytes


@dataclass(slots=True)
class RangeTransfer:
    """Ranges that are being sent to a follower, which is at `upto` after the last one.

    `parts` are those left of the range `index`, each a list of encoded changes; `ranges` are the ranges after
    it.
    """

    upto: Version
    ranges: deque[int]
    index: int = 0
    part: int = 0
    parts: deque[list[bytes]] = field(default_factory=deque)

    def next_part(self, log: CompactedLog, max_bytes: int) -> RangeTransferPart:
        """The next part: at most `max_bytes` encoded bytes, at least one change unless the range is empty."""
        if not self.parts:
            self.index = self.ranges.popleft()
            self.part = 0
            self.parts = deque(split(log.encoded_range(self.index), max_bytes))
        changes = joined(self.parts.popleft())
        last = not self.parts
        part = RangeTransferPart(self.index, self.part, last, last and not self.ranges, changes)
        self.part += 1
        return part


def differing_ranges(own: bytes, others: bytes) -> list[int]:
    """The ranges whose digests differ, all of them if `others` is empty. At least one, since its last part
    ends the transfer for the follower."""
    if not others:
        return list(range(RANGES))
    places = [slice(index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES) for index in range(RANGES)]
    return [index for index, place in enumerate(places) if own[place] != others[place]] or [0]
