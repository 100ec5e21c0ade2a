"""What a core of the distribution asks of its host, as typed values.

Owns their form. A host calls a core's `on_...` inputs, then pulls `next_decision(now)` until it is None,
carries each out in order, and wakes the core at `wake_at()`.
"""

from __future__ import annotations

from msgspec import Struct, field

from linenbridge.distribution.changes import Change, Version
from linenbridge.distribution.messages import EncodedBatch, EncodedRangeSnapshot, Message, SubtreeSummary


class Send(Struct, frozen=True):
    """A message to a name; one that cannot be reached loses it, as on any network."""

    to: str
    message: Message | EncodedBatch | EncodedRangeSnapshot


class Persist(Struct, frozen=True):
    """A replica's log on disk: entries behind `truncate_after` are dropped first (None: none are), then
    `changes` are appended and the sequences `superseded` dropped; `epoch` with the `publisher` that it was
    promised to, `committed`, `incarnation` and `purged_up_to` are kept with them. Once all is on disk, `then` is
    sent and `Replica.on_persisted(now, number)` is called; where it fails, `Replica.on_store_failed(now, error)`."""

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
    """Entries that a majority has, in order: for the relay's feed."""

    region: str
    changes: list[Change]


class Apply(Struct, frozen=True):
    """Changes for the view, in force together between two requests; then the follower is at `upto`. The host
    answers with `Follower.on_applied`. `digest` is the relay's at `upto`, where it said so; `horizon` is for
    a table that hands the changes on."""

    region: str
    upto: Version
    changes: list[Change]
    digest: int | None = None
    horizon: int = 0


class ReplaceRange(Struct, frozen=True):
    """The complete content of one range of a region's keys at `upto`: keys at versions up to it that are not
    named are gone; newer versions than `upto` may be named. With `final` the follower is at `upto`. The host
    answers each with `Follower.on_applied`."""

    region: str
    upto: Version
    range_index: int
    changes: list[Change]
    final: bool
    horizon: int = 0


class SubtreeProgress(Struct, frozen=True):
    """How far all below a relay are in the other regions: for `on_progress_below` of each follower that the
    relay hosts."""

    summaries: list[SubtreeSummary]


class Dial(Struct, frozen=True):
    """Keep a link to this relay."""

    relay: str


class Disconnect(Struct, frozen=True):
    """Let the link to this relay go."""

    relay: str


class Event(Struct, frozen=True):
    """One structured line of the log."""

    name: str
    fields: dict[str, object]


Decision = Send | Persist | Committed | Apply | ReplaceRange | SubtreeProgress | Dial | Disconnect | Event
