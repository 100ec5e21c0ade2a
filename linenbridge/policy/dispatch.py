"""Dispatch: the inputs, and one turn's decisions in their order; `DecisionModule` is what hosts see.

Decides without I/O. Inputs only update what is known; decisions are pulled. It must never keep an RPC past
its last moment, nor answer one twice.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.policy.change_detection import TOOK_WEIGHT
from linenbridge.policy.safety_rules import FLEET_MEMORY, LAST_MOMENT
from linenbridge.policy.outlier_detection import GAP_START, Health
from linenbridge.policy.load_shedding import LIMIT_START
from linenbridge.policy.rollout_votes import VOTE_RETRY, VOTE_RETRY_MOST
from linenbridge.decisions import Decision, LogMessage, WatchEndpoints
from linenbridge.interface import Outcome, Vote, RolloutPhase, SECOND, Id, EndpointEntry, Startup
from linenbridge.state.counters import Parts
from linenbridge.state.requests import Rpc

TENANT_MEMORY, TENANTS_MOST, OVER_SHARE = 5 * SECOND, 1 << 14, 1.15
FULL_MOST, IDLE = 2, 250_000
LIST_RETRY, LIST_RETRY_MOST = 300_000, 4 * SECOND


class DecisionModule(Health):
    """Every decision of one gateway. Times are whole microseconds on the host's clock."""

    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.waiting: list[Rpc] = []
        self.passing: Iterator[Decision] | None = None
        self.watch_at: int | None = now if self.allow.polls_endpoints else None
        self.sweep_at, self.watch_wait = now, LIST_RETRY
        self.tenants = Parts(TENANT_MEMORY, start.tenant_quotas, TENANTS_MOST)

    def on_endpoint_list(
        self, now: int, entries: list[EndpointEntry], *, is_snapshot: bool, is_poll_response: bool
    ) -> None:
        self.fleet.update(entries, is_snapshot, GAP_START * self.sweep, LIMIT_START, self.rpcs.instances())
        self.watch_wait = LIST_RETRY if is_poll_response else self.watch_wait
        self.fleet.listed(now, FLEET_MEMORY)
        self.near = self.fleet.near
        if self.near:
            self.lowest = min(self.near) if self.lowest < 0 else min(self.lowest, *self.near)
            self._judge(max(self.near))

    def on_endpoint_list_failed(self, now: int) -> None:
        self.watch_at = now + int(self.watch_wait * self.random.uniform(0.5, 1.5))
        self.watch_wait = min(2 * self.watch_wait, LIST_RETRY_MOST)

    def on_request(
        self, now: int, rpc: str, method: str, ttl: int, work: int | None, tenant: str, key: Id | None
    ) -> None:
        m = self.row[method]
        table, cost = self.methods[m], self.count(m, work, TOOK_WEIGHT)
        utility = (
            table.priority_weight if self.allow.weighted_by_work else table.priority_weight / self.took[m]
        )
        if self.tenants.part(now, tenant) > OVER_SHARE * self.start.tenant_quotas.get(tenant, 1.0):
            utility *= self.allow.over_quota_weight
        self.lately.add(now, 1.0)
        end = now + ttl
        taken = Rpc(rpc, m, now, min(now + table.latency_objective, end), end, cost, utility, key)
        self.rpcs.add(taken, max(now, end - LAST_MOMENT))
        self.waiting.append(taken)

    def on_attempt_finished(
        self, now: int, rpc: str, pick: int, outcome: str, final: bool, took: int, load: dict[str, float]
    ) -> None:
        owner = self.rpcs.get(rpc)
        if owner is None or pick >= len(owner.picks) or owner.picks[pick].outcome is not None:
            return
        sent = owner.picks[pick]
        sent.outcome = outcome
        self._note_health(now, sent, outcome, took, owner, load)
        self._note_outcome(now, sent, outcome, took, owner)
        if final or owner.ended:
            self.rpcs.end(owner)
        elif not owner.out():
            self.waiting.append(owner)

    def on_rollout_update(
        self, now: int, build: int, stage: int, phase: RolloutPhase, cap: float, *, is_vote_response: bool,
        is_valid: bool, is_stale: bool = False,
    ) -> None:  # fmt: skip
        if is_vote_response:
            self.vote_out = False
            if not is_valid:
                self.vote_at = now + int(self.vote_wait * self.random.uniform(0.5, 1.5))
                self.vote_wait = min(2 * self.vote_wait, VOTE_RETRY_MOST)
                self.moot = self.cast[:2] if is_stale else self.moot
                self.cast = (-1, -1, Vote.NONE)
        if not is_valid or build < self.build:
            return
        self.takes_news(
            build, stage, phase, cap, rising=phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED)
        )
        self._settle()
        self.moot, self.vote_wait = (-1, -1), VOTE_RETRY
        self._judge(build)

    def on_rollout_freeze(self, now: int, zones: frozenset[str] | None) -> None:
        super().on_rollout_freeze(now, zones)
        self._settle()

    def _settle(self) -> None:
        """What was earned by the share as it was; from now on by the one that binds."""
        for (b, row), bucket in self.buckets.items():
            bucket.settle(self.taken[row])
            bucket.share = self._share(b)

    def next_decision(self, now: int) -> Decision | None:
        if self.passing is None:
            self.passing = self._decide(now)
        if (decision := next(self.passing, None)) is None:
            self.passing = None
        return decision

    def wake_at(self) -> int | None:
        """The next deadline or sweep: often while something is open, never when no vote is to be cast."""
        times = [] if (due := self.rpcs.next_due()) is None else [due]
        settled = (
            self.build == self.judged and self.phase != RolloutPhase.ON_TRIAL and self.cast[2] == Vote.NONE
        )
        if self.rpcs or self.watch_at is not None or not settled:
            times.append(self.sweep_at)
        return min(times, default=None)

    def _decide(self, now: int) -> Iterator[Decision]:
        if self.watch_at is not None and now >= self.watch_at:
            self.watch_at = None
            yield WatchEndpoints()
        for rpc in self.rpcs.overdue(now):
            yield self._final(now, rpc)
        if now >= self.sweep_at:
            yield from self._doubt(now)
            self.sweep_at = now + (self.sweep if self.rpcs else IDLE)
        elif self.rpcs:
            self.sweep_at = min(self.sweep_at, now + self.sweep)
        yield from self._place(now)
        yield from self._ballot(now)
        yield from self._tell(now)
        while self.notes:
            yield LogMessage(self.notes.popleft())

    def _place(self, now: int) -> Iterator[Decision]:
        """Most utility first; what finds no room waits until its soft deadline is out of reach, no longer."""
        queue = [rpc for rpc in self.waiting if not rpc.ended]
        queue.sort(key=lambda rpc: (-rpc.utility, rpc.arrived))
        self.waiting = []
        crowded: set[int] = set()
        for rpc in queue:
            fresh, new = not rpc.picks, rpc.arrived == now
            late = now + self.took[rpc.method] > rpc.latency_objective
            if fresh and not late and not new and rpc.method in crowded:
                self.waiting.append(rpc)
                continue
            full = sum(pick.outcome == Outcome.OVERLOADED for pick in rpc.picks) >= FULL_MOST
            spent = full or len(rpc.picks) >= self.allow.max_attempts or now >= rpc.deadline - LAST_MOMENT
            if spent or (new and self._sheds(now, rpc.utility)) or not self._may_pick(now, rpc):
                yield self._final(now, rpc)
                continue
            self.work_taken += rpc.cost * new
            i = None if fresh and rpc.method in crowded else self._target(now, rpc)
            if i is not None:
                yield self._send(now, rpc, i)
            elif late:
                yield self._final(now, rpc)
            else:
                self.waiting.append(rpc)
                if fresh:
                    crowded.add(rpc.method)
