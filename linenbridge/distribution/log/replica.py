"""A relay's copy of its region's log: it promises epochs, takes entries, and hands on what is committed.

Decides without I/O. Majority replication as in Raft, with the term of a lease (`epoch`) in place of
elections. What a relay promises or takes is on its disk before the answer leaves. A relay that may have
forgotten something begins a new life; it counts towards majorities again once its committed log names that
life, which a publisher brings about without it (docs/distribution.md, "The log").
"""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec import Struct

from linenbridge.distribution.changes import Change, Kind, Version, intact
from linenbridge.distribution.decisions import Committed, Decision, Event, Persist, Send
from linenbridge.distribution.errors import LogGap, OlderEpoch, RelayStoreError
from linenbridge.distribution.log.region_log import Log
from linenbridge.distribution.messages import Append, Appended, Fetch, Fetched, Message, Prepare, Prepared

INCARNATION_BITS = 62  # of the random number that stands for one life of a relay


class StoredLog(Struct, frozen=True):
    """What a relay's disk held when it started. `incarnation` 0: nothing was ever kept there."""

    incarnation: int = 0
    epoch: int = 0
    publisher: str = ""
    committed: int = 0
    changes: list[Change] = []
    purged_up_to: int = 0


class Replica:
    """`stored` is what the disk held. `trusted`: the operator's word that the disk never goes back to an
    earlier state; without it, each start begins a new life."""

    def __init__(self, region: str, name: str, stored: StoredLog, trusted: bool, random: Random) -> None:
        self.region, self.name = region, name
        self.epoch, self.publisher = stored.epoch, stored.publisher
        self.failed = False
        self.log = Log()
        self._out: deque[Decision] = deque()
        self._issued = self._persisted = 0  # numbers of the newest Keep given out, and of the newest done
        for change in stored.changes:
            self.log.append(change)
        self.log.commit(stored.committed)
        self.log.purged_up_to = stored.purged_up_to
        self.incarnation = stored.incarnation
        if not (stored.incarnation and trusted):
            self.incarnation = random.getrandbits(INCARNATION_BITS) | 1
            self._event(
                "incarnation_began",
                incarnation=self.incarnation,
                entries=len(self.log),
                committed=self.log.committed,
            )
            self._persist()
        self._deliver_committed(self.log.newest_of_each_key())

    @property
    def member(self) -> bool:
        """Whether this relay counts towards majorities, as far as it knows itself."""
        return self.log.incarnation_counts(self.name, self.incarnation)

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_prepare(self, now: int, publisher: str, message: Prepare) -> None:
        """A new publisher asks for the promise to take nothing of earlier epochs."""
        if self.failed or message.region != self.region:
            return
        if not self._accepts_epoch(publisher, message.epoch):
            self._reject_promise(publisher)
            return
        promised = self._promise(publisher, message.epoch)
        self._answer(publisher, self._prepared(), promised)

    def on_fetch(self, now: int, publisher: str, message: Fetch) -> None:
        """The publisher that holds the promise reads the log."""
        if self.failed or message.region != self.region:
            return
        if (message.epoch, publisher) != (self.epoch, self.publisher):
            self._reject_promise(publisher)
            return
        changes, more = self.log.after(message.after)
        page = Fetched(self.region, self.epoch, self.name, changes, more, message.after)
        self._answer(publisher, page, promised=False)

    def on_append(self, now: int, publisher: str, message: Append) -> None:
        """Entries or a heartbeat of a publisher."""
        if self.failed or message.region != self.region:
            return
        if not self._accepts_epoch(publisher, message.epoch):
            self._answer(publisher, self._appended(self.log.committed, OlderEpoch.code), promised=False)
            return
        if (fault := self._rejection_reason(message)) is not None:
            self._event("replica_malformed", publisher=publisher, what=fault)
            return
        if self._predates_purge(message):
            self._fail_restored_disk(now, message.purged_up_to)
            return
        promised = self._promise(publisher, message.epoch)
        if self.log.agrees_at(message.previous):
            self._accept_entries(publisher, message, promised)
        else:
            self._answer(publisher, self._appended(self.log.committed, LogGap.code), promised)

    def on_persisted(self, now: int, number: int) -> None:
        """The host has everything up to this Keep on disk."""
        self._persisted = max(self._persisted, number)

    def on_store_failed(self, now: int, error: RelayStoreError) -> None:
        """The disk takes nothing: this replica answers nobody until it starts anew."""
        if self.failed:
            return
        self.failed = True
        self._out = deque(decision for decision in self._out if isinstance(decision, Committed | Event))
        self._out.append(Event("distribution.store_failed", dict(error.fields())))

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        return self._out.popleft() if self._out else None

    def wake_at(self) -> int | None:
        """A replica does nothing by itself."""
        return None

    # ---- promises ----------------------------------------------------------------------------------------

    def _accepts_epoch(self, publisher: str, epoch: int) -> bool:
        """Whether the epoch is the promised one, of the same publisher, or a newer one."""
        return epoch > self.epoch or (epoch, publisher) == (self.epoch, self.publisher)

    def _promise(self, publisher: str, epoch: int) -> bool:
        """Take nothing below this epoch, nor of another publisher in it. Whether that has to be kept."""
        if (epoch, publisher) == (self.epoch, self.publisher):
            return False
        self.epoch, self.publisher = epoch, publisher
        self._event("promised", epoch=epoch, publisher=publisher)
        return True

    def _reject_promise(self, publisher: str) -> None:
        self._answer(publisher, self._prepared(OlderEpoch.code), promised=False)

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

    def _rejection_reason(self, message: Append) -> str | None:
        """What is wrong with the form of a message; None where nothing is."""
        before = Version(0, message.previous.sequence)
        for change in message.changes:
            if change.region != self.region or change.epoch > message.epoch:
                return f"entry {change.sequence} is of region {change.region}, epoch {change.epoch}"
            if change.sequence <= before.sequence or change.epoch < before.epoch:
                return f"entry {change.sequence} of epoch {change.epoch} is out of order"
            if not intact(change):
                return f"entry {change.sequence} is not as its publisher sealed it"
            before = change.version
        return None

    def _accept_entries(self, publisher: str, message: Append, promised: bool) -> None:
        """Entries that are new here replace what differs from them; what is committed is handed on."""
        upto = message.changes[-1].sequence if message.changes else message.previous.sequence
        truncate_after, new = self._entries_to_append(message)
        if truncate_after is not None:
            self.log.truncate(truncate_after)
        for change in new:
            self.log.append(change)
        committed, superseded = list[Change](), list[int]()
        advances = min(upto, message.committed) > self.log.committed
        if advances:
            committed, superseded = self.log.commit(min(upto, message.committed))
        settles = self.log.purged_up_to < message.purged_up_to < self.log.committed
        if settles:
            superseded += self.log.purge_tombstones(message.purged_up_to)
        answer = self._appended(upto)
        if advances or new or settles:
            self._persist(truncate_after, new, superseded, [Send(publisher, answer)])
        else:
            self._answer(publisher, answer, promised)
        self._deliver_committed(committed)

    def _entries_to_append(self, message: Append) -> tuple[int | None, list[Change]]:
        """Behind which sequence this log has to be cut (None: nowhere), and what is appended then. Entries
        that agree are never cut off: an earlier answer may have counted towards a majority."""
        if self._refills_from_start(message):
            return 0, message.changes
        agreed = max(message.previous.sequence, self.log.committed)
        changes = [change for change in message.changes if change.sequence > self.log.committed]
        for place, change in enumerate(changes):
            if self.log.version_at(change.sequence) != change.version:
                cut = agreed if self.log.last.sequence > agreed else None
                return cut, changes[place:]
            agreed = change.sequence
        return None, []

    def _refills_from_start(self, message: Append) -> bool:
        """Whether the region is sent from its beginning to a relay that has a part of it alone: keys of that
        part may have been deleted since."""
        begins = message.previous.sequence == 0 and message.purged_up_to > 0
        return begins and bool(message.changes) and self.log.committed == 0 and len(self.log) > 0

    def _predates_purge(self, message: Append) -> bool:
        """Whether this log ends before deletions that were let go once every relay had them."""
        return 0 < self.log.committed < message.purged_up_to

    def _fail_restored_disk(self, now: int, purged_up_to: int) -> None:
        """Every relay had everything up to `purged_up_to` on its disk; this disk has less."""
        what = f"the disk ends at {self.log.committed}, all relays had {purged_up_to}: it was put back"
        self.on_store_failed(now, RelayStoreError(what, self.name))

    def _deliver_committed(self, changes: list[Change]) -> None:
        changes = [change for change in changes if change.kind != Kind.LOG]
        if changes:
            self._out.append(Committed(self.region, changes))

    # ---- answers behind the disk -------------------------------------------------------------------------

    def _answer(self, to: str, message: Message, promised: bool) -> None:
        """An answer leaves once everything before it is on disk."""
        send = Send(to, message)
        if promised or self._issued > self._persisted:
            self._persist(then=[send])
        else:
            self._out.append(send)

    def _persist(
        self,
        truncate_after: int | None = None,
        changes: list[Change] | None = None,
        superseded: list[int] | None = None,
        then: list[Send] | None = None,
    ) -> None:
        self._issued += 1
        write = Persist(
            self._issued, truncate_after, changes or [], self.epoch, self.log.committed,
            self.publisher, self.incarnation, superseded or [], self.log.purged_up_to, then or [],
        )  # fmt: skip
        self._out.append(write)

    def _event(self, name: str, **fields: object) -> None:
        self._out.append(Event(f"distribution.{name}", {"region": self.region, **fields}))
