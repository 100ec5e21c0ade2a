"""The publisher of a region: it recovers the log from its relays first, then appends changes in order.

Decides without I/O. Its epoch is the term of a lease, which the host gives before every pull of decisions;
without the lease it sends nothing to relays. A change is committed once a majority of the region's relays, or
all of them, have it on disk together with an entry of this epoch (docs/distribution.md, "The log").
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from linenbridge.distribution.changes import MAX_NAME_CHARACTERS, MAX_VALUE_BYTES, Kind, Version, sealed
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.errors import ChangeRejected, ForeignKey, NotPublisher, OlderEpoch
from linenbridge.distribution.log.change_requests import ChangeRequests
from linenbridge.distribution.log.propagation import PropagationProgress
from linenbridge.distribution.log.recovery import LogRecovery, majority
from linenbridge.distribution.log.region_log import Log, incarnation_entry_name
from linenbridge.distribution.log.replication import Peer, PublisherTiming
from linenbridge.distribution.messages import Appended, Fetched, Prepared, Progress, Publish

MAX_UNCOMMITTED_ENTRIES = 256  # clients' entries in the log that no majority has yet; further ones wait
MAX_NAME_BYTES = 4 * MAX_NAME_CHARACTERS  # of a key's name in UTF-8

Check = Callable[[int, str, bytes], str]  # what is wrong with a kind, name and value; "" where nothing is


class Publisher:
    """One candidate for a region's publisher. `relays` are those of the region; `check` validates a value.

    `epoch` is the newest that this publisher had. `deposed` is set once a relay has promised an epoch to a
    successor.
    """

    def __init__(
        self,
        region: str,
        name: str,
        relays: tuple[str, ...],
        timing: PublisherTiming,
        random: Random,
        check: Check,
    ) -> None:
        self.region = region
        self.name = name
        self.timing = timing
        self.random = random
        self.check = check
        self.epoch = 0
        self.holds_lease = False  # of `epoch`
        self.deposed = False
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
        return self._active and self.recovery is None

    @property
    def _active(self) -> bool:
        """Whether messages may be sent to relays."""
        return self.holds_lease and not self.deposed

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_term(self, now: int, term: int | None) -> None:
        """The lease's term at this moment, None where it is not held."""
        if term is not None and term > self.epoch:
            self._start_epoch(now, term)
        holds_lease = term is not None and term == self.epoch
        if self.holds_lease and not holds_lease:
            self._stop("lease_lost")
        self.holds_lease = holds_lease

    def on_prepared(self, now: int, message: Prepared) -> None:
        """A relay's promise, or its rejection of this epoch."""
        if not self._concerns(message.region, message.relay):
            return
        if message.code:
            self._on_epoch_rejected(message.relay, message.epoch)
        elif message.epoch == self.epoch and self.recovery is not None:
            self.recovery.on_prepared(now, message)
            self._finish_recovery(now)

    def on_fetched(self, now: int, message: Fetched) -> None:
        """A page of the log that is recovered."""
        concerns = self._concerns(message.region, message.relay)
        if concerns and message.epoch == self.epoch and self.recovery is not None:
            self.recovery.on_fetched(now, message)
            self._finish_recovery(now)

    def on_appended(self, now: int, message: Appended) -> None:
        """A relay's response to an append."""
        if not self._concerns(message.region, message.relay):
            return
        if message.code == OlderEpoch.code:
            self._on_epoch_rejected(message.relay, message.epoch)
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
        """A client's change. An invalid one is rejected at once."""
        if not self._active:
            self.change_requests.reject(client, message, NotPublisher)
        elif message.region != self.region:
            self.change_requests.reject(client, message, ForeignKey)
        elif (reason := self._rejection_reason(message)) != "":
            key = f"{message.kind}/{message.name[:MAX_NAME_CHARACTERS]}"
            self._event("change_rejected", client=client, key=key, what=reason, do=ChangeRejected.advice)
            self.change_requests.reject(client, message, ChangeRejected)
        else:
            self.change_requests.enqueue(client, message, now + self.timing.answer_within)

    def on_progress(self, now: int, relay: str, message: Progress) -> None:
        """A relay's report on how far all below it are."""
        if relay in self.peers:
            self.propagation.on_progress(now, relay, message)

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """The next event, response to a client or message to a relay; call `on_term` before each call."""
        self.change_requests.on_time(now)
        if self.leading:
            self._append_queued()
            self._send(now)
            self._report_in_force(now)
        elif self.recovery is not None and self._active:
            self._sends += self.recovery.messages(now)
        for decisions in (self._events, self.change_requests.responses, self._sends):
            if decisions:
                return decisions.popleft()
        return None

    def wake_at(self) -> int | None:
        """When `next_decision` is due again without another input, in microseconds."""
        times = [self.change_requests.wake_at()]
        if self.leading:
            times += [peer.timer_at for peer in self.peers.values()]
            if self.change_requests.awaits_in_force():
                times.append(self.propagation.wake_at())
        elif self.recovery is not None and self._active:
            times.append(self.recovery.wake_at())
        return min((time for time in times if time is not None), default=None)

    # ---- epochs ------------------------------------------------------------------------------------------

    def _concerns(self, region: str, relay: str) -> bool:
        return region == self.region and relay in self.peers

    def _start_epoch(self, now: int, term: int) -> None:
        """A new epoch starts with the recovery of the log."""
        self._stop("lease_renewed")
        self.epoch = term
        self.holds_lease = True
        self.deposed = False
        for peer in self.peers.values():
            peer.start_epoch(now)
        self.recovery = LogRecovery(self.region, term, self.peers, self.log, self.timing, self.random, now)
        self._event("log_recovery", epoch=term)

    def _finish_recovery(self, now: int) -> None:
        if self.recovery is None or not self.recovery.done:
            return
        self.recovery = None
        self.propagation.start_epoch(now)
        end = self.log.last
        for peer in self.peers.values():
            peer.start_sending(now, end)
        self._append(Kind.LOG, "", b"")
        self._event("publishing", epoch=self.epoch, sequence=self.log.last.sequence, entries=len(self.log))
        self._advance_commit()

    def _stop(self, reason: str) -> None:
        """Send nothing more to relays; report what is known to the clients."""
        if self.holds_lease:
            self._event("stopped", epoch=self.epoch, why=reason)
        self._sends.clear()
        self.change_requests.on_lease_lost()

    def _on_epoch_rejected(self, relay: str, epoch: int) -> None:
        """A relay has promised a newer epoch, or this one to another publisher."""
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
        length = len(message.name)
        if not 0 < length <= MAX_NAME_CHARACTERS or len(message.name.encode()) > MAX_NAME_BYTES:
            return f"its name has {length} characters, 1 to {MAX_NAME_CHARACTERS} are taken"
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
        """A relay that may have lost entries counts again behind an entry that names its new incarnation."""
        for peer in self.peers.values():
            record = self.log.incarnations.get(peer.name)
            if peer.incarnation and (record is None or record.number != peer.incarnation):
                self._append(Kind.LOG, incarnation_entry_name(peer.name, peer.incarnation), b"")
                self._event("relay_joins", relay=peer.name, incarnation=peer.incarnation)

    def _send(self, now: int) -> None:
        if self._sends:
            return
        for peer in self.peers.values():
            for message in peer.messages(now, self.region, self.epoch, self.log):
                self._sends.append(Send(peer.name, message))

    # ---- committing --------------------------------------------------------------------------------------

    def _advance_commit(self) -> None:
        """Commit the entries that enough relays have, together with one of this epoch. A committed
        incarnation of a relay counts from then on, so relays are counted again after each commit."""
        self._append_incarnations()
        while (sequence := self._replicated_by_quorum()) > self.log.committed:
            if not self._is_of_this_epoch(sequence):
                return
            self.log.commit(sequence)
            self.change_requests.on_committed(sequence)
        purge_up_to = min(self.log.purge_target(), self._committed_everywhere())
        if purge_up_to > self.log.purged_up_to:
            self.log.purge_tombstones(purge_up_to)

    def _committed_everywhere(self) -> int:
        """What every relay surely has committed, on its disk."""
        return min(peer.confirmed_committed for peer in self.peers.values())

    def _is_of_this_epoch(self, sequence: int) -> bool:
        """Whether the entry at a sequence is of this epoch. Another publisher may still replace an entry of
        an earlier epoch that a majority has."""
        version = self.log.version_at(sequence)
        return version is not None and version.epoch == self.epoch

    def _replicated_by_quorum(self) -> int:
        """The newest sequence that a majority of all relays has, of those whose incarnation counts, or that
        all relays have in any incarnation."""
        by_all = min((peer.acknowledged if peer.incarnation else 0) for peer in self.peers.values())
        acknowledged = sorted(
            (
                peer.acknowledged
                for peer in self.peers.values()
                if self.log.incarnation_counts(peer.name, peer.incarnation)
            ),
            reverse=True,
        )
        quorum = majority(len(self.peers))
        return max(by_all, acknowledged[quorum - 1] if len(acknowledged) >= quorum else 0)

    def _report_in_force(self, now: int) -> None:
        if not self.change_requests.awaits_in_force():
            return
        found = self.propagation.current(now)
        if found is not None:
            self.change_requests.on_in_force(found.sequence, found.unreached, found.unreached_count)

    def _event(self, name: str, **fields: object) -> None:
        self._events.append(Event(f"distribution.{name}", {"region": self.region, **fields}))
