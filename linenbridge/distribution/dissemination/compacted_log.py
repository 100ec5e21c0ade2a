"""A relay's compacted log of one region: the newest change of each key, in order of sequence and by range.

Keeps state without I/O. A key that changes again loses its older entry; a deleted key stays as a tombstone
until there are too many of them. The horizon is the highest sequence of a dropped tombstone: a follower
behind it cannot learn of that deletion from the changes and requests ranges instead. Changes are stored as
they are encoded on the wire, so that one encoding serves all followers.
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

MAX_TOMBSTONES = 65_536  # of one region; about five days of replaced instances
_MIN_HOLES = 1_024  # entries of superseded changes; fewer are not worth a compaction
_DIGEST_BYTES = 8  # of one range

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Change).decode


class _OrderedKey(NamedTuple):
    """One key in the order of the log."""

    sequence: int
    key: str
    deleted: bool


class Entry(NamedTuple):
    """One encoded change and its sequence."""

    sequence: int
    encoded: bytes


class Page(NamedTuple):
    """Encoded changes behind a sequence, complete up to `upto`."""

    upto: Version
    encoded: list[bytes]


class CompactedLog:
    """All keys of one region at `head`.

    While `replacing`, ranges of a newer state are being stored and the keys are at no single version.
    `consistent` says that the keys are known to be those of the region's log at `head`. A part of a compacted
    log leads to a state that never existed: keys that changed again behind it are still missing or older.
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
        self._keys: list[str | None] = []  # of the same places; None: superseded
        self._live = 0
        self._tombstones: deque[int] = deque()
        self._tombstones_live = 0

    def __len__(self) -> int:
        """The number of keys, tombstones among them."""
        return self._live

    @property
    def digest(self) -> int:
        """The digest of all keys: the sum of their `changes.digest_of`."""
        return self._digest

    @property
    def tombstones(self) -> int:
        """The number of tombstones."""
        return self._tombstones_live

    def range_digests(self) -> bytes:
        """The digests of all ranges, 8 bytes each, the highest byte first."""
        return b"".join(digest.to_bytes(_DIGEST_BYTES, "big") for digest in self._digests)

    def newest(self, kind: int, name: str) -> Change | None:
        """The newest change of a key; one without a value is a tombstone."""
        encoded = self._ranges[range_of(kind, name)].get(_key(kind, name))
        return None if encoded is None else _decode(encoded)

    # ---- changes in order ------------------------------------------------------------------------------

    def apply(self, upto: Version, changes: Iterable[Change], horizon: int = 0) -> None:
        """Apply changes in order and move the head to `upto`. Changes that are not newer than the head are
        ignored. `horizon` is that of the log that the changes come from."""
        for change in changes:
            if change.version > self.head:
                self._append(change)
        self.head = max(self.head, upto)
        self.horizon = max(self.horizon, horizon)
        self._tidy()

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
        """Replace an older change of the same key. Returns the key, or None if the change is not newer."""
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
        self._live += 1
        self._tombstones_live += not change.value
        return key

    def _remove(self, index: int, key: str, change: Change) -> None:
        """Remove a change from its range and leave a hole in the order."""
        del self._ranges[index][key]
        self._digests[index] = removed(self._digests[index], change)
        self._digest = removed(self._digest, change)
        self._live -= 1
        self._tombstones_live -= not change.value
        place = self._index_of(change.sequence)
        if place is not None and self._keys[place] == key:
            self._keys[place] = None

    def _index_of(self, sequence: int) -> int | None:
        place = bisect_left(self._sequences, sequence)
        found = place < len(self._sequences) and self._sequences[place] == sequence
        return place if found else None

    def _insert(self, change: Change, key: str) -> None:
        """Insert a change that is not newer than all others. This is rare, so moving the entries behind it is
        affordable."""
        place = bisect_left(self._sequences, change.sequence)
        if place < len(self._sequences) and self._sequences[place] == change.sequence:
            self._keys[place] = key
        else:
            self._sequences.insert(place, change.sequence)
            self._keys.insert(place, key)
        if not change.value:
            self._tombstones = deque(sorted({*self._tombstones, change.sequence}))

    def _tidy(self) -> None:
        if self.replacing:
            return
        holes = len(self._sequences) - self._live
        if holes > _MIN_HOLES and holes * 2 > len(self._sequences):
            self._compact()
        while self._tombstones_live > self._max_tombstones:
            self._drop_tombstone(self._tombstones.popleft())

    def _drop_tombstone(self, sequence: int) -> None:
        """Drop a tombstone unless its key was written again since."""
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
        """Store the complete content of one range: keys at versions up to `upto` that `changes` does not name
        are removed, newer ones stay. With `final` the head moves to `upto`. `horizon` is that of the log that
        the range comes from: a key that is not named was deleted there and its tombstone dropped."""
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
        self._tidy()

    def _ordered_keys(self) -> Iterator[_OrderedKey]:
        for stored in self._ranges:
            for key, encoded in stored.items():
                change = _decode(encoded)
                yield _OrderedKey(change.sequence, key, not change.value)

    # ---- what followers are sent -----------------------------------------------------------------------

    def since(self, sequence: int) -> Iterator[Entry]:
        """The newest change of each key that changed behind a sequence, in order. The iterator is invalid
        while `replacing` and after any change of the log."""
        for place in range(bisect_right(self._sequences, sequence), len(self._sequences)):
            key = self._keys[place]
            if key is not None:
                kind, name = _kind_and_name(key)
                yield Entry(self._sequences[place], self._ranges[range_of(kind, name)][key])

    def page(self, after: int, max_bytes: int) -> Page:
        """The changes behind a sequence, up to `max_bytes` encoded bytes, at least one change."""
        encoded: list[bytes] = []
        size = 0
        for entry in self.since(after):
            size += len(entry.encoded)
            if encoded and size > max_bytes:
                return Page(_decode(encoded[-1]).version, encoded)
            encoded.append(entry.encoded)
        return Page(self.head, encoded)

    def range(self, index: int) -> list[Change]:
        """All changes of one range, tombstones among them."""
        return [_decode(encoded) for encoded in self._ranges[index].values()]

    def encoded_range(self, index: int) -> list[bytes]:
        """All changes of one range, encoded."""
        return list(self._ranges[index].values())


def _key(kind: int, name: str) -> str:
    """One string for a key: it takes half the memory of a tuple."""
    return f"{kind}/{name}"


def _kind_and_name(key: str) -> tuple[int, str]:
    """The key of `_key` as `changes.Change.key` has it."""
    kind, _, name = key.partition("/")
    return int(kind), name
