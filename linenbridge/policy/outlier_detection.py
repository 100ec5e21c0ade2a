"""Health by accrual: silence in mean gaps for what is in flight, in nats; a strike keeps away, ever longer.

Decides without I/O. Also how much may be out at an instance: additive increase, multiplicative decrease
around the soft deadline. It must never take an instance for gone: only lists say so.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.policy.load_balancing import Choosing
from linenbridge.policy.change_detection import TOOK_WEIGHT
from linenbridge.policy.load_shedding import LIMIT_LEAST, LIMIT_MOST, SHED_FREE, SHED_NEAR
from linenbridge.decisions import CancelAttempt, Decision
from linenbridge.interface import Outcome, Idempotency, Startup
from linenbridge.state.counters import CapBucket
from linenbridge.state.requests import Pick, Rpc

SUSPECT, GAP_START, GAP_WEIGHT = 8.0, 8, 0.1  # GAP_START, SHUN and SHUN_MOST in sweeps
SHUN, SHUN_MOST, LOG_STRIKES, FAIL_WEIGHT = 10, 80, 3, 0.15
MISSED, AGAIN_SHARE, AGAIN_MOST = 4.0, 0.1, 5.0
LIMIT_USED, LATE_SHARE, EARLY_SHARE, LIMIT_CUT = 0.7, 0.4, 0.25, 0.8


class Health(Choosing):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.again = CapBucket(AGAIN_MOST, 0, AGAIN_SHARE)

    def _note_health(
        self, now: int, pick: Pick, outcome: str, took: int, rpc: Rpc, load: dict[str, float]
    ) -> None:
        fleet, i, soft = self.fleet, pick.instance, self.strictest * max(1.0, rpc.cost)
        fleet.out[i] = max(0, fleet.out[i] - 1)
        if (reported := load.get("in_flight", load.get("waiting"))) is not None:
            fleet.reported(i, now, reported, TOOK_WEIGHT)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT):
            self._strike(now, i)
        elif outcome in (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED, Outcome.MALFORMED_RESPONSE):
            fleet.answered(i, now, GAP_WEIGHT)
            # OVERLOADED too: one that drains before the list says so rejects at once and would look empty.
            fleet.failing[i] += ((outcome != Outcome.OK) - fleet.failing[i]) * FAIL_WEIGHT
        within = self.methods[rpc.method].latency_objective * (SHED_NEAR if self.shed > SHED_FREE else 1.0)
        late = outcome in (Outcome.TIMED_OUT, Outcome.OVERLOADED) or (
            outcome == Outcome.OK and now > rpc.arrived + within
        )
        # A time-out at an instance silent throughout tells of it, not of the load: pauses alone would shed.
        # It hurts where a whole fleet falls silent at once: only refusals and late answers are left to tell.
        if outcome in (Outcome.OK, Outcome.OVERLOADED) or (late and not self.silent(pick)):
            self._weigh_shed(late)
        used = fleet.out[i] + 1 >= LIMIT_USED * fleet.limit[i]
        if outcome == Outcome.OK and took < EARLY_SHARE * soft and used:
            fleet.limit[i] = min(LIMIT_MOST, fleet.limit[i] + 1 / fleet.limit[i])
        elif (
            outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT) or took > LATE_SHARE * soft
        ) and pick.sent >= fleet.cut_at[i]:
            fleet.limit[i] = max(LIMIT_LEAST, fleet.limit[i] * LIMIT_CUT)
            fleet.cut_at[i] = now

    def _strike(self, now: int, i: int) -> None:
        fleet = self.fleet
        if now >= fleet.shun_until[i]:
            fleet.shun_until[i] = now + min(SHUN << fleet.strikes[i], SHUN_MOST) * self.sweep
            fleet.strikes[i] = min(fleet.strikes[i] + 1, 8)
            if fleet.strikes[i] == LOG_STRIKES:
                self.notes.append(f"shun {fleet.ids[i]} gap {fleet.gap[i] / 1000:.0f} ms out {fleet.out[i]}")

    def _doubt(self, now: int) -> Iterator[Decision]:
        """Accrual: an instance whose silence is out of keeping with its gaps, for what is in flight, is
        shunned. What it holds that may be repeated goes elsewhere; so does one missed among its answers."""
        fleet, doubted, budget = self.fleet, set(), self.again.settle(self.taken[-1])
        for i, out in enumerate(fleet.out):
            beyond = SUSPECT * max(fleet.gap[i] / fleet.flow(i, out), self.sweep)
            if out and now >= fleet.shun_until[i] and fleet.silence(i, now) > beyond:
                self._strike(now, i)
                doubted.add(i)
        for rpc in list(self.rpcs.values()) if doubted or budget >= 1.0 else ():
            if rpc.ended or rpc.streaming or now > rpc.latency_objective or rpc.out() != 1:
                continue
            number, pick = next((n, pick) for n, pick in enumerate(rpc.picks) if pick.outcome is None)
            usual = max(self.sweep, self.took[rpc.method] * max(1.0, rpc.cost))
            missed = self.again.tokens >= 1.0 and fleet.last_reply[pick.instance] > pick.sent + MISSED * usual
            once = (
                self.methods[rpc.method].idempotency == Idempotency.NON_IDEMPOTENT
                or len(rpc.picks) >= self.allow.max_attempts
            )
            if once or pick.cancelled or not (missed or pick.instance in doubted):
                continue
            self.again.tokens -= missed
            if self.allow.hedging_allowed:
                target = self._target(now, rpc) if self._may_pick(now, rpc) else None
                if target is not None and target != pick.instance:
                    yield self._send(now, rpc, target)
            elif self.allow.cancel_allowed:
                pick.cancelled = True
                yield CancelAttempt(rpc.id, number)
