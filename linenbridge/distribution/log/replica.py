"""A relay's replica of its region's log: it promises epochs, stores entries, and delivers committed changes.

A state machine without I/O. It replicates to a majority as in Raft (Ongaro and Ousterhout, 2014), with the
term of a lease (`epoch`) in place of elections. A promise and accepted entries are on the relay's disk before
the response is sent. A relay that may have lost entries starts a new incarnation. It counts towards
majorities again once its committed log names that incarnation; the publisher commits that entry without
counting the relay (docs/distribution.md, "The log").
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple

from msgspec import Struct

from linenbridge.distribution.changes import Change, Kind, Version, intact
from linenbridge.distribution.decisions import Committed, Decision, Event, Persist, Send
from linenbridge.distribution.errors import LogGap, OlderEpoch, RelayStoreError
from linenbridge.distribution.log.region_log import Log
from linenbridge.distribution.messages import Append, Appended, Fetch, Fetched, Message, Prepare, Prepared

INCARNATION_BITS = 62  # of the random number that identifies one incarnation of a relay


class StoredLog(Struct, frozen=True):
    """Content of a relay's disk when the relay starts. `incarnation` is 0 if nothing was ever stored."""

    incarnation: int = 0
    epoch: int = 0
    publisher: str = ""
    committed: int = 0
    changes: list[Change] = []
    purged_up_to: int = 0


class LogUpdate(NamedTuple):
    """Update of a log by one message: the entries after `truncate_after` are removed (none if it is None),
    then `changes` are appended."""

    truncate_after: int | None
    changes: list[Change]


NO_UPDATE = LogUpdate(truncate_after=None, changes=[])


