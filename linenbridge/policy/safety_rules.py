"""The guards behind the rules: what may go out at all, however much it is wanted.

Decides without I/O. Every pick passes here: no effect twice (rule 2), no cold instance pushed over (rule 4),
exposure within the cap (rule 5); and the one final answer where an RPC is given up (rules 1 and 2).
"""

from __future__ import annotations

from linenbridge.decisions import Fail, Reject
from linenbridge.interface import Idempotency, RolloutPhase, SECOND, Startup
from linenbridge.state.counters import CapBucket
from linenbridge.state.gateway_state import Known
from linenbridge.state.requests import Rpc

SEND_SHARE, RETRY_AFTER = 0.9, 2 * SECOND
COLD_ASIDE, COLD_LEAST, COLD_CALM, FLEET_MEMORY = 0.9, 0.3, 0.2, 30 * SECOND
SWEEP, SWEEPS, LAST_MOMENT = 50_000, 15, 12_000  # SWEEPS in the strictest soft deadline


class Guards(Known):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.work_taken, self.shed = 0.0, 0.0
        self.strictest = min(method.latency_objective for method in self.methods)
        self.sweep = min(SWEEP, self.strictest // SWEEPS)

    def _may_pick(self, now: int, rpc: Rpc) -> bool:
        """Rule 2, asked before every pick: may this RPC go out (again) at all?"""
        if not rpc.picks or rpc.streaming or (rpc.out() and not self.allow.hedging_allowed):
            return not rpc.picks
        ran = rpc.first_that_may_have_run()
        method = self.methods[rpc.method]
        if ran is None or method.idempotency == Idempotency.IDEMPOTENT:
            return True
        return method.idempotency == Idempotency.IDEMPOTENT_BY_KEY and self._remembered(now, rpc)

    def _remembered(self, at: int, rpc: Rpc) -> bool:
        """Rule 2 for tokened RPCs: whether what is sent at that time is still known as a repeat when it gets
        there, by the first pick that may have run; it may wait for a connection first."""
        window = self.methods[rpc.method].idempotency_window - self.sweep - self.allow.connect_timeout
        return (ran := rpc.first_that_may_have_run()) is None or at < ran.sent + window

    def _in_group(self, rpc: Rpc, i: int) -> bool:
        """Rule 2 for tokened RPCs: a repeat stays among the instances that drop it."""
        method, fleet = self.methods[rpc.method], self.fleet
        if (
            method.idempotency != Idempotency.IDEMPOTENT_BY_KEY
            or method.group == "all"
            or not (ran := rpc.first_that_may_have_run())
        ):
            return True
        group = fleet.zone if method.group == "zone" else fleet.cell
        return group[i] == group[ran.instance]

    def _final(self, now: int, rpc: Rpc) -> Reject | Fail:
        """Rules 1 and 2: the one final answer; a pushback only where a repeat is harmless."""
        self.rpcs.end(rpc)
        method, wait = self.methods[rpc.method], min(RETRY_AFTER, self.allow.max_retry_after)
        # It comes again when it is told to: while that is still known as a repeat everywhere.
        known = (
            method.idempotency == Idempotency.IDEMPOTENT_BY_KEY
            and method.group == "all"
            and self._remembered(now + wait, rpc)
        )
        if rpc.first_that_may_have_run() is None or method.idempotency == Idempotency.IDEMPOTENT or known:
            return Reject(rpc.id, wait)
        return Fail(rpc.id)

    def _holds(self, build: int) -> bool:
        """Whether a hold covers a build: it has instances where releases are held."""
        held, zone = self.held, self.fleet.zone
        return held is not None and (not held or any(zone[i] in held for i in self.near.get(build, ())))

    def _cap(self, build: int) -> tuple[float, int] | None:
        """Rule 5; under a hold no more than when it began, none at a later build while an earlier is
        there."""
        cap = self._told_cap(build)
        if cap is None or not self._holds(build):
            return cap
        most = self.held_caps.get(build, 0.0 if min(self.near, default=build) < build else cap[0])
        return min(cap[0], most), cap[1]

    def _told_cap(self, build: int) -> tuple[float, int] | None:
        """Rule 5: the cap and stage that bind picks at a build; None where nothing does."""
        if build > self.build >= 0 or (self.build < 0 and build > self.lowest):
            return self.plan.caps[0], 0
        if build < self.build or self.build < 0 or self.phase == RolloutPhase.RELEASED:
            return None
        return self.cap, self.stage

    def _share(self, build: int) -> float:
        """At a full cap no earlier instance may be left to take the tenth held back: all of it is used."""
        cap = self._cap(build)
        return 1.0 if cap is None or cap[0] >= 1.0 else SEND_SHARE * cap[0]

    def _bucket(self, build: int, m: int) -> CapBucket | None:
        if self._cap(build) is None:
            return None
        return self.bucket(build, m if self.plan.per_method else -1, self._share(build))

    def _exposed(self, build: int, m: int) -> bool:
        """Whether rule 5 lets one more RPC of the method go to the build now."""
        if (cap := self._cap(build)) is None:
            return True
        if cap[0] <= 0.0 or (
            cap[1] < self.plan.closed_stages and self.methods[m].idempotency != Idempotency.IDEMPOTENT
        ):
            return False
        return (bucket := self._bucket(build, m)) is None or bucket.tokens >= 1.0

    def _warmth(self, i: int, now: int) -> float:
        """The least share of its capacity that an instance has at that time."""
        age, cold = now - self.fleet.started_at[i], self.allow.slow_start_duration
        return (
            1.0
            if age >= cold
            else self.allow.slow_start_floor + (1 - self.allow.slow_start_floor) * max(0, age) / cold
        )

    def _cold_room(self, now: int, i: int) -> bool:
        """Rule 4, by this gateway alone: of its own work a cold instance gets no more than the part that its
        size and warmth give it, times the allowed multiple less what is set aside for chance and retries.
        Earned by RPC placed, not by time, less the more is shed; the fleet counts as of late."""
        warmth, fleet = self._warmth(i, now), self.fleet
        if warmth >= 1.0:
            return True
        part = (
            max(COLD_LEAST, self.allow.slow_start_multiple - COLD_ASIDE)
            * warmth
            * max(COLD_CALM, 1 - self.shed)
        )
        part *= fleet.size[i] / fleet.usual_size
        if (
            fleet.slow_start_mark[i] < 0.0
        ):  # By chance: hundreds of whole ones, or of light RPCs, would meet here.
            fleet.slow_start_tokens[i], fleet.slow_start_mark[i] = self.random.random(), self.work_taken
        earned = part * (self.work_taken - fleet.slow_start_mark[i])
        fleet.slow_start_tokens[i], fleet.slow_start_mark[i] = (
            min(1.0, fleet.slow_start_tokens[i] + earned),
            self.work_taken,
        )
        return fleet.slow_start_tokens[i] >= 1.0
