"""Messages of the distribution, as typed arrays: publisher and relays, relays and their followers, authors.

Owns their form. It must never check more than the form: bounds are the cores'. Every list is bounded by
what fits into one message of a link (`fleet/hosting/links.py`).
"""

from __future__ import annotations

from zlib import crc32

from msgspec import Raw, Struct

from linenbridge.distribution.changes import Change, Position, Version

# ---- one region's log: its publisher and its relays --------------------------------------------------------


class Prepare(Struct, array_like=True, frozen=True, tag="prepare"):
    """A new publisher asks a relay to refuse every earlier epoch from now on, and to tell its log's end."""

    region: str
    epoch: int


class Prepared(Struct, array_like=True, frozen=True, tag="prepared"):
    """The relay's promise, on its disk before this leaves. `last` is its newest entry, `committed` the
    newest that it knows a majority to have. `code` is not empty where the promise is refused; `epoch` is
    then the one that it holds to. `incarnation` is another number since the relay may last have forgotten
    something; it is a `member` where its committed log names this life. `purged_up_to`: deletions up to there
    were let go."""

    region: str
    epoch: int
    relay: str
    last: Version
    committed: int
    code: str = ""
    incarnation: int = 0
    member: bool = False
    purged_up_to: int = 0


class Fetch(Struct, array_like=True, frozen=True, tag="fetch"):
    """A new publisher reads a relay's log behind a sequence."""

    region: str
    epoch: int
    after: int


class Fetched(Struct, array_like=True, frozen=True, tag="fetched"):
    """A part of a relay's log behind `after`, in order; `more` where it goes on."""

    region: str
    epoch: int
    relay: str
    changes: list[Change]
    more: bool
    after: int = 0


class Append(Struct, array_like=True, frozen=True, tag="append"):
    """Entries that follow on `previous`; none of them: a heartbeat. `committed` is the newest sequence that
    a majority has on disk. Committed entries that newer ones of their key have replaced may be left out;
    `committed` then stays behind them until the relay has all the rest. Every relay of the region has
    committed everything up to `purged_up_to`, so that deletions up to there may be let go."""

    region: str
    epoch: int
    previous: Version
    committed: int
    changes: list[Change]
    purged_up_to: int = 0


class Appended(Struct, array_like=True, frozen=True, tag="appended"):
    """The relay's log agrees with the publisher's up to `upto`, on disk. With a code it does not: `upto` is
    then the newest sequence that surely agrees, `epoch` the one that the relay holds to. `incarnation` as in
    Prepared."""

    region: str
    epoch: int
    relay: str
    upto: int
    code: str = ""
    incarnation: int = 0


# ---- relays and their followers (gateways, and relays of other regions) ------------------------------------


class Follow(Struct, array_like=True, frozen=True, tag="follow"):
    """A follower takes up a relay: its version vector, the bytes a second it takes (0: no bound), and which
    regions it wants (none named: all). `session` is another number each time."""

    follower: str
    session: int
    positions: list[Position]
    rate: int
    regions: list[str]


class FollowRejected(Struct, array_like=True, frozen=True, tag="refused"):
    """The relay serves this follower no more, or not at all. `after` is how long to leave it alone, in
    microseconds."""

    session: int
    code: str
    after: int


class Batch(Struct, array_like=True, frozen=True, tag="batch"):
    """All keys whose newest version lies behind `after`, up to `upto`, each at that version. `digest` is
    that of the relay's whole table of the region, given where `upto` is its head. No changes: a heartbeat.
    `horizon`: a follower behind it asks for ranges, by `Digests`. `checksum` is `batch_checksum`'s.
    `number` counts the session's `Batch` and `RangeSnapshot` messages from 1, so that a lost, repeated or
    reordered one is noticed."""

    session: int
    region: str
    after: int
    upto: Version
    changes: list[Change]
    digest: int | None = None
    horizon: int = 0
    checksum: int = 0
    number: int = 0


