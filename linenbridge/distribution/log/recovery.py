"""Recovery of a region's log by a new publisher, before it appends: it collects promises, then reads the
newest log.

A state machine without I/O. A recovery requires promises from members that are a majority of the region's
relays, or from all relays. The promise of an incarnation that the recovered log shows to be retired does not
count.
"""

from __future__ import annotations

from random import Random

from linenbridge.distribution.changes import intact
from linenbridge.distribution.decisions import Send
from linenbridge.distribution.log.region_log import Log
from linenbridge.distribution.log.replication import JITTER, Peer, PublisherTiming
from linenbridge.distribution.messages import Fetch, Fetched, Prepare, Prepared

MAX_UNANSWERED_FETCHES = 5  # to one relay; its promise is then discarded


def majority(relay_count: int) -> int:
    """Return the number of relays that is a majority of `relay_count`."""
    return relay_count // 2 + 1


class LogRecovery:
    """The recovery of one epoch into `log`, which starts from the entries that this publisher knew as
    committed.

    `done` is set once the log holds all entries that may have been committed.
    """

    def __init__(
        self,
        region: str,
        epoch: int,
        peers: dict[str, Peer],
        log: Log,
        timing: PublisherTiming,
        random: Random,
        now: int,
    ) -> None:
        self.region = region
        self.epoch = epoch
        self.peers = peers
        self.log = log
        self.timing = timing
        self.random = random
        self.done = False
        self._quorum: list[Peer] = []
        self._source: Peer | None = None
        self._unanswered_fetches = 0
        self._fetch_at = now
        self._prepare_at = now
        log.truncate(log.committed)

    def on_prepared(self, now: int, message: Prepared) -> None:
        """Handle a relay's promise."""
        peer = self.peers[message.relay]
        incarnation_before = peer.incarnation
        if not peer.accepts_incarnation(message.incarnation):
            return
        if incarnation_before not in (0, message.incarnation):
            self._restart_recovery()
        peer.prepared = message
        if self._source is None:
            self._choose_source(now)

    def on_fetched(self, now: int, message: Fetched) -> None:
        """Append a page of the log that is being read; any other page is ignored."""
        awaited = self._source is not None and message.relay == self._source.name
        if not awaited or message.after != self.log.last.sequence:
            return
        if not all(intact(change) for change in message.changes):
            self._abandon_source()
            return
        for change in message.changes:
            self.log.append(change)
        self._unanswered_fetches = 0
        self._fetch_at = now
        if not message.more:
            self._finish()

    def messages(self, now: int) -> list[Send]:
        """Return the messages that are due. Requests for missing promises are repeated."""
        due = list[Send]()
        if now >= self._prepare_at:
            self._prepare_at = now + self._retry_delay()
            missing = [peer.name for peer in self.peers.values() if peer.prepared is None]
            due += [Send(name, Prepare(self.region, self.epoch)) for name in missing]
        if self._source is not None and now >= self._fetch_at:
            due += self._fetch(now, self._source)
        return due

    def wake_at(self) -> int:
        """Return the time at which the next message is due, in microseconds."""
        return min(self._prepare_at, self._fetch_at) if self._source is not None else self._prepare_at

    def _retry_delay(self) -> int:
        return round(self.timing.retry * (1 + JITTER * self.random.random()))

    def _choose_source(self, now: int) -> None:
        """Start to read the newest log once enough relays have promised."""
        promised = [peer for peer in self.peers.values() if peer.prepared is not None]
        members = [peer for peer in promised if peer.promise.member]
        if len(members) >= majority(len(self.peers)):
            self._quorum = members
        elif len(promised) == len(self.peers):
            self._quorum = promised
        else:
            return
        newest = max(self._quorum, key=lambda peer: peer.promise.last)
        if self.log.committed < self._purged_up_to():
            self.log.clear()  # its keys may have been deleted since, and the tombstones purged
        if newest.promise.last.sequence <= self.log.committed:
            self._finish()
            return
        self._source = newest
        self._unanswered_fetches = 0
        self._fetch_at = now

    def _fetch(self, now: int, source: Peer) -> list[Send]:
        if self._unanswered_fetches >= MAX_UNANSWERED_FETCHES:
            self._abandon_source()
            return []
        self._unanswered_fetches += 1
        self._fetch_at = now + self._retry_delay()
        return [Send(source.name, Fetch(self.region, self.epoch, self.log.last.sequence))]

    def _abandon_source(self) -> None:
        """Discard the promise of the relay whose log is read, and restart the recovery: the relay does not
        respond, or sent an entry with a wrong checksum."""
        if self._source is not None:
            self._source.prepared = None
        self._restart_recovery()

    def _restart_recovery(self) -> None:
        self._source = None
        self._quorum = []
        self.log.truncate(self.log.committed)

    def _finish(self) -> None:
        """Complete the recovery, or restart it if the log shows that an incarnation of the quorum is
        retired."""
        retired = [peer for peer in self._quorum if self._is_retired(peer)]
        for peer in retired:
            peer.retire_incarnation()
        if retired:
            self._restart_recovery()
            return
        self.log.commit(max(peer.promise.committed for peer in self._quorum))
        self.log.purge_tombstones(self._purged_up_to())
        self._source = None
        self.done = True

    def _purged_up_to(self) -> int:
        return max(peer.promise.purged_up_to for peer in self._quorum)

    def _is_retired(self, peer: Peer) -> bool:
        record = self.log.incarnations.get(peer.name)
        return peer.promise.member and (record is None or record.number != peer.incarnation)
