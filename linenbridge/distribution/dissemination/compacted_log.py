"""A relay's compacted log of one region: the newest change of each key, by sequence and by range.

The log performs no I/O. A new change of a key replaces the older entry. A deleted key stays as a tombstone
until the number of tombstones exceeds its limit. The horizon is the highest sequence of a dropped tombstone:
the changes that are left do not contain that deletion, so a follower behind the horizon requests ranges
instead. Changes are stored in the encoding of the wire, so that each is encoded once for all followers.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from linenbridge.distribution.changes import (
    RANGES,
    START,
    Change,
    Version,
    added,
    range_of,
    removed,
)

MAX_TOMBSTONES = 65_536  # per region; about five days of replaced instances
_MIN_HOLES = 1_024  # superseded entries; compacting fewer costs more than it frees
_DIGEST_BYTES = 8  # per range

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Change).decode


class _OrderedKey(NamedTuple):
    """A key and the sequence of its newest change, sortable in the order of the log."""

    sequence: int
    key: str
    deleted: bool


class Entry(NamedTuple):
    """An encoded change and its sequence."""

    sequence: int
    encoded: bytes


class Page(NamedTuple):
    """Encoded changes after a sequence, complete up to `upto`."""

    upto: Version
    encoded: list[bytes]


class CompactedLog:
    """All keys of one region at the version `head`.

    While `replacing` is set, ranges of a newer state are being stored and the keys belong to no single
    version. `consistent` is set if the keys are known to be those of the region's log at `head`. Applying
    only a part of a compacted log gives a state that never existed: keys whose newest change comes after this
    part are missing or older.
    """

    def __init__(self, region: str, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.region = region
        self.head = START
        self.horizon = 0
        self.replacing = False
        self.consistent = False
        self._max_tombstones = max_tombstones
        self._ranges: list[dict[str, bytes]] = [{} for _ in range(RANGES)]
        self._digests = [0] * RANGES
        self._digest = 0
        self._sequences: list[int] = []
        self._keys: list[str | None] = []  # parallel to `_sequences`; None: superseded
        self._key_count = 0
        self._tombstones: deque[int] = deque()
        self._tombstone_count = 0

    def __len__(self) -> int:
        """Return the number of keys, including tombstones."""
        return self._key_count

    @property
    def digest(self) -> int:
        """The digest of all keys: the sum of their `changes.digest_of`."""
        return self._digest

    @property
    def tombstones(self) -> int:
        """The number of tombstones."""
        return self._tombstone_count

    def range_digests(self) -> bytes:
        """Return the digests of all ranges, 8 bytes each, big-endian."""
        return b"".join(digest.to_bytes(_DIGEST_BYTES, "big") for digest in self._digests)

    def newest(self, kind: int, name: str) -> Change | None:
        """Return the newest change of a key, or None if there is none. A change without a value is a
        tombstone."""
        encoded = self._ranges[range_of(kind, name)].get(_key(kind, name))
        return None if encoded is None else _decode(encoded)

    # ---- changes in order ------------------------------------------------------------------------------

    def apply(self, upto: Version, changes: Iterable[Change], horizon: int = 0) -> None:
        """Apply changes in order and move the head to `upto`.

        Changes that are not newer than the head are ignored. `horizon` is the horizon of the log that the
        changes come from.
        """
        for change in changes:
            if change.version > self.head:
                self._append(change)
        self.head = max(self.head, upto)
        self.horizon = max(self.horizon, horizon)
        self._enforce_limits()

    def _append(self, change: Change) -> None:
        key = self._store(change)
        if key is None:
            return
        if self._sequences and change.sequence <= self._sequences[-1]:
            self._insert(change, key)
            return
        self._sequences.append(change.sequence)
        self._keys.append(key)
        if not change.value:
            self._tombstones.append(change.sequence)

    def _store(self, change: Change) -> str | None:
        """Store a change in place of an older one of the same key. Return the key, or None if the stored
        change is not older."""
        index = range_of(change.kind, change.name)
        key = _key(change.kind, change.name)
        stored = self._ranges[index].get(key)
        if stored is not None:
            older = _decode(stored)
            if older.version >= change.version:
                return None
            self._remove(index, key, older)
        self._ranges[index][key] = _encode(change)
        self._digests[index] = added(self._digests[index], change)
        self._digest = added(self._digest, change)
        self._key_count += 1
        self._tombstone_count += not change.value
        return key

    def _remove(self, index: int, key: str, change: Change) -> None:
        """Remove a change from its range and leave a hole in the list of keys."""
        del self._ranges[index][key]
        self._digests[index] = removed(self._digests[index], change)
        self._digest = removed(self._digest, change)
        self._key_count -= 1
        self._tombstone_count -= not change.value
        place = self._index_of(change.sequence)
        if place is not None and self._keys[place] == key:
            self._keys[place] = None

    def _index_of(self, sequence: int) -> int | None:
        place = bisect_left(self._sequences, sequence)
        found = place < len(self._sequences) and self._sequences[place] == sequence
        return place if found else None

    def _insert(self, change: Change, key: str) -> None:
        """Insert a change whose sequence is not the highest. All later entries are moved, which is affordable
        because this case is rare."""
        place = bisect_left(self._sequences, change.sequence)
        if place < len(self._sequences) and self._sequences[place] == change.sequence:
            self._keys[place] = key
        else:
            self._sequences.insert(place, change.sequence)
            self._keys.insert(place, key)
        if not change.value:
            self._tombstones = deque(sorted({*self._tombstones, change.sequence}))

    def _enforce_limits(self) -> None:
        if self.replacing:
            return
        holes = len(self._sequences) - self._key_count
        if holes > _MIN_HOLES and holes * 2 > len(self._sequences):
            self._compact()
        while self._tombstone_count > self._max_tombstones:
            self._drop_tombstone(self._tombstones.popleft())

    def _drop_tombstone(self, sequence: int) -> None:
        """Drop a tombstone and move the horizon to it, unless its key was written again."""
        place = self._index_of(sequence)
        key = None if place is None else self._keys[place]
        if key is None:
            return
        kind, name = _kind_and_name(key)
        change = self.newest(kind, name)
        if change is not None and not change.value:
            self._remove(range_of(kind, name), key, change)
            self.horizon = max(self.horizon, sequence)

    def _compact(self) -> None:
        stored = [place for place, key in enumerate(self._keys) if key is not None]
        self._sequences = [self._sequences[place] for place in stored]
        self._keys = [self._keys[place] for place in stored]
        self._tombstones = deque(
            sequence for sequence in self._tombstones if self._index_of(sequence) is not None
        )

    # ---- whole ranges ----------------------------------------------------------------------------------

    def replace(
        self, index: int, upto: Version, changes: list[Change], *, final: bool, horizon: int = 0
    ) -> None:
        """Store the complete content of one range.

        Keys that are not in `changes` are removed if their version is at most `upto`: they were deleted in
        the log that the range comes from, and their tombstones were dropped. Newer keys stay. `horizon` is
        the horizon of that log. If `final` is set, the head moves to `upto`.
        """
        self.replacing = True
        named = {_key(change.kind, change.name) for change in changes}
        removed_keys = [key for key in self._ranges[index] if key not in named]
        for key in removed_keys:
            change = _decode(self._ranges[index][key])
            if change.version <= upto:
                self._remove(index, key, change)
        for change in changes:
            self._store(change)
        self.horizon = max(self.horizon, horizon)
        if final:
            self._finish(upto)

    def _finish(self, upto: Version) -> None:
        self.head = max(self.head, upto)
        self.replacing = False
        order = sorted(self._ordered_keys())
        self._sequences = [place.sequence for place in order]
        self._keys = [place.key for place in order]
        self._tombstones = deque(place.sequence for place in order if place.deleted)
        self._enforce_limits()

    def _ordered_keys(self) -> Iterator[_OrderedKey]:
        for stored in self._ranges:
            for key, encoded in stored.items():
                change = _decode(encoded)
                yield _OrderedKey(change.sequence, key, not change.value)

    # ---- content of messages ---------------------------------------------------------------------------

    def since(self, sequence: int) -> Iterator[Entry]:
        """Iterate over the newest change of each key that changed after a sequence, in order.

        The iterator is invalid while `replacing` is set and after any change of the log.
        """
        for place in range(bisect_right(self._sequences, sequence), len(self._sequences)):
            key = self._keys[place]
            if key is not None:
                kind, name = _kind_and_name(key)
                yield Entry(self._sequences[place], self._ranges[range_of(kind, name)][key])

    def page(self, after: int, max_bytes: int) -> Page:
        """Return changes after a sequence: up to `max_bytes` encoded bytes, and at least one change."""
        encoded: list[bytes] = []
        size = 0
        for entry in self.since(after):
            size += len(entry.encoded)
            if encoded and size > max_bytes:
                return Page(_decode(encoded[-1]).version, encoded)
            encoded.append(entry.encoded)
        return Page(self.head, encoded)

    def range(self, index: int) -> list[Change]:
        """Return all changes of one range, including tombstones."""
        return [_decode(encoded) for encoded in self._ranges[index].values()]

    def encoded_range(self, index: int) -> list[bytes]:
        """Return all changes of one range, including tombstones, encoded."""
        return list(self._ranges[index].values())


def _key(kind: int, name: str) -> str:
    """Return a key as one string, which takes half the memory of a tuple."""
    return f"{kind}/{name}"


def _kind_and_name(key: str) -> tuple[int, str]:
    """Return the kind and name of a string made by `_key`, in the form of `changes.Change.key`."""
    kind, _, name = key.partition("/")
    return int(kind), name