class EncodedBatch(Struct, array_like=True, frozen=True, tag="batch"):
    """A `Batch` whose changes are encoded already, once for all followers at a position: the same bytes on
    the link, where it is decoded as a `Batch`."""

    session: int
    region: str
    after: int
    upto: Version
    changes: Raw
    digest: int | None = None
    horizon: int = 0
    checksum: int = 0
    number: int = 0


class RangeSnapshot(Struct, array_like=True, frozen=True, tag="whole"):
    """A part of one range of a region's keys, complete at `upto` with its `last` part: what the range does
    not name is gone. It may name newer versions than `upto`, which is the same in all ranges of a transfer.
    `final` stands in the last part of the last range that the relay sends: then the follower is at `upto`.
    `horizon` is the relay's, `checksum` is `range_checksum`'s, `number` counts as in `Batch`."""

    session: int
    region: str
    upto: Version
    range_index: int
    part: int
    last: bool
    final: bool
    changes: list[Change]
    horizon: int = 0
    checksum: int = 0
    number: int = 0


class EncodedRangeSnapshot(Struct, array_like=True, frozen=True, tag="whole"):
    """A `RangeSnapshot` whose changes are encoded already: the same bytes on the link."""

    session: int
    region: str
    upto: Version
    range_index: int
    part: int
    last: bool
    final: bool
    changes: Raw
    horizon: int = 0
    checksum: int = 0
    number: int = 0


class Digests(Struct, array_like=True, frozen=True, tag="digests"):
    """A follower asks for ranges: those whose digests differ from its own, which it sends from `first` on, 8
    bytes each, the highest byte first; all of them where it sends none. `at` is its position."""

    session: int
    region: str
    at: Version
    first: int
    digests: bytes
    last: bool


class Progress(Struct, array_like=True, frozen=True, tag="progress"):
    """How far a follower is: on change, and as its heartbeat. `below` sums up its own followers. `received`
    counts the session's `Batch` and `RangeSnapshot` messages that it is done with. Session 0: the follower
    lives and follows another relay."""

    follower: str
    session: int
    positions: list[Position]
    below: list[SubtreeSummary]
    received: int = 0


class SubtreeSummary(Struct, array_like=True, frozen=True):
    """How far all below a relay are in one region: how many, the least sequence in force, names of the
    slowest (bounded), those known and not reached (bounded, and their number), and a histogram of the lag
    in powers of two milliseconds. Room for more sums (outcomes, votes) is by further fields."""

    region: str
    followers: int
    min_sequence: int
    slowest: list[str]
    unreached: list[str]
    unreached_count: int
    lag_histogram: list[int]


# ---- authors of changes ------------------------------------------------------------------------------------


class Publish(Struct, array_like=True, frozen=True, tag="publish"):
    """An author asks a publisher for one change; `request` is the author's own number for it."""

    request: int
    region: str
    kind: int
    name: str
    value: bytes


class Published(Struct, array_like=True, frozen=True, tag="published"):
    """What became of it: `accepted` (a majority has it on disk), `in_force` (everywhere that is reached;
    those that are not are named), `refused` with a code (it is kept nowhere and never will be), or
    `unconfirmed` (it may be kept; `accepted` may still follow)."""

    request: int
    state: str
    version: Version
    code: str = ""
    unreached: list[str] = []
    unreached_count: int = 0


def batch_checksum(region: str, after: int, upto: Version, encoded: bytes) -> int:
    """Over a batch's place in the log and its encoded list of changes, so that a cut or exchanged list is
    noticed; each change has a checksum of its own besides."""
    return crc32(encoded, crc32(f"{region} {after} {upto.epoch} {upto.sequence}".encode()))


def range_checksum(region: str, upto: Version, index: int, part: int, last: bool, encoded: bytes) -> int:
    """The same for a part of a range."""
    place = f"{region} {upto.epoch} {upto.sequence} {index} {part} {last:d}"
    return crc32(encoded, crc32(place.encode()))


Message = (
    Prepare | Prepared | Fetch | Fetched | Append | Appended
    | Follow | FollowRejected | Batch | RangeSnapshot | Digests | Progress | Publish | Published
)  # fmt: skip
