"""The transfer of complete ranges to one follower: which ranges differ, and which parts are left to send.

The module performs no I/O. The content of a range is read when its first part is sent, so that it may be
newer than the version at which the follower is after the transfer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from linenbridge.distribution.changes import RANGES, Version
from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.encoded_lists import encode_list, split

DIGEST_BYTES = 8  # per range


@dataclass(frozen=True, slots=True)
class RangeTransferPart:
    """The content of one message. `last` marks the last part of its range, `final` that of the transfer."""

    index: int
    part: int
    last: bool
    final: bool
    changes: bytes


@dataclass(slots=True)
class RangeTransfer:
    """The ranges that are being sent to a follower, whose position is `upto` after the last one.

    `parts` are the remaining parts of the range `index`, each a list of encoded changes, and `part` is the
    number of the next one. `ranges` are the indexes of the remaining ranges.
    """

    upto: Version
    ranges: deque[int]
    index: int = 0
    part: int = 0
    parts: deque[list[bytes]] = field(default_factory=deque)

    def next_part(self, log: CompactedLog, max_bytes: int) -> RangeTransferPart:
        """Return the next part: up to `max_bytes` encoded bytes, and at least one change unless the range is
        empty."""
        if not self.parts:
            self.index = self.ranges.popleft()
            self.part = 0
            self.parts = deque(split(log.encoded_range(self.index), max_bytes))
        changes = encode_list(self.parts.popleft())
        last = not self.parts
        part = RangeTransferPart(self.index, self.part, last, last and not self.ranges, changes)
        self.part += 1
        return part


def differing_ranges(own: bytes, others: bytes) -> list[int]:
    """Return the indexes of the ranges whose digests differ, or of all ranges if `others` is empty.

    The result has at least one range, since the last part of a range ends the transfer at the follower.
    """
    if not others:
        return list(range(RANGES))
    places = [slice(index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES) for index in range(RANGES)]
    return [index for index, place in enumerate(places) if own[place] != others[place]] or [0]
