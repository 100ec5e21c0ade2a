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

MESSAGES_MOST = 8  # under way to one relay
WINDOW_BYTES = 256_000  # of entries under way to one relay, one message more at the most
FORMER_MOST = 64  # lives of one relay that are remembered as over
JITTER = 0.5  # part by which waits are longer by chance


class PublisherPace(Struct, frozen=True):
    """Times of a publisher, in microseconds."""

    heartbeat: int = 500_000  # between two messages to a relay
    retry: int = 300_000  # without an answer; doubles up to `retry_most`
    retry_most: int = 2_000_000
    answer_within: int = 10_000_000  # then an author hears `unconfirmed`
    silence: int = 5_000_000  # without progress from a relay; then it is unreached


class UnderWay(NamedTuple):
    """A message that is not answered: the version of its last entry, the bytes of its entries, and the
    committed sequence that it tells."""

    last: Version
    size: int
    told: int


class Peer:
    """One relay. `acked` is the newest sequence that its disk holds as the publisher's log does, in its
    present `life`."""

    def __init__(self, name: str, pace: PublisherPace, random: Random) -> None:
        self.name, self.pace, self.random = name, pace, random
        self.former: deque[int] = deque(maxlen=FORMER_MOST)  # lives that are over
        self.life = 0
        self.begin(0)

    def begin(self, now: int) -> None:
        """A new epoch: nothing is known but which lives are over."""
        self.prepared: Prepared | None = None
        self.acked = 0
        self.match = START  # where sending goes on after silence: the newest version it acknowledged
        self.sent = START  # the last entry sent, or where it goes on
        self.told = 0  # the committed sequence that the newest message tells
        self.complete = 0  # up to here the relay surely has committed all that the log holds, on its disk
        self.under_way: deque[UnderWay] = deque()
        self.careful, self.gap_at = True, -1
        self.wait = self.pace.retry
        self.timer_at = now

    def meets(self, life: int) -> bool:
        """Whether a message of this life is to be taken; a new one means that the relay may have forgotten
        what it acknowledged."""
        if life in self.former:
            return False
        if self.life not in (0, life):
            self.former.append(self.life)
            self.begin(0)
        self.life = life
        return True

    def distrust(self) -> None:
        """This life of the relay turned out to be over."""
        self.former.append(self.life)
        self.life = 0
        self.begin(0)

    # ---- answers -----------------------------------------------------------------------------------------

    def on_agreed(self, now: int, upto: int, log: Log) -> None:
        """The relay's disk agrees with the log up to a sequence."""
        while self.under_way and self.under_way[0].last.sequence <= upto:
            done = self.under_way.popleft()
            self.complete = max(self.complete, min(done.told, done.last.sequence))
            if done.last.sequence > self.match.sequence:
                self.match = done.last
        if upto > self.match.sequence:
            self.match = log.version_at(upto) or Version(0, upto)
        if self.sent.sequence < self.match.sequence:
            self.sent = self.match
        self.acked = max(self.acked, min(upto, log.last.sequence))
        self.careful, self.gap_at, self.wait = False, -1, self.pace.retry
        self._rest(now)

    def on_gap(self, now: int, upto: int) -> None:
        """The relay's log surely agrees up to `upto` alone; one answer for each message of a window."""
        if self.careful and self.under_way and self.gap_at == upto:
            return
        self.careful, self.gap_at = True, upto
        self.complete = upto
        self.match = Version(0, upto)
        self._go_back(self.match)
        self._rest(now)

    def start(self, now: int, end: Version) -> None:
        """Sending begins: behind what the relay has committed; where it is not known, the log's `end` is
        offered, and the relay answers."""
        if self.prepared is not None:
            self.complete = self.prepared.committed
            self.match = Version(0, self.complete)
            self._go_back(self.match)
            self._rest(now)
        else:
            self.match = self.sent = end
            self.timer_at = now

    # ---- messages ----------------------------------------------------------------------------------------

    def messages(self, now: int, region: str, epoch: int, log: Log) -> list[Append]:
        """What is to be sent now."""
        found = list[Append]()
        if now >= self.timer_at and self.under_way:
            self._give_up_waiting()
            found.append(self._probe(now, region, epoch, log))
        while self._has_room():
            changes, _ = log.after(self.sent.sequence)
            if not changes:
                break
            previous, self.sent = self.sent, changes[-1].version
            told, size = self._tell(log), sum(map(bytes_of, changes))
            self.under_way.append(UnderWay(self.sent, size, told))
            found.append(Append(region, epoch, previous, told, changes, log.settled))
            if len(self.under_way) == 1:
                self._rest(now)
        if not found and now >= self.timer_at:
            found.append(self._probe(now, region, epoch, log))
        elif not found and self.told < log.committed <= self.sent.sequence and not self.careful:
            found.append(self._empty(region, epoch, log))
        return found

    def _has_room(self) -> bool:
        if self.careful:
            return not self.under_way
        size = sum(message.size for message in self.under_way)
        return len(self.under_way) < MESSAGES_MOST and size < WINDOW_BYTES

    def _give_up_waiting(self) -> None:
        """No answer for a while: go on from where both surely agree, with one message at a time."""
        self.careful, self.gap_at = True, -1
        self._go_back(self.match)
        self.wait = min(2 * self.wait, self.pace.retry_most)

    def _probe(self, now: int, region: str, epoch: int, log: Log) -> Append:
        """An empty message: a heartbeat, or a question that is waited for."""
        message = self._empty(region, epoch, log)
        if self.careful:
            self.under_way.append(UnderWay(self.sent, 0, message.committed))
        self._rest(now)
        return message

    def _empty(self, region: str, epoch: int, log: Log) -> Append:
        return Append(region, epoch, self.sent, self._tell(log), [], log.settled)

    def _tell(self, log: Log) -> int:
        """Behind the log's committed part, entries may be left out: it is told once it has all of them."""
        if self.sent.sequence >= log.committed:
            self.told = log.committed
        return self.told

    def _go_back(self, to: Version) -> None:
        self.under_way.clear()
        self.sent = to
        self.told = self.complete

    def _rest(self, now: int) -> None:
        """Until when nothing happens by itself: an answer is waited for, or a heartbeat is due."""
        wait = self.wait if self.under_way else self.pace.heartbeat
        self.timer_at = now + round(wait * (1 + JITTER * self.random.random()))
