"""Others' counts: the platform's tallies and flags, peers' words, and what this gateway tells its peers.

Decides without I/O. For gateways with too few outcomes of their own; it must never count an outcome twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil

from linenbridge.policy.change_detection import LEAST_THRESHOLD
from linenbridge.policy.rollout_votes import Votes
from linenbridge.decisions import Gossip
from linenbridge.interface import RolloutPhase, SECOND, Id, Startup
from linenbridge.state.counters import Counts
from linenbridge.state.peers import Heard, HeardBounds, pack

TELL_EVERY, PEERS, BUILDS_HEARD, LIVES_HEARD = 1 * SECOND, 8, 4, 16


class Telling(Votes):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.token, self.tell_at = self.random.randrange(1 << 16), now
        bounds = HeardBounds(max(PEERS, self.allow.gateway_count), BUILDS_HEARD, LIVES_HEARD)
        self.heard = Heard(len(self.methods), bounds)

    def on_tally(
        self, now: int, build: int, method: str, picks: int, failed: int, took: int, ended: int
    ) -> None:
        """The platform's counts: everybody's outcomes, ours among them, so they stand in for ours."""
        m = self.row.get(method)
        if m is None or not 0 <= failed <= picks or not self._few(now):
            return
        self.tallied_at, at = now, ended - self.plan.tally_period // 2
        ages = [self._warmth(i, at) for i in self.near.get(build, ()) if self.fleet.started_at[i] < at]
        cold = sum(1 / warmth for warmth in ages) / len(ages) if ages else 1.0
        counts = Counts(picks, failed, picks - failed, round((picks - failed) * took / cold))
        self._hear(build, m, counts, most=LEAST_THRESHOLD)

    def on_gossip(self, now: int, peer: int, words: bytes) -> None:
        """A peer's own outcomes, counted from its start: repeats, gaps and late words count nothing twice."""
        for build, m, counts in self.heard.fresh(peer, words):
            if self._few(now):
                self._hear(build, m, counts)

    def on_flag(self, now: int, instance: Id, method: str, sent: int) -> None:
        """Of a pick sent then: an id that came back since, with another build, is not to blame."""
        if (i := self.fleet.index.get(instance)) is not None and self.fleet.started_at[i] <= sent:
            self._hear(self.fleet.build[i], self.row[method], Counts(1, 1, 0, 0), i)

    def _tell(self, now: int) -> Iterator[Gossip]:
        """Own counts to the next peers by number; to fewer of them the larger the build's share."""
        on_trial = self.build < self.judged or self.phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED)
        if not (self.allow.gossip_allowed and self.news and on_trial and now >= self.tell_at):
            return
        self.news, self.tell_at = False, now + int(TELL_EVERY * self.random.uniform(0.5, 1.5))
        words = pack(self.token, sorted({build for build, _ in self.told})[-2:], len(self.methods), self.told)
        gateways, count = self.allow.gateway_count, ceil(PEERS / self.plan.shares[self._stage_seen()[1]])
        peers = [(self.allow.gateway_number + n) % gateways for n in range(1, count + 1)]
        yield from (Gossip(peer, words) for peer in (peers if count < gateways - 1 else [None]))
