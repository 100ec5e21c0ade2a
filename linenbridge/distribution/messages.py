"""Messages of the distribution: publisher and relays, relays and their followers, change clients and
publisher.

Each is an array whose first element is its tag (MessagePack, by msgspec). Names of classes and fields are not
on the wire; tags, the order of fields and their types are. Unknown fields at the end are ignored, and those
with a default may be absent. Decoding checks the form alone: bounds are checked by the state machines. Every
list is bounded by what fits into one message of a link (`linenbridge/peering`).
"""

from __future__ import annotations

from enum import StrEnum
from zlib import crc32

from msgspec import Raw, Struct

from linenbridge.distribution.changes import Change, Position, Version

# ---- one region's log: its publisher and its relays --------------------------------------------------------


class Prepare(Struct, array_like=True, frozen=True, tag="prepare"):
    """A new publisher requests a relay's promise to reject every earlier epoch, and the end of its log."""

    region: str
    epoch: int


class Prepared(Struct, array_like=True, frozen=True, tag="prepared"):
    """The relay's promise, on its disk before this leaves, or its rejection.

    `last` is its newest entry, `committed` the newest that it knows a majority to have. `code` is not empty
    where the promise is rejected; `epoch` is then the one that it has promised. `incarnation` is another
    number once the relay may have lost entries; it is a `member` where its committed log names this
    incarnation. `purged_up_to`: tombstones up to there were purged.
    """

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
    """A part of a relay's log behind `after`, in order; `more` where the log goes on."""

    region: str
    epoch: int
    relay: str
    changes: list[Change]
    more: bool
    after: int = 0


class Append(Struct, array_like=True, frozen=True, tag="append"):
    """Entries that follow on `previous`; a heartbeat where there are none.

    `committed` is the newest sequence that a majority has on disk. Committed entries that newer ones of their
    key have superseded may be left out; `committed` then stays behind them until the relay has all the
    others. Every relay of the region has committed everything up to `purged_up_to`, so that tombstones up to
    there are purged.
    """

    region: str
    epoch: int
    previous: Version
    committed: int
    changes: list[Change]
    purged_up_to: int = 0


class Appended(Struct, array_like=True, frozen=True, tag="appended"):
    """The relay's log agrees with the publisher's up to `upto`, on disk.

    With a code it does not: `upto` is then the newest sequence that surely agrees, `epoch` the one that the
    relay has promised. `incarnation` as in Prepared.
    """

    region: str
    epoch: int
    relay: str
    upto: int
    code: str = ""
    incarnation: int = 0


# ---- relays and their followers (gateways, and relays of other regions) ------------------------------------


class Follow(Struct, array_like=True, frozen=True, tag="follow"):
    """A follower starts a session with a relay.

    It gives its version vector, the `rate` that it accepts (bytes a second, 0: unbounded), and the regions
    that it wants (none named: all). `session` is another number each time.
    """

    follower: str
    session: int
    positions: list[Position]
    rate: int
    regions: list[str]


class FollowRejected(Struct, array_like=True, frozen=True, tag="refused"):
    """The relay ends or rejects a follower's session. `after` is how long the follower avoids the relay, in
    microseconds."""

    session: int
    code: str
    after: int


class Batch(Struct, array_like=True, frozen=True, tag="batch"):
    """All keys whose newest version lies behind `after`, up to `upto`, each at that version; a heartbeat
    where there are none.

    `digest` is that of the relay's complete table of the region, present where `upto` is its head. A follower
    behind `horizon` requests ranges, by `Digests`. `checksum` is `batch_checksum`'s. `number` counts the
    session's `Batch` and `RangeSnapshot` messages from 1, so that a lost, repeated or reordered one is
    noticed.
    """

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
    """A `Batch` whose changes are encoded once for all followers at a position: the same bytes on the link,
    where it is decoded as a `Batch`."""

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
    """A part of one range of a region's keys, complete at `upto` with its `last` part: keys that the range
    does not name are deleted.

    It may name newer versions than `upto`, which is the same in all ranges of a transfer. `final` is set in
    the last part of the last range that the relay sends: then the follower is at `upto`. `horizon` is the
    relay's, `checksum` is `range_checksum`'s, `number` counts as in `Batch`.
    """

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
    """A `RangeSnapshot` whose changes are already encoded: the same bytes on the link."""

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
    """A follower requests the ranges whose digests differ from its own.

    It sends its digests from the range `first` on, 8 bytes each, the highest byte first; without any it
    requests all ranges. `at` is its position.
    """

    session: int
    region: str
    at: Version
    first: int
    digests: bytes
    last: bool


class Progress(Struct, array_like=True, frozen=True, tag="progress"):
    """How far a follower is, on change and as its heartbeat.

    `below` summarizes its own followers. `received` counts the session's `Batch` and `RangeSnapshot` messages
    that it has processed. Session 0: the follower is alive and follows another relay.
    """

    follower: str
    session: int
    positions: list[Position]
    below: list[SubtreeSummary]
    received: int = 0


class SubtreeSummary(Struct, array_like=True, frozen=True):
    """How far all followers below a relay are in one region.

    Their number, the lowest sequence in force, names of the slowest (bounded), names of those that are
    unreached (bounded) and their number, and a histogram of the lag in powers of two milliseconds.
    """

    region: str
    followers: int
    min_sequence: int
    slowest: list[str]
    unreached: list[str]
    unreached_count: int
    lag_histogram: list[int]


# ---- change clients ----------------------------------------------------------------------------------------


class Publish(Struct, array_like=True, frozen=True, tag="publish"):
    """A change client requests one change; `request` is the client's own number for it."""

    request: int
    region: str
    kind: int
    name: str
    value: bytes


class ChangeState(StrEnum):
    """What became of a change, as `Published.state` has it on the wire."""

    ACCEPTED = "accepted"  # a majority has it on disk
    IN_FORCE = "in_force"  # everywhere that is reached; the others are named
    REFUSED = "refused"  # with a code: it is stored nowhere and will not be
    UNCONFIRMED = "unconfirmed"  # it may be stored; `accepted` may still follow


class Published(Struct, array_like=True, frozen=True, tag="published"):
    """The response to a change client. `state` is one of ChangeState's values, or one of a later version."""

    request: int
    state: str
    version: Version
    code: str = ""
    unreached: list[str] = []
    unreached_count: int = 0


def batch_checksum(region: str, after: int, upto: Version, encoded: bytes) -> int:
    """Over a batch's place in the log and its encoded list of changes, so that a truncated or exchanged list
    is noticed; each change has a checksum of its own besides."""
    return crc32(encoded, crc32(f"{region} {after} {upto.epoch} {upto.sequence}".encode()))


def range_checksum(
    region: str, upto: Version, range_index: int, part: int, last: bool, encoded: bytes
) -> int:
    """The same for a part of a range."""
    place = f"{region} {upto.epoch} {upto.sequence} {range_index} {part} {last:d}"
    return crc32(encoded, crc32(place.encode()))


Message = (
    Prepare
    | Prepared
    | Fetch
    | Fetched
    | Append
    | Appended
    | Follow
    | FollowRejected
    | Batch
    | RangeSnapshot
    | Digests
    | Progress
    | Publish
    | Published
)
