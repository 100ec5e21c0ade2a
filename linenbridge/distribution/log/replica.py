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
from linenbridge.distribution.decisions import Committed, Decision, Event, Keep, Send
from linenbridge.distribution.errors import LogGap, OlderEpoch, RelayStoreError
from linenbridge.distribution.log.region_log import Log
from linenbridge.distribution.messages import Append, Appended, Fetch, Fetched, Message, Prepare, Prepared

LIFE_BITS = 62  # of the random number that stands for one life of a relay


class Kept(Struct, frozen=True):
    """What a relay's disk held when it started. `life` 0: nothing was ever kept there."""

    life: int = 0
    epoch: int = 0
    publisher: str = ""
    committed: int = 0
    changes: list[Change] = []
    settled: int = 0


class Replica:
    """`kept` is what the disk held. `trusted`: the operator's word that the disk never goes back to an
    earlier state; without it, each start begins a new life."""

    def __init__(self, region: str, name: str, kept: Kept, trusted: bool, random: Random) -> None:
        self.region, self.name = region, name
        self.epoch, self.publisher = kept.epoch, kept.publisher
        self.broken = False
        self.log = Log()
        self._out: deque[Decision] = deque()
        self._given = self._kept = 0  # numbers of the newest Keep given out, and of the newest done
        for change in kept.changes:
            self.log.append(change)
        self.log.commit(kept.committed)
        self.log.settled = kept.settled
        self.life = kept.life
        if not (kept.life and trusted):
            self.life = random.getrandbits(LIFE_BITS) | 1
            self._event("life_began", life=self.life, entries=len(self.log), committed=self.log.committed)
            self._keep()
        self._hand_on(self.log.newest_of_each_key())

    @property
    def member(self) -> bool:
        """Whether this relay counts towards majorities, as far as it knows itself."""
        return self.log.life_counts(self.name, self.life)

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_prepare(self, now: int, publisher: str, message: Prepare) -> None:
        """A new publisher asks for the promise to take nothing of earlier epochs."""
        if self.broken or message.region != self.region:
            return
        if not self._follows(publisher, message.epoch):
            self._refuse_promise(publisher)
            return
        promised = self._promise(publisher, message.epoch)
        self._answer(publisher, self._prepared(), promised)

    def on_fetch(self, now: int, publisher: str, message: Fetch) -> None:
        """The publisher that holds the promise reads the log."""
        if self.broken or message.region != self.region:
            return
        if (message.epoch, publisher) != (self.epoch, self.publisher):
            self._refuse_promise(publisher)
            return
        changes, more = self.log.after(message.after)
        page = Fetched(self.region, self.epoch, self.name, changes, more, message.after)
        self._answer(publisher, page, promised=False)

    def on_append(self, now: int, publisher: str, message: Append) -> None:
        """Entries or a heartbeat of a publisher."""
        if self.broken or message.region != self.region:
            return
        if not self._follows(publisher, message.epoch):
            self._answer(publisher, self._appended(self.log.committed, OlderEpoch.code), promised=False)
            return
        if (fault := self._fault(message)) is not None:
            self._event("replica_malformed", publisher=publisher, what=fault)
            return
        if self._is_from_before(message):
            self._went_back(now, message.settled)
            return
        promised = self._promise(publisher, message.epoch)
        if self.log.agrees_at(message.previous):
            self._take(publisher, message, promised)
        else:
            self._answer(publisher, self._appended(self.log.committed, LogGap.code), promised)

    def on_kept(self, now: int, number: int) -> None:
        """The host has everything up to this Keep on disk."""
        self._kept = max(self._kept, number)

    def on_store_failed(self, now: int, error: RelayStoreError) -> None:
        """The disk takes nothing: this replica answers nobody until it starts anew."""
        if self.broken:
            return
        self.broken = True
        self._out = deque(decision for decision in self._out if isinstance(decision, Committed | Event))
        self._out.append(Event("distribution.store_failed", dict(error.fields())))

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        return self._out.popleft() if self._out else None

    def wake_at(self) -> int | None:
        """A replica does nothing by itself."""
        return None

    # ---- promises ----------------------------------------------------------------------------------------

    def _follows(self, publisher: str, epoch: int) -> bool:
        """Whether the epoch is the promised one, of the same publisher, or a newer one."""
        return epoch > self.epoch or (epoch, publisher) == (self.epoch, self.publisher)

    def _promise(self, publisher: str, epoch: int) -> bool:
        """Take nothing below this epoch, nor of another publisher in it. Whether that has to be kept."""
        if (epoch, publisher) == (self.epoch, self.publisher):
            return False
        self.epoch, self.publisher = epoch, publisher
        self._event("promised", epoch=epoch, publisher=publisher)
        return True

    def _refuse_promise(self, publisher: str) -> None:
        self._answer(publisher, self._prepared(OlderEpoch.code), promised=False)

    def _prepared(self, code: str = "") -> Prepared:
        return Prepared(
            self.region,
            self.epoch,
            self.name,
            self.log.last,
            self.log.committed,
            code,
            self.life,
            self.member,
            self.log.settled,
        )

    def _appended(self, upto: int, code: str = "") -> Appended:
        return Appended(self.region, self.epoch, self.name, upto, code, self.life)

    # ---- entries -----------------------------------------------------------------------------------------

    def _fault(self, message: Append) -> str | None:
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

    def _take(self, publisher: str, message: Append, promised: bool) -> None:
        """Entries that are new here replace what differs from them; what is committed is handed on."""
        upto = message.changes[-1].sequence if message.changes else message.previous.sequence
        truncate_after, new = self._news(message)
        if truncate_after is not None:
            self.log.truncate(truncate_after)
        for change in new:
            self.log.append(change)
        committed, superseded = list[Change](), list[int]()
        advances = min(upto, message.committed) > self.log.committed
        if advances:
            committed, superseded = self.log.commit(min(upto, message.committed))
        settles = self.log.settled < message.settled < self.log.committed
        if settles:
            superseded += self.log.settle(message.settled)
        answer = self._appended(upto)
        if advances or new or settles:
            self._keep(truncate_after, new, superseded, [Send(publisher, answer)])
        else:
            self._answer(publisher, answer, promised)
        self._hand_on(committed)

    def _news(self, message: Append) -> tuple[int | None, list[Change]]:
        """Behind which sequence this log has to be cut (None: nowhere), and what is appended then. Entries
        that agree are never cut off: an earlier answer may have counted towards a majority."""
        if self._fills_anew(message):
            return 0, message.changes
        agreed = max(message.previous.sequence, self.log.committed)
        changes = [change for change in message.changes if change.sequence > self.log.committed]
        for place, change in enumerate(changes):
            if self.log.version_at(change.sequence) != change.version:
                cut = agreed if self.log.last.sequence > agreed else None
                return cut, changes[place:]
            agreed = change.sequence
        return None, []

    def _fills_anew(self, message: Append) -> bool:
        """Whether the region is sent from its beginning to a relay that has a part of it alone: keys of that
        part may have been deleted since."""
        begins = message.previous.sequence == 0 and message.settled > 0
        return begins and bool(message.changes) and self.log.committed == 0 and len(self.log) > 0

    def _is_from_before(self, message: Append) -> bool:
        """Whether this log ends before deletions that were let go once every relay had them."""
        return 0 < self.log.committed < message.settled

    def _went_back(self, now: int, settled: int) -> None:
        """Every relay had everything up to `settled` on its disk; this disk has less."""
        what = f"the disk ends at {self.log.committed}, all relays had {settled}: it was put back"
        self.on_store_failed(now, RelayStoreError(what, self.name))

    def _hand_on(self, changes: list[Change]) -> None:
        changes = [change for change in changes if change.kind != Kind.LOG]
        if changes:
            self._out.append(Committed(self.region, changes))

    # ---- answers behind the disk -------------------------------------------------------------------------

    def _answer(self, to: str, message: Message, promised: bool) -> None:
        """An answer leaves once everything before it is on disk."""
        send = Send(to, message)
        if promised or self._given > self._kept:
            self._keep(then=[send])
        else:
            self._out.append(send)

    def _keep(
        self,
        truncate_after: int | None = None,
        changes: list[Change] | None = None,
        superseded: list[int] | None = None,
        then: list[Send] | None = None,
    ) -> None:
        self._given += 1
        keep = Keep(
            self._given, truncate_after, changes or [], self.epoch, self.log.committed,
            self.publisher, self.life, superseded or [], self.log.settled, then or [],
        )  # fmt: skip
        self._out.append(keep)

    def _event(self, name: str, **fields: object) -> None:
        self._out.append(Event(f"distribution.{name}", {"region": self.region, **fields}))
