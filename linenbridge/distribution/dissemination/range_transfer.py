"""Whole ranges on their way to one follower: which ones differ, and what is left to send.

Keeps state without I/O. What a range holds is read when its first part is sent: it may be newer than the state
that the transfer leads to.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from linenbridge.distribution.changes import RANGES, Version
from linenbridge.distribution.dissemination.compacted_log import Table
from linenbridge.distribution.dissemination.encoded_lists import joined, split

DIGEST_BYTES = 8  # of one range


@dataclass(frozen=True, slots=True)
class RangeTransferPart:
    """One message's share of a range, encoded. `last` of its range, `final` of the transfer."""

    index: int
    part: int
    last: bool
    final: bool
    changes: bytes


@dataclass(slots=True)
class RangeTransfer:
    """Whole ranges on their way to a follower. `parts` are those left of `index`, each a list of encoded
    changes; `ranges` are those after it."""

    upto: Version
    ranges: deque[int]
    index: int = 0
    part: int = 0
    parts: deque[list[bytes]] = field(default_factory=deque)

    def next_part(self, table: Table, max_bytes: int) -> RangeTransferPart:
        """The next part, of at most `max_bytes` bytes of changes, one change at least."""
        if not self.parts:
            self.index = self.ranges.popleft()
            self.part = 0
            self.parts = deque(split(table.encoded_range(self.index), max_bytes))
        changes = joined(self.parts.popleft())
        last = not self.parts
        part = RangeTransferPart(self.index, self.part, last, last and not self.ranges, changes)
        self.part += 1
        return part


def differing_ranges(own: bytes, others: bytes) -> list[int]:
    """The ranges whose digests differ; all of them where there is nothing to compare with. One at least: its
    last part tells the follower that the transfer is complete."""
    if not others:
        return list(range(RANGES))
    places = [slice(index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES) for index in range(RANGES)]
    return [index for index, place in enumerate(places) if own[place] != others[place]] or [0]
