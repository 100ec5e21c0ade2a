"""Replication to one relay: what the publisher knows of the relay, and what it sends it next.

Keeps state without I/O. Appends are pipelined within a window while the relay accepts them. After a gap or a
timeout the publisher probes: one message at a time is in flight, an empty one after silence, so that a dead
relay costs a few bytes. A relay gets a committed sequence only once it has everything that the log holds up
to there.
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
MAX_WINDOW_BYTES = 256_000  # of entries in flight to one relay; one more message may exceed it
MAX_FORMER_INCARNATIONS = 64  # of one relay that are remembered as retired
JITTER = 0.5  # part by which waits are longer at random
NO_GAP = -1  # no gap was reported


class PublisherTiming(Struct, frozen=True):
    """Times of a publisher, in microseconds."""

    heartbeat: int = 500_000  # between two messages to a relay
    retry: int = 300_000  # without a response; doubles up to `max_retry`
    max_retry: int = 2_000_000
    answer_within: int = 10_000_000  # then a change client gets `unconfirmed`
    silence: int = 5_000_000  # without progress from a relay; then it is unreached


class InFlightMessage(NamedTuple):
    """A message without a response: the version of its last entry, the bytes of its entries, and the
    committed sequence that it announces."""

    last: Version
    size: int
    announced_committed: int


class Peer:
    """One relay.

    `incarnation` is the relay's present one, 0 while it is unknown. `acknowledged` is the newest sequence
    that its disk holds as the publisher's log does. `timer_at` is when it is due again, in microseconds.
    """

    def __init__(self, name: str, timing: PublisherTiming, random: Random) -> None:
        self.name = name
        self.timing = timing
        self.random = random
        self.former_incarnations: deque[int] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self.incarnation = 0
        self.start_epoch(0)

    def start_epoch(self, now: int) -> None:
        """Forget everything but the retired incarnations."""
        self.prepared: Prepared | None = None
        self.acknowledged = 0
        self.matched = START  # the newest version that it acknowledged: sending goes on there after silence
        self.sent = START  # the last entry sent, or where sending goes on
        self.announced_committed = 0  # the committed sequence in the newest message
        self.confirmed_committed = (
            0  # up to here it surely has committed, on its disk, all that the log holds
        )
        self.in_flight: deque[InFlightMessage] = deque()
        self.probing = True
        self.last_gap = NO_GAP
        self.retry_delay = self.timing.retry
        self.timer_at = now

    @property
    def promise(self) -> Prepared:
        """The relay's promise of this epoch. RuntimeError where it has given none."""
        if self.prepared is None:
            raise RuntimeError(f"{self.name} has not promised this epoch")
        return self.prepared

    def accepts_incarnation(self, incarnation: int) -> bool:
        """Whether a message of this incarnation counts. A new one means that the relay may have lost what it
        acknowledged."""
        if incarnation in self.former_incarnations:
            return False
        if self.incarnation not in (0, incarnation):
            self.former_incarnations.append(self.incarnation)
            self.start_epoch(0)
        self.incarnation = incarnation
        return True

    def retire_incarnation(self) -> None:
        """The recovered log shows that this incarnation of the relay is retired."""
        self.former_incarnations.append(self.incarnation)
        self.incarnation = 0
        self.start_epoch(0)

    # ---- responses ---------------------------------------------------------------------------------------

    def on_agreed(self, now: int, upto: int, log: Log) -> None:
        """The relay's disk agrees with the log up to a sequence."""
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
        """The relay's log surely agrees up to `upto` alone. Each message of a window gets this response."""
        if self.probing and self.in_flight and self.last_gap == upto:
            return
        self.probing = True
        self.last_gap = upto
        self._resume_from_committed(now, upto)

    def start_sending(self, now: int, end: Version) -> None:
        """Start behind what the relay has committed; where that is unknown, offer the log's `end`, and the
        relay's response says where to go on."""
        if self.prepared is not None:
            self._resume_from_committed(now, self.prepared.committed)
        else:
            self.matched = end
            self.sent = end
            self.timer_at = now

    # ---- messages ----------------------------------------------------------------------------------------

    def messages(self, now: int, region: str, epoch: int, log: Log) -> list[Append]:
        """The messages that are due."""
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
        """Without a response: go on from where both logs surely agree, with one message at a time."""
        self.probing = True
        self.last_gap = NO_GAP
        self._rewind(self.matched)
        self.retry_delay = min(2 * self.retry_delay, self.timing.max_retry)

    def _probe(self, now: int, region: str, epoch: int, log: Log) -> Append:
        """An empty message: a heartbeat, or a probe whose response is awaited."""
        message = self._empty(region, epoch, log)
        if self.probing:
            self.in_flight.append(InFlightMessage(self.sent, 0, message.committed))
        self._schedule(now)
        return message

    def _empty(self, region: str, epoch: int, log: Log) -> Append:
        return Append(region, epoch, self.sent, self._announce_committed(log), [], log.purged_up_to)

    def _announce_committed(self, log: Log) -> int:
        """The committed sequence for the next message. Superseded entries are left out of the log's committed
        part, so the relay gets the new sequence once it has all the others."""
        if self.sent.sequence >= log.committed:
            self.announced_committed = log.committed
        return self.announced_committed

    def _resume_from_committed(self, now: int, sequence: int) -> None:
        """The relay has committed up to `sequence`: send what lies behind it."""
        self.confirmed_committed = sequence
        self.matched = Version(0, sequence)
        self._rewind(self.matched)
        self._schedule(now)

    def _rewind(self, to: Version) -> None:
        self.in_flight.clear()
        self.sent = to
        self.announced_committed = self.confirmed_committed

    def _schedule(self, now: int) -> None:
        """Set the timer: until a response is overdue, or until the next heartbeat."""
        delay = self.retry_delay if self.in_flight else self.timing.heartbeat
        self.timer_at = now + round(delay * (1 + JITTER * self.random.random()))
