"""The publisher of a region: it first recovers the log from the region's relays, then appends changes in
order.

A state machine without I/O. The publisher's epoch is the term of a lease, which the host passes in before
each call of `next_decision`; without the lease, the publisher sends nothing to relays. A change is committed
once a majority of the region's relays, or all of them, have it on disk together with an entry of this epoch
(docs/distribution.md, "The log").
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

MAX_UNCOMMITTED_ENTRIES = 256  # in the log; further changes wait in the queue
MAX_NAME_BYTES = 4 * MAX_NAME_CHARACTERS  # of a key's name in UTF-8

Check = Callable[[int, str, bytes], str]  # returns what is wrong with a kind, name and value, or ""


class Publisher:
    """One candidate for a region's publisher.

    `relays` names the relays of the region, and `check` validates a value. `epoch` is the newest epoch for
    which this candidate held the lease. `deposed` is set once a relay has promised an epoch to a successor.
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
        """Whether the publisher appends changes: it holds the lease and the log is recovered."""
        return self._active and self.recovery is None

    @property
    def _active(self) -> bool:
        """Whether the publisher may send messages to relays."""
        return self.holds_lease and not self.deposed

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_term(self, now: int, term: int | None) -> None:
        """Set the lease's term at this moment; None if the lease is not held."""
        if term is not None and term > self.epoch:
            self._start_epoch(now, term)
        holds_lease = term is not None and term == self.epoch
        if self.holds_lease and not holds_lease:
            self._stop("lease_lost")
        self.holds_lease = holds_lease

    def on_prepared(self, now: int, message: Prepared) -> None:
        """Handle a relay's promise, or its rejection of this epoch."""
        if not self._concerns(message.region, message.relay):
            return
        if message.code:
            self._on_epoch_rejected(message.relay, message.epoch)
        elif message.epoch == self.epoch and self.recovery is not None:
            self.recovery.on_prepared(now, message)
            self._finish_recovery(now)

    def on_fetched(self, now: int, message: Fetched) -> None:
        """Handle a page of the log during recovery."""
        concerns = self._concerns(message.region, message.relay)
        if concerns and message.epoch == self.epoch and self.recovery is not None:
            self.recovery.on_fetched(now, message)
            self._finish_recovery(now)

    def on_appended(self, now: int, message: Appended) -> None:
        """Handle a relay's response to an append."""
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
        """Queue a client's change, or reject it at once if it is invalid."""
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
        """Record a relay's report on the progress of all followers below it."""
        if relay in self.peers:
            self.propagation.on_progress(now, relay, message)

    # ---- decisions ---------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> Decision | None:
        """Return the next event, response to a client or message to a relay, or None.

        The host calls `on_term` before each call.
        """
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
        """Return the time, in microseconds, at which `next_decision` is due without another input."""
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
        """Start a new epoch with the recovery of the log."""
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
        """Stop sending to relays, and respond to all pending requests of change clients."""
        if self.holds_lease:
            self._event("stopped", epoch=self.epoch, why=reason)
        self._sends.clear()
        self.change_requests.on_lease_lost()

    def _on_epoch_rejected(self, relay: str, epoch: int) -> None:
        """Stop publishing: a relay has promised a newer epoch, or has promised this epoch to another
        publisher."""
        if epoch < self.epoch or self.deposed or not self.holds_lease:
            return
        self._stop("replaced")
        self.deposed = True
        self._event("replaced", epoch=self.epoch, by=epoch, relay=relay, do=OlderEpoch.advice)

    # ---- appending ---------------------------------------------------------------------------------------

    def _rejection_reason(self, message: Publish) -> str:
        """Return what is wrong with a change, or "" if it is valid."""
        if message.kind not in Kind.__members__.values() or message.kind == Kind.LOG:
            return f"unknown kind {message.kind}; 1 (routes) to 4 (zone) are allowed"
        length = len(message.name)
        if not 0 < length <= MAX_NAME_CHARACTERS or len(message.name.encode()) > MAX_NAME_BYTES:
            return f"the name has {length} characters; 1 to {MAX_NAME_CHARACTERS} are allowed"
        if len(message.value) > MAX_VALUE_BYTES:
            return f"the value has {len(message.value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
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
        """Append an entry for each new incarnation of a relay. Once the entry is committed, a relay that may
        have lost entries counts towards majorities again."""
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
        """Commit the entries that enough relays have, if the newest of them is of this epoch.

        A relay's incarnation counts once the entry that names it is committed, so the relays are counted
        again after each commit.
        """
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
        """Return the newest sequence that every relay is known to have committed on its disk."""
        return min(peer.confirmed_committed for peer in self.peers.values())

    def _is_of_this_epoch(self, sequence: int) -> bool:
        """Return whether the entry at a sequence is of this epoch. An entry of an earlier epoch is not
        committed by its own majority, because another publisher may still replace it."""
        version = self.log.version_at(sequence)
        return version is not None and version.epoch == self.epoch

    def _replicated_by_quorum(self) -> int:
        """Return the newest sequence that is on the disks of a quorum. A quorum is a majority of all relays,
        made up of relays whose incarnation counts, or all relays in any known incarnation."""
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
