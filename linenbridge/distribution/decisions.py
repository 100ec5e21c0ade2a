"""What a state machine of the distribution decides, as typed values.

A host calls a state machine's `on_...` inputs, then pulls `next_decision(now)` until it is None, executes
each decision in order, and calls again at `wake_at()`. Times are whole microseconds.
"""

from __future__ import annotations

from msgspec import Struct, field

from linenbridge.distribution.changes import Change, Version
from linenbridge.distribution.messages import EncodedBatch, EncodedRangeSnapshot, Message, SubtreeSummary


class Send(Struct, frozen=True):
    """Send a message to the process of a name; it is lost where that process cannot be reached."""

    to: str
    message: Message | EncodedBatch | EncodedRangeSnapshot


class Persist(Struct, frozen=True):
    """Write a replica's log to disk.

    Entries behind `truncate_after` are removed first (None: none are), then `changes` are appended and the
    sequences `superseded` removed; `epoch` with the `publisher` that it was promised to, `committed`,
    `incarnation` and `purged_up_to` are stored with them. Once all is on disk, `then` is sent and
    `Replica.on_persisted(now, number)` called; on an error, `Replica.on_store_failed(now, error)`.
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
    """Pass entries that a majority has, in order, to the relay's feed."""

    region: str
    changes: list[Change]


class Apply(Struct, frozen=True):
    """Apply changes to the view, together between two requests; then the follower is at `upto`.

    The host responds with `Follower.on_applied`. `digest` is the relay's at `upto`, where it gave one;
    `horizon` is for a table that passes the changes on.
    """

    region: str
    upto: Version
    changes: list[Change]
    digest: int | None = None
    horizon: int = 0


class ReplaceRange(Struct, frozen=True):
    """Replace one range of a region's keys by its complete content at `upto`.

    Keys at versions up to it that are not named are deleted; newer versions than `upto` may be named. With
    `final` the follower is at `upto`. The host responds to each with `Follower.on_applied`.
    """

    region: str
    upto: Version
    range_index: int
    changes: list[Change]
    final: bool
    horizon: int = 0


class SubtreeProgress(Struct, frozen=True):
    """Pass how far all below a relay are in the other regions to `on_progress_below` of each follower that
    the relay hosts."""

    summaries: list[SubtreeSummary]


class Dial(Struct, frozen=True):
    """Connect to this relay, and again whenever the connection is lost."""

    relay: str


class Disconnect(Struct, frozen=True):
    """End the connection to this relay."""

    relay: str


class Event(Struct, frozen=True):
    """Write one structured line of the log."""

    name: str
    fields: dict[str, object]


Decision = Send | Persist | Committed | Apply | ReplaceRange | SubtreeProgress | Dial | Disconnect | Event
