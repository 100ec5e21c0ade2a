"""How a new publisher reads its region's log before it writes: promises first, then the newest log.

Decides without I/O. It must never begin with less than a majority of members' promises, or the promises of
all relays of the region, and never with the promise of a relay's life that the log shows to be over.
"""

from __future__ import annotations

from random import Random

from linenbridge.distribution.changes import intact
from linenbridge.distribution.decisions import Send
from linenbridge.distribution.log.region_log import Log
from linenbridge.distribution.messages import Fetch, Fetched, Prepare, Prepared
from linenbridge.distribution.log.replication import JITTER, Peer, PublisherTiming

MAX_UNANSWERED_FETCHES = 5  # unanswered ones to one relay, then another is read


def majority(relays: int) -> int:
    """How many of a region's relays are a majority."""
    return relays // 2 + 1


class LogRecovery:
    """One epoch's reading into `log`, which holds what this publisher knew as committed before; `done` once
    it holds all that may have been committed."""

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
        self.region, self.epoch, self.peers, self.log = region, epoch, peers, log
        self.timing, self.random = timing, random
        self.done = False
        self._quorum: list[Peer] = []
        self._source: Peer | None = None
        self._fetches = 0
        self._fetch_at = now
        self._prepare_at = now
        log.truncate(log.committed)

    def on_prepared(self, now: int, message: Prepared) -> None:
        """A relay's promise."""
        peer = self.peers[message.relay]
        before = peer.incarnation
        if not peer.accepts_incarnation(message.incarnation):
            return
        if before not in (0, message.incarnation):
            self._restart_recovery()
        peer.prepared = message
        if self._source is None:
            self._choose_source(now)

    def on_fetched(self, now: int, message: Fetched) -> None:
        """A page of the log that is read."""
        awaited = self._source is not None and message.relay == self._source.name
        if not awaited or message.after != self.log.last.sequence:
            return
        if not all(intact(change) for change in message.changes):
            self._abandon_source()
            return
        for change in message.changes:
            self.log.append(change)
        self._fetches, self._fetch_at = 0, now
        if not message.more:
            self._finish(now)

    def sends(self, now: int) -> list[Send]:
        """What is due: promises that are missing are asked for again and again."""
        found = list[Send]()
        if now >= self._prepare_at:
            self._prepare_at = now + self._wait()
            missing = [peer.name for peer in self.peers.values() if peer.prepared is None]
            found += [Send(name, Prepare(self.region, self.epoch)) for name in missing]
        if self._source is not None and now >= self._fetch_at:
            found += self._fetch(now)
        return found

    def wake_at(self) -> int:
        return min(self._prepare_at, self._fetch_at) if self._source is not None else self._prepare_at

    def _wait(self) -> int:
        return round(self.timing.retry * (1 + JITTER * self.random.random()))

    def _choose_source(self, now: int) -> None:
        """Read the newest log, once enough relays have promised."""
        promised = [peer for peer in self.peers.values() if peer.prepared is not None]
        members = [peer for peer in promised if peer.prepared.member]
        if len(members) >= majority(len(self.peers)):
            self._quorum = members
        elif len(promised) == len(self.peers):
            self._quorum = promised
        else:
            return
        newest = max(self._quorum, key=lambda peer: peer.prepared.last)
        if self.log.committed < self._purged_up_to():
            self.log.forget()  # what was known here may have been deleted since
        if newest.prepared.last.sequence <= self.log.committed:
            self._finish(now)
            return
        self._source, self._fetches, self._fetch_at = newest, 0, now

    def _fetch(self, now: int) -> list[Send]:
        if self._fetches >= MAX_UNANSWERED_FETCHES:
            self._abandon_source()
            return []
        self._fetches += 1
        self._fetch_at = now + self._wait()
        return [Send(self._source.name, Fetch(self.region, self.epoch, self.log.last.sequence))]

    def _abandon_source(self) -> None:
        """The relay that was read does not answer: its promise has to be given anew."""
        self._source.prepared = None
        self._restart_recovery()

    def _restart_recovery(self) -> None:
        self._source, self._quorum = None, []
        self.log.truncate(self.log.committed)

    def _finish(self, now: int) -> None:
        """The log is read; promises of lives that it shows to be over do not count."""
        over = [peer for peer in self._quorum if self._is_retired(peer)]
        for peer in over:
            peer.retire_incarnation()
        if over:
            self._restart_recovery()
            return
        self.log.commit(max(peer.prepared.committed for peer in self._quorum))
        self.log.purge_tombstones(self._purged_up_to())
        self._source, self.done = None, True

    def _purged_up_to(self) -> int:
        return max(peer.prepared.purged_up_to for peer in self._quorum)

    def _is_retired(self, peer: Peer) -> bool:
        found = self.log.incarnations.get(peer.name)
        return peer.prepared.member and (found is None or found.number != peer.incarnation)
