"""What a publisher knows of one relay of its region, and what it sends it next.

Keeps state without I/O. Appends are pipelined within a window while the relay takes them. After a gap or
without an answer one message at a time is under way: an empty one after silence, so that a dead relay costs
a few bytes. It must never tell a relay that an entry is committed before the relay has everything that
the log holds up to there.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple

from msgspec import Struct

from linenbridge.distribution.changes import START, Version
from linenbridge.distribution.log.region_log import Log, bytes_of
from linenbridge.distribution.messages import Append, Prepared

MAX_MESSAGES_IN_FLIGHT = 8  # under way to one relay
MAX_WINDOW_BYTES = 256_000  # of entries under way to one relay, one message more at the most
MAX_FORMER_INCARNATIONS = 64  # lives of one relay that are remembered as over
JITTER = 0.5  # part by which waits are longer by chance


class PublisherTiming(Struct, frozen=True):
    """Times of a publisher, in microseconds."""

    heartbeat: int = 500_000  # between two messages to a relay
    retry: int = 300_000  # without an answer; doubles up to `max_retry`
    max_retry: int = 2_000_000
    answer_within: int = 10_000_000  # then an author hears `unconfirmed`
    silence: int = 5_000_000  # without progress from a relay; then it is unreached


class InFlightMessage(NamedTuple):
    """A message that is not answered: the version of its last entry, the bytes of its entries, and the
    committed sequence that it tells."""

    last: Version
    size: int
    announced_committed: int


class Peer:
    """One relay. `acknowledged` is the newest sequence that its disk holds as the publisher's log does, in
    its present `incarnation`."""

    def __init__(self, name: str, timing: PublisherTiming, random: Random) -> None:
        self.name, self.timing, self.random = name, timing, random
        self.former_incarnations: deque[int] = deque(maxlen=MAX_FORMER_INCARNATIONS)  # lives that are over
        self.incarnation = 0
        self.begin(0)

    def begin(self, now: int) -> None:
        """A new epoch: nothing is known but which lives are over."""
        self.prepared: Prepared | None = None
        self.acknowledged = 0
        self.matched = START  # where sending goes on after silence: the newest version it acknowledged
        self.sent = START  # the last entry sent, or where it goes on
        self.announced_committed = 0  # the committed sequence that the newest message tells
        self.confirmed_committed = (
            0  # up to here the relay surely has committed all that the log holds, on its disk
        )
        self.in_flight: deque[InFlightMessage] = deque()
        self.probing, self.last_gap = True, -1
        self.wait = self.timing.retry
        self.timer_at = now

    def accepts_incarnation(self, incarnation: int) -> bool:
        """Whether a message of this life is to be taken; a new one means that the relay may have forgotten
        what it acknowledged."""
        if incarnation in self.former_incarnations:
            return False
        if self.incarnation not in (0, incarnation):
            self.former_incarnations.append(self.incarnation)
            self.begin(0)
        self.incarnation = incarnation
        return True

    def retire_incarnation(self) -> None:
        """This life of the relay turned out to be over."""
        self.former_incarnations.append(self.incarnation)
        self.incarnation = 0
        self.begin(0)

    # ---- answers -----------------------------------------------------------------------------------------

    def on_agreed(self, now: int, upto: int, log: Log) -> None:
        """The relay's disk agrees with the log up to a sequence."""
        while self.in_flight and self.in_flight[0].last.sequence <= upto:
            done = self.in_flight.popleft()
            self.confirmed_committed = max(
                self.confirmed_committed, min(done.announced_committed, done.last.sequence)
            )
            if done.last.sequence > self.matched.sequence:
                self.matched = done.last
        if upto > self.matched.sequence:
            self.matched = log.version_at(upto) or Version(0, upto)
        if self.sent.sequence < self.matched.sequence:
            self.sent = self.matched
        self.acknowledged = max(self.acknowledged, min(upto, log.last.sequence))
        self.probing, self.last_gap, self.wait = False, -1, self.timing.retry
        self._schedule(now)

    def on_gap(self, now: int, upto: int) -> None:
        """The relay's log surely agrees up to `upto` alone; one answer for each message of a window."""
        if self.probing and self.in_flight and self.last_gap == upto:
            return
        self.probing, self.last_gap = True, upto
        self.confirmed_committed = upto
        self.matched = Version(0, upto)
        self._rewind(self.matched)
        self._schedule(now)

    def start(self, now: int, end: Version) -> None:
        """Sending begins: behind what the relay has committed; where it is not known, the log's `end` is
        offered, and the relay answers."""
        if self.prepared is not None:
            self.confirmed_committed = self.prepared.committed
            self.matched = Version(0, self.confirmed_committed)
            self._rewind(self.matched)
            self._schedule(now)
        else:
            self.matched = self.sent = end
            self.timer_at = now

    # ---- messages ----------------------------------------------------------------------------------------

    def messages(self, now: int, region: str, epoch: int, log: Log) -> list[Append]:
        """What is to be sent now."""
        found = list[Append]()
        if now >= self.timer_at and self.in_flight:
            self._on_timeout()
            found.append(self._probe(now, region, epoch, log))
        while self._window_is_open():
            changes, _ = log.after(self.sent.sequence)
            if not changes:
                break
            previous, self.sent = self.sent, changes[-1].version
            announced_committed, size = self._announce_committed(log), sum(map(bytes_of, changes))
            self.in_flight.append(InFlightMessage(self.sent, size, announced_committed))
            found.append(Append(region, epoch, previous, announced_committed, changes, log.purged_up_to))
            if len(self.in_flight) == 1:
                self._schedule(now)
        if not found and now >= self.timer_at:
            found.append(self._probe(now, region, epoch, log))
        elif (
            not found and self.announced_committed < log.committed <= self.sent.sequence and not self.probing
        ):
            found.append(self._empty(region, epoch, log))
        return found

    def _window_is_open(self) -> bool:
        if self.probing:
            return not self.in_flight
        size = sum(message.size for message in self.in_flight)
        return len(self.in_flight) < MAX_MESSAGES_IN_FLIGHT and size < MAX_WINDOW_BYTES

    def _on_timeout(self) -> None:
        """No answer for a while: go on from where both surely agree, with one message at a time."""
        self.probing, self.last_gap = True, -1
        self._rewind(self.matched)
        self.wait = min(2 * self.wait, self.timing.max_retry)

    def _probe(self, now: int, region: str, epoch: int, log: Log) -> Append:
        """An empty message: a heartbeat, or a question that is waited for."""
        message = self._empty(region, epoch, log)
        if self.probing:
            self.in_flight.append(InFlightMessage(self.sent, 0, message.committed))
        self._schedule(now)
        return message

    def _empty(self, region: str, epoch: int, log: Log) -> Append:
        return Append(region, epoch, self.sent, self._announce_committed(log), [], log.purged_up_to)

    def _announce_committed(self, log: Log) -> int:
        """Behind the log's committed part, entries may be left out: it is told once it has all of them."""
        if self.sent.sequence >= log.committed:
            self.announced_committed = log.committed
        return self.announced_committed

    def _rewind(self, to: Version) -> None:
        self.in_flight.clear()
        self.sent = to
        self.announced_committed = self.confirmed_committed

    def _schedule(self, now: int) -> None:
        """Until when nothing happens by itself: an answer is waited for, or a heartbeat is due."""
        wait = self.wait if self.in_flight else self.timing.heartbeat
        self.timer_at = now + round(wait * (1 + JITTER * self.random.random()))
