"""The design's test: a sum over outcomes at the build on trial, own ones first, and when it alarms.

Decides without I/O. It judges a build by what its instances did; it must never vote, nor touch where RPCs go.
"""

from __future__ import annotations

from math import ceil, inf, log, sqrt

from linenbridge.interface import Outcome, SECOND, Startup
from linenbridge.policy.safety_rules import Guards
from linenbridge.state.counters import Counts
from linenbridge.state.requests import Pick, Rpc
from linenbridge.state.cusum import Records, Sums

# Failures: two p1 over a floor of 0.01. Slowness: the same sum, times for a bit.
P0_FLOOR, P0_MOST, P1_STEPS, P0_PRIOR = 0.01, 0.8, {"failed": 0.05, "failed much": 0.15}, 20
SLOW_STEP, SLOW_SPREAD, SLOW_CLIP, SLOW_DIVERGENCE = 1.0, 2.0, 4.0, 0.75
LEAST_THRESHOLD, H, HOLD_LEVEL, PART = 5.0, 10.0, 0.2, 1.2
RECORD_MEMORY, HOUR_P0, TALLY_STALE = 60, 0.1, 4
ON_OUTCOMES, ON_WAIT = 20, 4 * SECOND
TOOK_WEIGHT, TOOK_START = 0.05, 0.25


class Evidence(Guards):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.sums, self.records, self.outcomes = Sums(), Records(RECORD_MEMORY), 0
        self.tallied_at, self.sharing = -(1 << 60), False
        self.took = [method.latency_objective * TOOK_START for method in self.methods]
        self.least = self.took[:]  # the mean time at its best: what an RPC takes where little queues

    def _judge(self, build: int) -> None:
        """A later build starts with clean sums."""
        if build > self.judged:
            self.judged, self.outcomes, self.sharing = build, 0, False
            self.sums = Sums()

    def _few(self, now: int) -> bool:
        """Whether this gateway takes too little for twenty outcomes within the wait before 'on'."""
        return self.taken[-1] * ON_WAIT < ON_OUTCOMES * max(ON_WAIT, now - self.born)

    def _comparable(self, build: int) -> bool:
        """Slowness and time-outs tell the build from the hour only while an earlier instance is ready."""
        return build < self.judged or min(self.near, default=build) < self.judged

    def _note_outcome(self, now: int, pick: Pick, outcome: str, took: int, rpc: Rpc) -> None:
        """Only what shows that the build ran counts. A broken connection, or a time-out of an instance silent
        throughout, tells of the instance; times of cold instances tell of their start."""
        key = (pick.build, rpc.method)
        timed_out = outcome == Outcome.TIMED_OUT and not self.silent(pick) and self._comparable(pick.build)
        if outcome in (Outcome.OK, Outcome.ERROR) or timed_out:
            warm = outcome == Outcome.OK and self._warmth(pick.instance, pick.sent) >= 1.0
            counts = Counts(1, int(outcome != Outcome.OK), int(warm), took * warm)
            self.tell_apart(key, counts)
            stale = now > self.tallied_at + TALLY_STALE * self.plan.tally_period
            # With no earlier build ready tallies tell errors from the hour by the methods alone: own ones do.
            if not self._few(now) or stale or not self._comparable(pick.build):
                self._hear(*key, counts, pick.instance)
        if outcome == Outcome.OK:
            self.moves(rpc.key, pick.build)
            self.took[rpc.method] += (took - self.took[rpc.method]) * TOOK_WEIGHT
            self.least[rpc.method] = min(self.least[rpc.method], self.took[rpc.method])

    def _hear(self, build: int, m: int, counts: Counts, i: int | None = None, most: float = inf) -> None:
        """Counts into the sums at the build judged: own ones one by one with their instance `i`, others' at
        once. A tally gives `most`: one moment is not the build. A build that needs more work fails nothing:
        the same sum over its times, in units of the earlier build's mean of late."""
        if build != self.judged and build not in self.fleet.build:
            return
        if build == self.judged and self.lowest < build:
            self.sharing, self.outcomes = self.sharing or i is None, self.outcomes + counts.picks
            earlier, p0 = self.records.earlier(m, build, self.withdrawn), P0_FLOOR
            if earlier:
                p0 = (earlier.failed + P0_FLOOR * P0_PRIOR) / (earlier.outcomes + P0_PRIOR)
            if hour := i is None and not self._comparable(build):
                # Tallies can't tell a time-out from an error: the build's best other method shows the hour.
                p0 = max(p0, HOUR_P0, min(self.records.other_failures(build, m), default=P0_MOST))
            p0 = min(max(P0_FLOOR, p0), P0_MOST)
            for bit, step in P1_STEPS.items():
                up, down = log((p0 + step) / p0), log((1 - p0 - step) / (1 - p0))
                z = counts.failed * up + (counts.picks - counts.failed) * down
                divergence = (p0 + step) * up + (1 - p0 - step) * down
                self._sum((m, bit + " this hour" * hour), min(z, most), divergence, i, p0)
            if counts.served and earlier and earlier.outcomes >= P0_PRIOR and self._comparable(build):
                ratio = min(counts.time / counts.served / (earlier.mean or inf), SLOW_CLIP)
                z = counts.served * (ratio - 1 - SLOW_STEP / 2) * SLOW_STEP / SLOW_SPREAD
                self._sum((m, "slow"), min(z, most), SLOW_DIVERGENCE, i, ratio)
        self.records.hear(build, m, counts)

    def _sum(self, key: tuple[int, str], z: float, divergence: float, i: int | None, ground: float) -> None:
        """W = max(0, W) + Z, the alarm above max(5, divergence x h). Gateways that hear others hear much the
        same, so their alarms are one: its level answers for all the back votes. One sick instance is not the
        build: its part in W is bounded, so an alarm needs about the square root of the build's instances."""
        level = max(LEAST_THRESHOLD, H * divergence)
        level += log(max(1, self.plan.rollback_votes)) if self.sharing else 0.0
        like = 0 if i is None else len(self.near.get(self.fleet.build[i], ()))
        w, alarms = self.sums.add(key, z, i, PART * level / max(1, ceil(sqrt(like)))), self.sums.alarms
        if (w > level and key not in alarms) or (w <= HOLD_LEVEL * level and key in alarms):
            alarms ^= {key}
            what = "alarm" if key in alarms else "clear"
            where = f"{self.methods[key[0]].name} {key[1]} build {self.judged}"
            self.notes.append(f"{what} {where} W {w:.1f} level {level:.1f} ground {ground:.3f}")
