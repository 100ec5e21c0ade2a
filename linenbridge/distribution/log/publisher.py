"""The one that writes its region's log: it reads a majority of relays first, then appends in order.

Decides without I/O. Its epoch is the term of a lease, told before every pull of decisions; without one it
sends nothing to relays. A change counts as committed once a majority of the region's relays has it on disk,
or all of them have, together with an entry of this epoch (docs/distribution.md, "The log").
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from linenbridge.distribution.log.change_requests import ChangeRequests
from linenbridge.distribution.changes import MAX_NAME_CHARACTERS, MAX_VALUE_BYTES, Kind, Version, sealed
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.errors import ChangeRejected, ForeignKey, NotPublisher, OlderEpoch
from linenbridge.distribution.log.region_log import Log, incarnation_entry_name
from linenbridge.distribution.messages import Appended, Fetched, Prepared, Progress, Publish
from linenbridge.distribution.log.replication import Peer, PublisherTiming
from linenbridge.distribution.log.propagation import PropagationProgress
from linenbridge.distribution.log.recovery import LogRecovery, majority

MAX_UNCOMMITTED_ENTRIES = 256  # authors' entries in the log that no majority has yet; further ones wait

Check = Callable[[int, str, bytes], str]


class Publisher:
    """`relays` are those of the region. `check(kind, name, value)` says what is wrong with a value, or ""."""

    def __init__(
        self,
        region: str,
        name: str,
        relays: tuple[str, ...],
        timing: PublisherTiming,
        random: Random,
        check: Check,
    ) -> None:
        self.region, self.name, self.timing, self.random, self.check = region, name, timing, random, check
        self.epoch = 0  # the newest that this publisher had
        self.holds_lease = False  # whether the lease of `epoch` is held
        self.deposed = False  # a relay has promised itself to a successor
        self.log = Log()
        self.peers = {relay: Peer(relay, timing, random) for relay in relays}
        self.recovery: LogRecovery | None = None
        self.propagation = PropagationProgress(region, relays, timing.silence)
        self.change_requests = ChangeRequests()
        self._events: deque[Event] = deque()
        self._sends: deque[Send] = deque()

    @property
    def leading(self) -> bool:
        """Whether changes are appended."""
        return self.holds_lease and not self.deposed and self.recovery is None

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_term(self, now: int, term: int | None) -> None:
        """The lease's term at this moment, None where it is not held."""
        if term is not None and term > self.epoch:
            self._begin(now, term)
        holds_lease = term is not None and term == self.epoch
        if self.holds_lease and not holds_lease:
            self._stop("lease_lost")
        self.holds_lease = holds_lease

    def on_prepared(self, now: int, message: Prepared) -> None:
        if not self._concerns(message.region, message.relay):
            return
        if message.code:
            self._refused(message.relay, message.epoch)
        elif message.epoch == self.epoch and self.recovery is not None:
            self.recovery.on_prepared(now, message)
            self._finish_recovery(now)

    def on_fetched(self, now: int, message: Fetched) -> None:
        concerns = self._concerns(message.region, message.relay)
        if concerns and message.epoch == self.epoch and self.recovery is not None:
            self.recovery.on_fetched(now, message)
            self._finish_recovery(now)

    def on_appended(self, now: int, message: Appended) -> None:
        if not self._concerns(message.region, message.relay):
            return
        if message.code == OlderEpoch.code:
            self._refused(message.relay, message.epoch)
            return
        if message.epoch != self.epoch or self.recovery is not None or self.deposed:
            return
        peer = self.peers[message.relay]
        if not peer.accepts_incarnation(message.incarnation):
            return
        if message.code:
            peer.on_gap(now, message.upto)
        else:
            peer.on_agreed(now, message.upto, self.log)
        self._advance_commit()

    def on_publish(self, now: int, client: str, message: Publish) -> None:
        """An author's change. It is answered at once where it is refused."""
        if not self.holds_lease or self.deposed:
            self.change_requests.refuse(client, message, NotPublisher)
        elif message.region != self.region:
            self.change_requests.refuse(client, message, ForeignKey)
        elif (fault := self._rejection_reason(message)) != "":
            key = f"{message.kind}/{message.name[:MAX_NAME_CHARACTERS]}"
            self._event("change_rejected", client=client, key=key, what=fault, do=ChangeRejected.advice)
            self.change_requests.refuse(client, message, ChangeRejected)
        else:
            self.change_requests.take(client, message, now + self.timing.answer_within)

    def on_progress(self, now: int, relay: str, message: Progress) -> None:
        """How far all below a relay are."""
        if relay in self.peers:
            self.propagation.on_progress(now, relay, message)

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """`on_term` comes first, each time."""
        self.change_requests.on_time(now)
        if self.leading:
            self._append_queued()
            self._send(now)
            self._report_in_force(now)
        elif self.recovery is not None and self.holds_lease and not self.deposed:
            self._sends += self.recovery.sends(now)
        for pending in (self._events, self.change_requests.out, self._sends):
            if pending:
                return pending.popleft()
        return None

    def wake_at(self) -> int | None:
        times = [self.change_requests.wake_at()]
        if self.leading:
            times += [peer.timer_at for peer in self.peers.values()]
            if self.change_requests.awaits_in_force():
                times.append(self.propagation.wake_at())
        elif self.recovery is not None and self.holds_lease and not self.deposed:
            times.append(self.recovery.wake_at())
        return min((time for time in times if time is not None), default=None)

    # ---- epochs ------------------------------------------------------------------------------------------

    def _concerns(self, region: str, relay: str) -> bool:
        return region == self.region and relay in self.peers

    def _begin(self, now: int, term: int) -> None:
        """A new epoch begins with reading."""
        self._stop("lease_renewed")
        self.epoch, self.holds_lease, self.deposed = term, True, False
        for peer in self.peers.values():
            peer.begin(now)
        self.recovery = LogRecovery(self.region, term, self.peers, self.log, self.timing, self.random, now)
        self._event("log_recovery", epoch=term)

    def _finish_recovery(self, now: int) -> None:
        if self.recovery is None or not self.recovery.done:
            return
        self.recovery = None
        self.propagation.begin(now)
        end = self.log.last
        for peer in self.peers.values():
            peer.start(now, end)
        self._append(Kind.LOG, "", b"")
        self._event("publishing", epoch=self.epoch, sequence=self.log.last.sequence, entries=len(self.log))
        self._advance_commit()

    def _stop(self, why: str) -> None:
        """Nothing more leaves for the relays; authors hear what is known."""
        if self.holds_lease:
            self._event("stopped", epoch=self.epoch, why=why)
        self._sends.clear()
        self.change_requests.on_lease_lost()

    def _refused(self, relay: str, epoch: int) -> None:
        """A relay holds to a newer epoch, or to another publisher of this one."""
        if epoch < self.epoch or self.deposed or not self.holds_lease:
            return
        self._stop("replaced")
        self.deposed = True
        self._event("replaced", epoch=self.epoch, by=epoch, relay=relay, do=OlderEpoch.advice)

    # ---- appending ---------------------------------------------------------------------------------------

    def _rejection_reason(self, message: Publish) -> str:
        """What is wrong with a change; "" where nothing is."""
        if message.kind not in Kind.__members__.values() or message.kind == Kind.LOG:
            return f"unknown kind {message.kind}"
        if (
            not 0 < len(message.name) <= MAX_NAME_CHARACTERS
            or len(message.name.encode()) > 4 * MAX_NAME_CHARACTERS
        ):
            return f"its name has {len(message.name)} characters, 1 to {MAX_NAME_CHARACTERS} are taken"
        if len(message.value) > MAX_VALUE_BYTES:
            return f"its value has {len(message.value)} bytes, {MAX_VALUE_BYTES} are taken"
        return self.check(message.kind, message.name, message.value) if message.value else ""

    def _append(self, kind: int, name: str, value: bytes) -> Version:
        version = Version(self.epoch, self.log.last.sequence + 1)
        self.log.append(sealed(self.region, version, kind, name, value))
        return version

    def _append_queued(self) -> None:
        while self.log.last.sequence - self.log.committed < MAX_UNCOMMITTED_ENTRIES:
            message = self.change_requests.next_to_append()
            if message is None:
                return
            self.change_requests.on_append(self._append(message.kind, message.name, message.value))

    def _append_incarnations(self) -> None:
        """A relay that may have forgotten something counts again behind an entry that names its new life."""
        for peer in self.peers.values():
            found = self.log.incarnations.get(peer.name)
            if peer.incarnation and (found is None or found.number != peer.incarnation):
                self._append(Kind.LOG, incarnation_entry_name(peer.name, peer.incarnation), b"")
                self._event("relay_joins", relay=peer.name, incarnation=peer.incarnation)

    def _send(self, now: int) -> None:
        if self._sends:
            return
        for peer in self.peers.values():
            for message in peer.messages(now, self.region, self.epoch, self.log):
                self._sends.append(Send(peer.name, message))

    # ---- counting ----------------------------------------------------------------------------------------

    def _advance_commit(self) -> None:
        """Entries that enough relays have are committed, together with one of this epoch. A relay's new life
        that is committed counts from then on, so it is counted again."""
        self._append_incarnations()
        while (sequence := self._replicated_by_quorum()) > self.log.committed:
            if not self._is_of_this_epoch(sequence):
                return
            self.log.commit(sequence)
            self.change_requests.on_committed(sequence)
        purged_up_to = min(self.log.purge_target(), self._committed_everywhere())
        if purged_up_to > self.log.purged_up_to:
            self.log.purge_tombstones(purged_up_to)

    def _committed_everywhere(self) -> int:
        """What every relay surely has committed, on its disk."""
        return min(peer.confirmed_committed for peer in self.peers.values())

    def _is_of_this_epoch(self, sequence: int) -> bool:
        """An entry of an earlier epoch that a majority has may still be replaced by another publisher's."""
        found = self.log.version_at(sequence)
        return found is not None and found.epoch == self.epoch

    def _replicated_by_quorum(self) -> int:
        """The newest sequence that a majority of all relays has, of those whose life counts, or all have."""
        by_all = min((peer.acknowledged if peer.incarnation else 0) for peer in self.peers.values())
        members = [
            peer for peer in self.peers.values() if self.log.incarnation_counts(peer.name, peer.incarnation)
        ]
        acknowledged = sorted((peer.acknowledged for peer in members), reverse=True)
        enough = majority(len(self.peers))
        return max(by_all, acknowledged[enough - 1] if len(acknowledged) >= enough else 0)

    def _report_in_force(self, now: int) -> None:
        if not self.change_requests.awaits_in_force():
            return
        found = self.propagation.everywhere(now)
        if found is not None:
            self.change_requests.on_in_force(found.sequence, found.unreached, found.unreached_count)

    def _event(self, name: str, **fields: object) -> None:
        self._events.append(Event(f"distribution.{name}", {"region": self.region, **fields}))