class Replica:
    """The replica of one relay, started from `stored`, the content of its disk.

    `trusted` is the operator's assurance that the disk never goes back to an earlier state; without it, each
    start begins a new incarnation. `failed` is set once the disk cannot be used; the replica then responds to
    no message.
    """

    def __init__(self, region: str, name: str, stored: StoredLog, random: Random, *, trusted: bool) -> None:
        self.region = region
        self.name = name
        self.epoch = stored.epoch
        self.publisher = stored.publisher
        self.failed = False
        self.log = Log()
        self._decisions: deque[Decision] = deque()
        self._issued = 0  # number of the newest Persist
        self._persisted = 0  # number of the newest Persist that is on disk
        for change in stored.changes:
            self.log.append(change)
        self.log.commit(stored.committed)
        self.log.purged_up_to = stored.purged_up_to
        self.incarnation = stored.incarnation
        if not (stored.incarnation and trusted):
            self._begin_incarnation(random)
        self._deliver_committed(self.log.newest_of_each_key())

    @property
    def member(self) -> bool:
        """Whether this relay counts towards majorities, according to its own log."""
        return self.log.incarnation_counts(self.name, self.incarnation)

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_prepare(self, now: int, publisher: str, message: Prepare) -> None:  # noqa: ARG002  # as all inputs
        """Handle a new publisher's request for the promise to reject earlier epochs."""
        if self.failed or message.region != self.region:
            return
        if not self._accepts_epoch(publisher, message.epoch):
            self._reject_promise(publisher)
            return
        promised = self._promise(publisher, message.epoch)
        self._respond(publisher, self._prepared(), promised=promised)

    def on_fetch(self, now: int, publisher: str, message: Fetch) -> None:  # noqa: ARG002  # as all inputs
        """Send a page of the log, if the publisher is the one that the epoch was promised to."""
        if self.failed or message.region != self.region:
            return
        if (message.epoch, publisher) != (self.epoch, self.publisher):
            self._reject_promise(publisher)
            return
        page = self.log.page_after(message.after)
        fetched = Fetched(self.region, self.epoch, self.name, page.changes, page.more, message.after)
        self._respond(publisher, fetched)

    def on_append(self, now: int, publisher: str, message: Append) -> None:
        """Handle entries or a heartbeat from a publisher."""
        if self.failed or message.region != self.region:
            return
        if not self._accepts_epoch(publisher, message.epoch):
            self._respond(publisher, self._appended(self.log.committed, OlderEpoch.code))
            return
        reason = self._malformed_reason(message)
        if reason is not None:
            self._event("replica_malformed", publisher=publisher, what=reason)
            return
        if self._predates_purge(message):
            self._fail_restored_disk(now, message.purged_up_to)
            return
        promised = self._promise(publisher, message.epoch)
        if self.log.agrees_at(message.previous):
            self._accept_entries(publisher, message, promised=promised)
        else:
            gap = self._appended(self.log.committed, LogGap.code)
            self._respond(publisher, gap, promised=promised)

    def on_persisted(self, now: int, number: int) -> None:  # noqa: ARG002  # as all inputs
        """Record that the Persist decisions up to `number` are on disk."""
        self._persisted = max(self._persisted, number)

    def on_store_failed(self, now: int, error: RelayStoreError) -> None:  # noqa: ARG002  # as all inputs
        """Stop the replica because its disk cannot be used; it responds to no message until a restart."""
        if self.failed:
            return
        self.failed = True
        self._decisions = deque(one for one in self._decisions if isinstance(one, Committed | Event))
        self._decisions.append(Event("distribution.store_failed", dict(error.fields())))

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:  # noqa: ARG002  # as all inputs
        """Return the next decision in order, or None."""
        return self._decisions.popleft() if self._decisions else None

    def wake_at(self) -> int | None:
        """Return None, because a replica has no timer."""
        return None

    # ---- promises ----------------------------------------------------------------------------------------

    def _accepts_epoch(self, publisher: str, epoch: int) -> bool:
        """Return whether the epoch is newer than the promised one, or was promised to the same publisher."""
        return epoch > self.epoch or (epoch, publisher) == (self.epoch, self.publisher)

    def _promise(self, publisher: str, epoch: int) -> bool:
        """Promise to reject earlier epochs, and other publishers in this epoch.

        Returns whether the promise is new and has to be stored.
        """
        if (epoch, publisher) == (self.epoch, self.publisher):
            return False
        self.epoch = epoch
        self.publisher = publisher
        self._event("promised", epoch=epoch, publisher=publisher)
        return True

    def _reject_promise(self, publisher: str) -> None:
        self._respond(publisher, self._prepared(OlderEpoch.code))

    def _prepared(self, code: str = "") -> Prepared:
        return Prepared(
            self.region,
            self.epoch,
            self.name,
            self.log.last,
            self.log.committed,
            code,
            self.incarnation,
            self.member,
            self.log.purged_up_to,
        )

    def _appended(self, upto: int, code: str = "") -> Appended:
        return Appended(self.region, self.epoch, self.name, upto, code, self.incarnation)

    # ---- entries -----------------------------------------------------------------------------------------

    def _malformed_reason(self, message: Append) -> str | None:
        """Return what is malformed in a message, or None."""
        before = Version(0, message.previous.sequence)
        for change in message.changes:
            if change.region != self.region or change.epoch > message.epoch:
                return f"entry {change.sequence} is of region {change.region}, epoch {change.epoch}"
            if change.sequence <= before.sequence or change.epoch < before.epoch:
                return f"entry {change.sequence} of epoch {change.epoch} is out of order"
            if not intact(change):
                return f"entry {change.sequence} does not match its checksum"
            before = change.version
        return None

    def _accept_entries(self, publisher: str, message: Append, *, promised: bool) -> None:
        """Store the entries that this log lacks in place of those that differ, and deliver newly committed
        ones."""
        upto = message.changes[-1].sequence if message.changes else message.previous.sequence
        update = self._entries_to_append(message)
        if update.truncate_after is not None:
            self.log.truncate(update.truncate_after)
        for change in update.changes:
            self.log.append(change)
        committed = list[Change]()
        superseded = list[int]()
        commits = min(upto, message.committed) > self.log.committed
        if commits:
            committed, superseded = self.log.commit(min(upto, message.committed))
        purges = self.log.purged_up_to < message.purged_up_to < self.log.committed
        if purges:
            superseded += self.log.purge_tombstones(message.purged_up_to)
        response = self._appended(upto)
        if commits or update.changes or purges:
            self._persist(update.truncate_after, update.changes, superseded, [Send(publisher, response)])
        else:
            self._respond(publisher, response, promised=promised)
        self._deliver_committed(committed)

    def _entries_to_append(self, message: Append) -> LogUpdate:
        """Return which entries of a message are new, and after which sequence this log differs from them.

        Entries that agree are never removed, because a majority may have been counted with an earlier
        response about them.
        """
        if self._refills_from_start(message):
            return LogUpdate(0, message.changes)
        agreed = max(message.previous.sequence, self.log.committed)
        changes = [change for change in message.changes if change.sequence > self.log.committed]
        for place, change in enumerate(changes):
            if self.log.version_at(change.sequence) != change.version:
                truncate_after = agreed if self.log.last.sequence > agreed else None
                return LogUpdate(truncate_after, changes[place:])
            agreed = change.sequence
        return NO_UPDATE

    def _refills_from_start(self, message: Append) -> bool:
        """Return whether the log is sent from its start to a relay that has only uncommitted entries. The
        relay's entries are then replaced, because their keys may have been deleted since."""
        from_start = message.previous.sequence == 0 and message.purged_up_to > 0
        return from_start and bool(message.changes) and self.log.committed == 0 and len(self.log) > 0

    def _predates_purge(self, message: Append) -> bool:
        """Return whether this log has not committed all tombstones that were purged once every relay had
        them."""
        return 0 < self.log.committed < message.purged_up_to

    def _fail_restored_disk(self, now: int, purged_up_to: int) -> None:
        """Stop the replica: every relay had committed the entries up to `purged_up_to`, and this disk has
        fewer."""
        what = (
            f"the log on disk is committed up to {self.log.committed}, all relays had {purged_up_to}: "
            f"an older disk was restored"
        )
        self.on_store_failed(now, RelayStoreError(what, self.name))

    def _deliver_committed(self, changes: list[Change]) -> None:
        """Pass committed changes, without entries about the log itself, to the relay's feed."""
        changes = [change for change in changes if change.kind != Kind.LOG]
        if changes:
            self._decisions.append(Committed(self.region, changes))

    # ---- the disk ----------------------------------------------------------------------------------------

    def _begin_incarnation(self, random: Random) -> None:
        """Begin a new incarnation, because the disk may have lost entries; the publisher treats it as another
        relay."""
        self.incarnation = random.getrandbits(INCARNATION_BITS) | 1
        entries = len(self.log)
        committed = self.log.committed
        self._event("incarnation_began", incarnation=self.incarnation, entries=entries, committed=committed)
        self._persist()

    def _respond(self, to: str, message: Message, *, promised: bool = False) -> None:
        """Send a response once all earlier decisions and a new promise are on disk."""
        send = Send(to, message)
        if promised or self._issued > self._persisted:
            self._persist(then=[send])
        else:
            self._decisions.append(send)

    def _persist(
        self,
        truncate_after: int | None = None,
        changes: list[Change] | None = None,
        superseded: list[int] | None = None,
        then: list[Send] | None = None,
    ) -> None:
        self._issued += 1
        write = Persist(
            number=self._issued,
            truncate_after=truncate_after,
            changes=changes or [],
            epoch=self.epoch,
            committed=self.log.committed,
            publisher=self.publisher,
            incarnation=self.incarnation,
            superseded=superseded or [],
            purged_up_to=self.log.purged_up_to,
            then=then or [],
        )
        self._decisions.append(write)

    def _event(self, name: str, **fields: object) -> None:
        self._decisions.append(Event(f"distribution.{name}", {"region": self.region, **fields}))
