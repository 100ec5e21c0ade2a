"""Decisions of the distribution's state machines, as typed values.

The host passes inputs to a state machine's `on_...` methods. It then calls `next_decision(now)` until the
result is None, executes each decision in order, and calls `next_decision` again at the time `wake_at()`.
Times are whole microseconds.
"""

from __future__ import annotations

from msgspec import Struct, field

from linenbridge.distribution.changes import Change, Version
from linenbridge.distribution.messages import EncodedBatch, EncodedRangeSnapshot, Message, SubtreeSummary


class Send(Struct, frozen=True):
    """Send a message to the process named `to`; the message is lost if that process cannot be reached."""

    to: str
    message: Message | EncodedBatch | EncodedRangeSnapshot


class Persist(Struct, frozen=True):
    """Write a replica's log to disk.

    The host first removes the entries after the sequence `truncate_after` (none if it is None), then appends
    `changes` and removes the entries at the sequences `superseded`. It stores `epoch` with the `publisher`
    that the epoch was promised to, `committed`, `incarnation` and `purged_up_to` in the same write. Once all
    of it is on disk, the host sends `then` and calls `Replica.on_persisted(now, number)`; on an error it
    calls `Replica.on_store_failed(now, error)`.
    """

    number: int
    truncate_after: int | None
    changes: list[Change]
    epoch: int
    committed: int
    publisher: str = ""
    incarnation: int = 0
    superseded: list[int] = field(default_factory=list)
    purged_up_to: int = 0
    then: list[Send] = field(default_factory=list)


class Committed(Struct, frozen=True):
    """Pass committed entries, in order, to the relay's feed."""

    region: str
    changes: list[Change]


class Apply(Struct, frozen=True):
    """Apply changes to the view, all between the same two requests; the follower is then at `upto`.

    The host responds with `Follower.on_applied`. `digest` is the relay's digest at `upto`, or None if the
    relay sent none; `horizon` is used by a table that passes the changes on.
    """

    region: str
    upto: Version
    changes: list[Change]
    digest: int | None = None
    horizon: int = 0


class ReplaceRange(Struct, frozen=True):
    """Replace one range of a region's keys by the range's complete content at `upto`.

    Keys at versions up to `upto` that are not in `changes` are deleted; `changes` may contain versions newer
    than `upto`. After the replacement with `final` set, the follower is at `upto`. The host responds to each
    replacement with `Follower.on_applied`.
    """

    region: str
    upto: Version
    range_index: int
    changes: list[Change]
    final: bool
    horizon: int = 0


class SubtreeProgress(Struct, frozen=True):
    """Pass the progress of all followers below a relay, in the other regions, to `on_progress_below` of each
    follower that the relay hosts."""

    summaries: list[SubtreeSummary]


class Dial(Struct, frozen=True):
    """Connect to this relay, and reconnect whenever the connection is lost."""

    relay: str


class Disconnect(Struct, frozen=True):
    """Close the connection to this relay."""

    relay: str


class Event(Struct, frozen=True):
    """Write one structured line of the log."""

    name: str
    fields: dict[str, object]


Decision = Send | Persist | Committed | Apply | ReplaceRange | SubtreeProgress | Dial | Disconnect | Event
