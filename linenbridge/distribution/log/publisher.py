"""The one that writes its region's log: it reads a majority of relays first, then appends in order.

Decides without I/O. Its epoch is the term of a lease, told before every pull of decisions; without one it
sends nothing to relays. A change counts as committed once a majority of the region's relays has it on disk,
or all of them have, together with an entry of this epoch (docs/distribution.md, "The log").
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from linenbridge.distribution.log.change_requests import Authors
from linenbridge.distribution.changes import NAME_MOST, VALUE_MOST, Kind, Version, sealed
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.errors import ChangeRefused, ForeignKey, NotPublisher, OlderEpoch
from linenbridge.distribution.log.region_log import Log, life_name
from linenbridge.distribution.messages import Appended, Fetched, Prepared, Progress, Publish
from linenbridge.distribution.log.replication import Peer, PublisherPace
from linenbridge.distribution.log.propagation import Reach
from linenbridge.distribution.log.recovery import Reading, majority

UNCOMMITTED_MOST = 256  # authors' entries in the log that no majority has yet; further ones wait

Check = Callable[[int, str, bytes], str]


class Publisher:
    """`relays` are those of the region. `check(kind, name, value)` says what is wrong with a value, or ""."""

    def __init__(
        self,
        region: str,
        name: str,
        relays: tuple[str, ...],
        pace: PublisherPace,
        random: Random,
        check: Check,
    ) -> None:
        self.region, self.name, self.pace, self.random, self.check = region, name, pace, random, check
        self.epoch = 0  # the newest that this publisher had
        self.holding = False  # whether the lease of `epoch` is held
        self.replaced = False  # a relay has promised itself to a successor
        self.log = Log()
        self.peers = {relay: Peer(relay, pace, random) for relay in relays}
        self.reading: Reading | None = None
        self.reach = Reach(region, relays, pace.silence)
        self.authors = Authors()
        self._events: deque[Event] = deque()
        self._sends: deque[Send] = deque()

    @property
    def leading(self) -> bool:
        """Whether changes are appended."""
        return self.holding and not self.replaced and self.reading is None

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_term(self, now: int, term: int | None) -> None:
        """The lease's term at this moment, None where it is not held."""
        if term is not None and term > self.epoch:
            self._begin(now, term)
        holding = term is not None and term == self.epoch
        if self.holding and not holding:
            self._stop("lease_lost")
        self.holding = holding

    def on_prepared(self, now: int, message: Prepared) -> None:
        if not self._concerns(message.region, message.relay):
            return
        if message.code:
            self._refused(message.relay, message.epoch)
        elif message.epoch == self.epoch and self.reading is not None:
            self.reading.on_prepared(now, message)
            self._end_reading(now)

    def on_fetched(self, now: int, message: Fetched) -> None:
        concerns = self._concerns(message.region, message.relay)
        if concerns and message.epoch == self.epoch and self.reading is not None:
            self.reading.on_fetched(now, message)
            self._end_reading(now)

    def on_appended(self, now: int, message: Appended) -> None:
        if not self._concerns(message.region, message.relay):
            return
        if message.code == OlderEpoch.code:
            self._refused(message.relay, message.epoch)
            return
        if message.epoch != self.epoch or self.reading is not None or self.replaced:
            return
        peer = self.peers[message.relay]
        if not peer.meets(message.life):
            return
        if message.code:
            peer.on_gap(now, message.upto)
        else:
            peer.on_agreed(now, message.upto, self.log)
        self._count()

    def on_publish(self, now: int, author: str, message: Publish) -> None:
        """An author's change. It is answered at once where it is refused."""
        if not self.holding or self.replaced:
            self.authors.refuse(author, message, NotPublisher)
        elif message.region != self.region:
            self.authors.refuse(author, message, ForeignKey)
        elif (fault := self._fault(message)) != "":
            key = f"{message.kind}/{message.name[:NAME_MOST]}"
            self._event("change_refused", author=author, key=key, what=fault, do=ChangeRefused.advice)
            self.authors.refuse(author, message, ChangeRefused)
        else:
            self.authors.take(author, message, now + self.pace.answer_within)

    def on_progress(self, now: int, relay: str, message: Progress) -> None:
        """How far all below a relay are."""
        if relay in self.peers:
            self.reach.on_progress(now, relay, message)

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """`on_term` comes first, each time."""
        self.authors.on_time(now)
        if self.leading:
            self._append_queued()
            self._send(now)
            self._tell_in_force(now)
        elif self.reading is not None and self.holding and not self.replaced:
            self._sends += self.reading.sends(now)
        for waiting in (self._events, self.authors.out, self._sends):
            if waiting:
                return waiting.popleft()
        return None

    def wake_at(self) -> int | None:
        times = [self.authors.wake_at()]
        if self.leading:
            times += [peer.timer_at for peer in self.peers.values()]
            if self.authors.awaits_in_force():
                times.append(self.reach.wake_at())
        elif self.reading is not None and self.holding and not self.replaced:
            times.append(self.reading.wake_at())
        return min((time for time in times if time is not None), default=None)

    # ---- epochs ------------------------------------------------------------------------------------------

    def _concerns(self, region: str, relay: str) -> bool:
        return region == self.region and relay in self.peers

    def _begin(self, now: int, term: int) -> None:
        """A new epoch begins with reading."""
        self._stop("lease_renewed")
        self.epoch, self.holding, self.replaced = term, True, False
        for peer in self.peers.values():
            peer.begin(now)
        self.reading = Reading(self.region, term, self.peers, self.log, self.pace, self.random, now)
        self._event("reading", epoch=term)

    def _end_reading(self, now: int) -> None:
        if self.reading is None or not self.reading.done:
            return
        self.reading = None
        self.reach.begin(now)
        end = self.log.last
        for peer in self.peers.values():
            peer.start(now, end)
        self._append(Kind.LOG, "", b"")
        self._event("publishing", epoch=self.epoch, sequence=self.log.last.sequence, entries=len(self.log))
        self._count()

    def _stop(self, why: str) -> None:
        """Nothing more leaves for the relays; authors hear what is known."""
        if self.holding:
            self._event("stopped", epoch=self.epoch, why=why)
        self._sends.clear()
        self.authors.on_lease_lost()

    def _refused(self, relay: str, epoch: int) -> None:
        """A relay holds to a newer epoch, or to another publisher of this one."""
        if epoch < self.epoch or self.replaced or not self.holding:
            return
        self._stop("replaced")
        self.replaced = True
        self._event("replaced", epoch=self.epoch, by=epoch, relay=relay, do=OlderEpoch.advice)

    # ---- appending ---------------------------------------------------------------------------------------

    def _fault(self, message: Publish) -> str:
        """What is wrong with a change; "" where nothing is."""
        if message.kind not in Kind.__members__.values() or message.kind == Kind.LOG:
            return f"unknown kind {message.kind}"
        if not 0 < len(message.name) <= NAME_MOST or len(message.name.encode()) > 4 * NAME_MOST:
            return f"its name has {len(message.name)} characters, 1 to {NAME_MOST} are taken"
        if len(message.value) > VALUE_MOST:
            return f"its value has {len(message.value)} bytes, {VALUE_MOST} are taken"
        return self.check(message.kind, message.name, message.value) if message.value else ""

    def _append(self, kind: int, name: str, value: bytes) -> Version:
        version = Version(self.epoch, self.log.last.sequence + 1)
        self.log.append(sealed(self.region, version, kind, name, value))
        return version

    def _append_queued(self) -> None:
        while self.log.last.sequence - self.log.committed < UNCOMMITTED_MOST:
            message = self.authors.next_to_append()
            if message is None:
                return
            self.authors.on_append(self._append(message.kind, message.name, message.value))

    def _append_lives(self) -> None:
        """A relay that may have forgotten something counts again behind an entry that names its new life."""
        for peer in self.peers.values():
            found = self.log.lives.get(peer.name)
            if peer.life and (found is None or found.number != peer.life):
                self._append(Kind.LOG, life_name(peer.name, peer.life), b"")
                self._event("relay_joins", relay=peer.name, life=peer.life)

    def _send(self, now: int) -> None:
        if self._sends:
            return
        for peer in self.peers.values():
            for message in peer.messages(now, self.region, self.epoch, self.log):
                self._sends.append(Send(peer.name, message))

    # ---- counting ----------------------------------------------------------------------------------------

    def _count(self) -> None:
        """Entries that enough relays have are committed, together with one of this epoch. A relay's new life
        that is committed counts from then on, so it is counted again."""
        self._append_lives()
        while (sequence := self._kept_by_enough()) > self.log.committed:
            if not self._is_of_this_epoch(sequence):
                return
            self.log.commit(sequence)
            self.authors.on_committed(sequence)
        settled = min(self.log.settles_at(), self._committed_everywhere())
        if settled > self.log.settled:
            self.log.settle(settled)

    def _committed_everywhere(self) -> int:
        """What every relay surely has committed, on its disk."""
        return min(peer.complete for peer in self.peers.values())

    def _is_of_this_epoch(self, sequence: int) -> bool:
        """An entry of an earlier epoch that a majority has may still be replaced by another publisher's."""
        found = self.log.version_at(sequence)
        return found is not None and found.epoch == self.epoch

    def _kept_by_enough(self) -> int:
        """The newest sequence that a majority of all relays has, of those whose life counts, or all have."""
        by_all = min((peer.acked if peer.life else 0) for peer in self.peers.values())
        members = [peer for peer in self.peers.values() if self.log.life_counts(peer.name, peer.life)]
        acked = sorted((peer.acked for peer in members), reverse=True)
        enough = majority(len(self.peers))
        return max(by_all, acked[enough - 1] if len(acked) >= enough else 0)

    def _tell_in_force(self, now: int) -> None:
        if not self.authors.awaits_in_force():
            return
        found = self.reach.everywhere(now)
        if found is not None:
            self.authors.on_in_force(found.sequence, found.unreached, found.unreached_count)

    def _event(self, name: str, **fields: object) -> None:
        self._events.append(Event(f"distribution.{name}", {"region": self.region, **fields}))
