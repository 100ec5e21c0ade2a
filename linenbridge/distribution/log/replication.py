"""Replication to one relay: the relay's state as the publisher knows it, and the next messages to the relay.

A state machine without I/O. Appends are pipelined within a window while the relay accepts them. After a gap
or a timeout the publisher probes: one message at a time is in flight, and after a timeout it is an empty one,
so that a dead relay costs few bytes. A committed sequence is announced to a relay only after all entries that
the log holds up to that sequence were sent to it.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple

from msgspec import Struct

from linenbridge.distribution.changes import START, Version
from linenbridge.distribution.log.region_log import Log, max_bytes_of
from linenbridge.distribution.messages import Append, Prepared

MAX_MESSAGES_IN_FLIGHT = 8  # to one relay
MAX_WINDOW_BYTES = 256_000  # of entries in flight to one relay; the last message may exceed it
MAX_FORMER_INCARNATIONS = 64  # of one relay that are stored as retired
JITTER = 0.5  # largest random addition to a delay, as a fraction of the delay
NO_GAP = -1  # value of `last_gap` if the relay has reported no gap


class PublisherTiming(Struct, frozen=True):
    """Times of a publisher, in microseconds."""

    heartbeat: int = 500_000  # longest time between two messages to a relay
    retry: int = 300_000  # first wait for a response; doubles up to `max_retry`
    max_retry: int = 2_000_000
    answer_within: int = 10_000_000  # deadline of a change; its client then gets `unconfirmed`
    silence: int = 5_000_000  # a relay without a progress report for this long is unreached


class InFlightMessage(NamedTuple):
    """A message that has no response yet.

    `last` is the version of its last entry, `size` the bytes of its entries, and `announced_committed` the
    committed sequence that it announces.
    """

    last: Version
    size: int
    announced_committed: int


class Peer:
    """Replication state of one relay.

    `incarnation` is the relay's current incarnation, 0 while it is unknown. `acknowledged` is the newest
    sequence up to which the relay's disk agrees with the publisher's log. `timer_at` is the time, in
    microseconds, at which the next message to the relay is due without another input.
    """

    def __init__(self, name: str, timing: PublisherTiming, random: Random) -> None:
        self.name = name
        self.timing = timing
        self.random = random
        self.former_incarnations: deque[int] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self.incarnation = 0
        self.start_epoch(0)

    def start_epoch(self, now: int) -> None:
        """Reset all state except the incarnations."""
        self.prepared: Prepared | None = None
        self.acknowledged = 0
        self.matched = START  # the newest version that it acknowledged; sending resumes after it
        self.sent = START  # the last entry sent, or the entry after which sending resumes
        self.announced_committed = 0  # the committed sequence in the newest message
        self.confirmed_committed = (
            0  # up to here the relay is known to have committed, on its disk, all entries of the log
        )
        self.in_flight: deque[InFlightMessage] = deque()
        self.probing = True
        self.last_gap = NO_GAP
        self.retry_delay = self.timing.retry
        self.timer_at = now

    @property
    def promise(self) -> Prepared:
        """The relay's promise of this epoch. Raises RuntimeError if the relay has not promised it."""
        if self.prepared is None:
            raise RuntimeError(f"relay {self.name} has not promised this epoch")
        return self.prepared

    def accepts_incarnation(self, incarnation: int) -> bool:
        """Return whether to handle a message of this incarnation.

        A new incarnation resets the state, because the relay may have lost entries that it acknowledged.
        Messages of earlier incarnations are ignored.
        """
        if incarnation in self.former_incarnations:
            return False
        if self.incarnation not in (0, incarnation):
            self.former_incarnations.append(self.incarnation)
            self.start_epoch(0)
        self.incarnation = incarnation
        return True

    def retire_incarnation(self) -> None:
        """Retire the relay's current incarnation, because the recovered log names another one."""
        self.former_incarnations.append(self.incarnation)
        self.incarnation = 0
        self.start_epoch(0)

    # ---- responses ---------------------------------------------------------------------------------------

    def on_agreed(self, now: int, upto: int, log: Log) -> None:
        """Handle a response that the relay's disk agrees with the log up to the sequence `upto`."""
        while self.in_flight and self.in_flight[0].last.sequence <= upto:
            message = self.in_flight.popleft()
            confirmed = min(message.announced_committed, message.last.sequence)
            self.confirmed_committed = max(self.confirmed_committed, confirmed)
            if message.last.sequence > self.matched.sequence:
                self.matched = message.last
        if upto > self.matched.sequence:
            self.matched = log.version_at(upto) or Version(0, upto)
        if self.sent.sequence < self.matched.sequence:
            self.sent = self.matched
        self.acknowledged = max(self.acknowledged, min(upto, log.last.sequence))
        self.probing = False
        self.last_gap = NO_GAP
        self.retry_delay = self.timing.retry
        self._schedule(now)

    def on_gap(self, now: int, upto: int) -> None:
        """Handle a response that the relay's log is known to agree only up to the sequence `upto`.

        Each message of a window gets this response; only the first one has an effect.
        """
        if self.probing and self.in_flight and self.last_gap == upto:
            return
        self.probing = True
        self.last_gap = upto
        self._resume_from_committed(now, upto)

    def start_sending(self, now: int, end: Version) -> None:
        """Start sending after the relay's committed sequence. If that is unknown, probe at the log's `end`;
        the relay's response then names the sequence to resume after."""
        if self.prepared is not None:
            self._resume_from_committed(now, self.prepared.committed)
        else:
            self.matched = end
            self.sent = end
            self.timer_at = now

    # ---- messages ----------------------------------------------------------------------------------------

    def messages(self, now: int, region: str, epoch: int, log: Log) -> list[Append]:
        """Return the messages that are due."""
        due = list[Append]()
        if now >= self.timer_at and self.in_flight:
            self._on_timeout()
            due.append(self._probe(now, region, epoch, log))
        while self._window_is_open():
            changes = log.page_after(self.sent.sequence).changes
            if not changes:
                break
            previous = self.sent
            self.sent = changes[-1].version
            announced = self._announce_committed(log)
            size = sum(map(max_bytes_of, changes))
            self.in_flight.append(InFlightMessage(self.sent, size, announced))
            due.append(Append(region, epoch, previous, announced, changes, log.purged_up_to))
            if len(self.in_flight) == 1:
                self._schedule(now)
        if not due and now >= self.timer_at:
            due.append(self._probe(now, region, epoch, log))
        elif not due and self.announced_committed < log.committed <= self.sent.sequence and not self.probing:
            due.append(self._empty(region, epoch, log))
        return due

    def _window_is_open(self) -> bool:
        if self.probing:
            return not self.in_flight
        size = sum(message.size for message in self.in_flight)
        return len(self.in_flight) < MAX_MESSAGES_IN_FLIGHT and size < MAX_WINDOW_BYTES

    def _on_timeout(self) -> None:
        """Resume from where both logs are known to agree, with one message at a time."""
        self.probing = True
        self.last_gap = NO_GAP
        self._rewind(self.matched)
        self.retry_delay = min(2 * self.retry_delay, self.timing.max_retry)

    def _probe(self, now: int, region: str, epoch: int, log: Log) -> Append:
        """Return an empty message: a heartbeat, or a probe that is in flight until its response."""
        message = self._empty(region, epoch, log)
        if self.probing:
            self.in_flight.append(InFlightMessage(self.sent, 0, message.committed))
        self._schedule(now)
        return message

    def _empty(self, region: str, epoch: int, log: Log) -> Append:
        return Append(region, epoch, self.sent, self._announce_committed(log), [], log.purged_up_to)

    def _announce_committed(self, log: Log) -> int:
        """Return the committed sequence for the next message. The log has no superseded entries in its
        committed part, so the relay gets the new sequence only after all other entries were sent."""
        if self.sent.sequence >= log.committed:
            self.announced_committed = log.committed
        return self.announced_committed

    def _resume_from_committed(self, now: int, sequence: int) -> None:
        """Resume after `sequence`, up to which the relay has committed the log."""
        self.confirmed_committed = sequence
        self.matched = Version(0, sequence)
        self._rewind(self.matched)
        self._schedule(now)

    def _rewind(self, to: Version) -> None:
        self.in_flight.clear()
        self.sent = to
        self.announced_committed = self.confirmed_committed

    def _schedule(self, now: int) -> None:
        """Set the timer to the time at which a response is overdue, or to the next heartbeat."""
        delay = self.retry_delay if self.in_flight else self.timing.heartbeat
        self.timer_at = now + round(delay * (1 + JITTER * self.random.random()))
