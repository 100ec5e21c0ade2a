"""Messages of the distribution: publisher and relays, relays and their followers, change clients and
publisher.

Each message is a MessagePack array, encoded by msgspec, whose first element is the message's tag. The tags,
the order of the fields and their types are on the wire; the names of classes and fields are not. Unknown
fields at the end are ignored, and fields with a default may be absent. Decoding checks only the types; the
state machines check the bounds. The length of every list is limited by what fits into one message of a link
(`linenbridge/peering`).
"""

from __future__ import annotations

from enum import StrEnum
from zlib import crc32

from msgspec import Raw, Struct

from linenbridge.distribution.changes import Change, Position, Version

# ---- one region's log: its publisher and its relays --------------------------------------------------------


class Prepare(Struct, array_like=True, frozen=True, tag="prepare"):
    """A new publisher requests a relay's promise to reject every earlier epoch, and the relay's newest
    version."""

    region: str
    epoch: int


class Prepared(Struct, array_like=True, frozen=True, tag="prepared"):
    """The relay's promise, which is on its disk before this message is sent, or its rejection.

    `last` is the version of the relay's newest entry. `committed` is the newest sequence that, as far as the
    relay knows, a majority has on disk. `code` is not empty if the promise is rejected; `epoch` is then the
    epoch that the relay has promised. `incarnation` gets a new number when the relay may have lost entries;
    `member` is set if the relay's committed log names this incarnation. Tombstones up to the sequence
    `purged_up_to` were purged.
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
    """A new publisher requests the entries of a relay's log after the sequence `after`."""

    region: str
    epoch: int
    after: int


class Fetched(Struct, array_like=True, frozen=True, tag="fetched"):
    """Consecutive entries of a relay's log after the sequence `after`; `more` is set if further entries
    follow."""

    region: str
    epoch: int
    relay: str
    changes: list[Change]
    more: bool
    after: int = 0


class Append(Struct, array_like=True, frozen=True, tag="append"):
    """Entries that follow the entry `previous`; a heartbeat if there are none.

    `committed` is the newest sequence that a majority has on disk. Committed entries may be left out if newer
    entries of the same key have superseded them; `committed` then stays below the sequences left out until
    the relay has all other entries. Tombstones up to `purged_up_to` are purged, since every relay of the
    region has committed all entries up to that sequence.
    """

    region: str
    epoch: int
    previous: Version
    committed: int
    changes: list[Change]
    purged_up_to: int = 0


class Appended(Struct, array_like=True, frozen=True, tag="appended"):
    """The relay's log agrees with the publisher's up to the sequence `upto`, and is on disk.

    If `code` is not empty, the relay has rejected the append: `upto` is then the newest sequence at which the
    logs are known to agree, and `epoch` is the epoch that the relay has promised. `incarnation` is as in
    `Prepared`.
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

    `positions` is the follower's version vector. `rate` is the most that it accepts, in bytes a second; 0 is
    unlimited. `regions` are those that it follows; an empty list stands for all. `session` is a new number
    for each session.
    """

    follower: str
    session: int
    positions: list[Position]
    rate: int
    regions: list[str]


class FollowRejected(Struct, array_like=True, frozen=True, tag="refused"):
    """The relay ends or rejects a follower's session. For `after` microseconds the follower tries other
    relays."""

    session: int
    code: str
    after: int


class Batch(Struct, array_like=True, frozen=True, tag="batch"):
    """All keys whose newest version is after the sequence `after` and not after `upto`, each at that version;
    a heartbeat if there are none.

    `digest` is the digest of the relay's complete table of the region; it is present if `upto` is the newest
    version of the table. A follower whose position is below `horizon` requests ranges with `Digests`.
    `checksum` is computed by `batch_checksum`. `number` counts the session's `Batch` and `RangeSnapshot`
    messages from 1, so that the follower detects a lost, duplicated or reordered message.
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
    """A `Batch` whose changes are encoded once for all followers at the same position. Its bytes on the link
    are those of a `Batch`, and the receiver decodes them as one."""

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
    """A part of one range of a region's keys. With the part that has `last` set, the range is complete at
    `upto`, and keys that are in none of its parts are deleted.

    `upto` is the same in all ranges of a transfer; a range may contain newer versions. `final` is set in the
    last part of the last range that the relay sends: the follower is then at `upto`. `horizon` is the
    relay's horizon, `checksum` is computed by `range_checksum`, and `number` counts as in `Batch`.
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
    """A `RangeSnapshot` whose changes are already encoded. Its bytes on the link are those of a
    `RangeSnapshot`."""

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

    `digests` are the follower's digests from the range `first` on, 8 bytes each, big-endian; if it is empty,
    the follower requests all ranges. `last` is set in the last message of a request. `at` is the follower's
    position.
    """

    session: int
    region: str
    at: Version
    first: int
    digests: bytes
    last: bool


class Progress(Struct, array_like=True, frozen=True, tag="progress"):
    """A follower's positions, sent when they change and as its heartbeat.

    `below` summarizes the follower's own followers. `received` counts the session's `Batch` and
    `RangeSnapshot` messages that the follower has processed. Session 0 means that the follower is alive and
    follows another relay.
    """

    follower: str
    session: int
    positions: list[Position]
    below: list[SubtreeSummary]
    received: int = 0


class SubtreeSummary(Struct, array_like=True, frozen=True):
    """Progress of all followers below a relay in one region.

    `followers` is their number and `min_sequence` the lowest sequence in force. `slowest` and `unreached` are
    limited lists of names; `unreached_count` counts all unreached followers. `lag_histogram` counts followers
    by their lag in powers of two milliseconds.
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
    """A change client requests one change; the client chooses the number `request`."""

    request: int
    region: str
    kind: int
    name: str
    value: bytes


class ChangeState(StrEnum):
    """The outcome of a change; its values are sent as `Published.state`."""

    ACCEPTED = "accepted"  # a majority has it on disk
    IN_FORCE = "in_force"  # at all followers that are reached; the response names the others
    REFUSED = "refused"  # with a code: the change is not stored and will not be
    UNCONFIRMED = "unconfirmed"  # the change may be stored; `accepted` may still follow


class Published(Struct, array_like=True, frozen=True, tag="published"):
    """The response to a change client. `state` is a value of ChangeState, or a value that a later release
    adds."""

    request: int
    state: str
    version: Version
    code: str = ""
    unreached: list[str] = []
    unreached_count: int = 0


def batch_checksum(region: str, after: int, upto: Version, encoded: bytes) -> int:
    """Return the CRC-32 of a batch's place in the log and of its encoded list of changes. It detects a
    truncated or exchanged list; the checksum of each change does not."""
    return crc32(encoded, crc32(f"{region} {after} {upto.epoch} {upto.sequence}".encode()))


def range_checksum(
    region: str, upto: Version, range_index: int, part: int, last: bool, encoded: bytes
) -> int:
    """Return the CRC-32 of a range part's place and of its encoded list of changes, as for a batch."""
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
