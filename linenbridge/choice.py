"""Every decision of a linenbridge gateway: read this file to know what it does.

A host (today `linenbridge.wirehost`) builds one `Choice` per gateway, reports what happens through the
`on_...` calls, then pulls `next_decision(now)` until None and wakes it again at `wake_at()`. The contract and
the decision tuples are in `linenbridge/interface.py`; `linenbridge/state/` only keeps figures.
Order of reading: tuned values, inputs, evidence, placing RPCs, the guards behind the rules, health, votes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from math import ceil, exp, inf, log, sqrt
from random import Random

from linenbridge.interface import (
    ABORT, BACK, BROKEN, CANCEL, ERROR, FULL, HOLD, IDEMPOTENT, LOG, NO_VOTE, NON_IDEMPOTENT, OK, ON,
    ON_TRIAL, PICK, PUSH_BACK, RELEASED, SPOILT, TELL, TIMED_OUT, TOKENED, UNREACHED, VOTE, WATCH, WITHDRAWN,
    Id, ListEntry, Startup,
)  # fmt: skip
from linenbridge.state.counters import BuildRecord, CapBucket, Counts, DecayingRate, Parts
from linenbridge.state.fleet import Fleet, draw, draw_two
from linenbridge.state.peers import Heard, pack
from linenbridge.state.rpcs import OpenRpcs, Pick, Rpc

MS, SECOND = 1_000, 1_000_000

# The design's test. Failures: two p1 over a floor of 0.01. Slowness: the same sum, times for a bit.
P0_FLOOR, P0_MOST, P1_STEPS, P0_PRIOR = 0.01, 0.8, {"failed": 0.05, "failed much": 0.15}, 20
SLOW_STEP, SLOW_SPREAD, SLOW_CLIP, SLOW_DIVERGENCE = 1.0, 2.0, 4.0, 0.75
LEAST_THRESHOLD, H, HOLD_LEVEL, PART = 5.0, 10.0, 0.2, 1.2
ON_OUTCOMES, ON_MOST, ON_WAIT = 20, 0.5, 4 * SECOND
RENEW, VOTE_RETRY, VOTE_RETRY_MOST = 4 * SECOND, 300 * MS, 2 * SECOND
SEND_SHARE, RECORD_MEMORY, HOUR_P0 = 0.9, 60, 0.1
# Others' counts, for a gateway with too few outcomes of its own: tallies of late, messages to some peers.
TALLY_STALE, TELL_EVERY, PEERS = 4, 1 * SECOND, 8

# Health by accrual: silence in mean gaps for what is in flight, in nats; a strike keeps away, ever longer.
SUSPECT, GAP_START, GAP_WEIGHT = 8.0, 8, 0.1  # GAP_START, SHUN and SHUN_MOST in sweeps
SHUN, SHUN_MOST, LOG_STRIKES = 10, 80, 3
FAIL_WEIGHT, FAIL_MEMORY, FAIL_LEAST, FAIL_MOST = 0.15, 5 * SECOND, 0.05, 0.5
REPORT_MEMORY, MISSED, AGAIN_SHARE, AGAIN_MOST = 1 * SECOND, 4.0, 0.1, 5.0

# How much may be out at an instance: additive increase, multiplicative decrease around the soft deadline.
LIMIT_START, LIMIT_LEAST, LIMIT_MOST, LIMIT_USED = 3.0, 1.0, 64.0, 0.7
LATE_SHARE, EARLY_SHARE, LIMIT_CUT = 0.4, 0.25, 0.8
COLD_ASIDE, COLD_LEAST, COLD_CALM, FLEET_MEMORY = 0.9, 0.3, 0.2, 30 * SECOND
TENANT_MEMORY, OVER_SHARE = 5 * SECOND, 1.15

# Shedding: a share goes back at once, more with each late answer; once it acts, well in time is asked for.
SHED_UP, SHED_DOWN, SHED_STREAK, FULL_MOST = 0.15, 0.015, 8, 2
SHED_FREE, SHED_MOST, SHED_NEAR = 0.3, 0.95, 0.75

# Instances that a gateway keeps to: each is used so often before its connection would idle out.
REACH_USES, REACH_LEAST, LATELY = 3.0, 3, 3 * SECOND
SWEEP, SWEEPS, IDLE, LAST_MOMENT = 50 * MS, 15, 250 * MS, 12 * MS  # SWEEPS in the strictest soft deadline
RETRY_AFTER, LIST_RETRY, LIST_RETRY_MOST = 2 * SECOND, 300 * MS, 4 * SECOND
TOOK_WEIGHT, TOOK_START = 0.05, 0.25


class Choice:
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        self.start, self.plan, self.allow, self.methods = start, start.plan, start.allowances, start.methods
        self.row = {method.name: m for m, method in enumerate(start.methods)}
        self.random = Random(seed)
        self.fleet = Fleet(self.allow.number)
        self.rpcs, self.waiting = OpenRpcs(), list[Rpc]()
        self.notes: deque[str] = deque()
        self.passing: Iterator[tuple] | None = None
        self.watch_at: int | None = now if self.allow.asks_for_list else None
        self.sweep_at, self.watch_wait = now, LIST_RETRY
        self.work, self.work_taken, self.fleet_size, self.listed_at = 0.0, 0.0, 0.0, now
        self.near: dict[int, list[int]] = {}
        self.lately, self.tenants = DecayingRate(LATELY), Parts(TENANT_MEMORY, start.tenant_shares)
        self.took = [method.soft_deadline * TOOK_START for method in self.methods]
        self.least = self.took[:]  # the mean time at its best: what an RPC takes where little queues
        self.shed, self.streak, self.utilities = 0.0, 0, deque([0.0], maxlen=30)
        self.strictest = min(method.soft_deadline for method in self.methods)
        self.sweep, self.again = min(SWEEP, self.strictest // SWEEPS), CapBucket(AGAIN_MOST, 0, AGAIN_SHARE)
        # The platform's news, the cap buckets by (build, row), and the keys that the new build has answered.
        self.build, self.stage, self.phase, self.cap, self.lowest = -1, 0, WITHDRAWN, 0.0, -1
        self.taken = [0] * (len(self.methods) + 1)
        self.buckets: dict[tuple[int, int], CapBucket] = {}
        self.moved: dict[Id | None, int] = {}
        # Evidence: records by (build, row), sums by (row, bit) at the newest build, and this gateway's vote.
        self.records: dict[tuple[int, int], BuildRecord] = {}
        self.judged, self.outcomes, self.withdrawn = -1, 0, set[int]()
        self.sums: dict[tuple[int, str], float] = {}
        self.parts: dict[tuple[int, str], dict[int, float]] = {}
        self.alarms: set[tuple[int, str]] = set()
        self.cast, self.vote_out, self.vote_at, self.vote_wait = (-1, -1, NO_VOTE), False, now, VOTE_RETRY
        self.moot = (-1, -1)
        # Whether all gateways renewing at their pace would be more calls than the platform takes.
        calls = self.plan.calls_per_second * RENEW / SECOND
        self.scarce = 0.0 < calls < self.allow.gateways
        self.born, self.tallied_at, self.sharing = now, -(1 << 60), False
        self.token, self.tell_at, self.news = self.random.randrange(1 << 16), now, False
        self.told: dict[tuple[int, int], Counts] = {}
        self.heard = Heard(len(self.methods))

    # ---- inputs: they only update what is known --------------------------------------------------

    def on_list(self, now: int, entries: list[ListEntry], *, whole: bool, answers: bool) -> None:
        self.fleet.update(entries, whole, GAP_START * self.sweep, LIMIT_START, self.rpcs.instances())
        self.watch_wait = LIST_RETRY if answers else self.watch_wait
        ready, self.near = sum(self.fleet.sizes), self.fleet.near
        keep = exp((self.listed_at - now) / FLEET_MEMORY) if self.fleet_size else 0.0
        self.fleet_size, self.listed_at = self.fleet_size * keep + ready * (1 - keep), now
        if self.near:
            self.lowest = min(self.near) if self.lowest < 0 else min(self.lowest, *self.near)
            self._judge(max(self.near))

    def on_list_failed(self, now: int) -> None:
        self.watch_at = now + int(self.watch_wait * self.random.uniform(0.5, 1.5))
        self.watch_wait = min(2 * self.watch_wait, LIST_RETRY_MOST)

    def on_rpc(
        self, now: int, rpc: str, method: str, ttl: int, work: int | None, tenant: str, key: Id | None
    ) -> None:
        m = self.row[method]
        table, cost = self.methods[m], 1.0
        if work:
            self.work += (work - self.work) * (TOOK_WEIGHT if self.work else 1.0)
            cost = work / self.work
        utility = table.utility if self.allow.by_work else table.utility / self.took[m]
        if self.tenants.part(now, tenant) > OVER_SHARE * self.start.tenant_shares.get(tenant, 1.0):
            utility *= self.allow.over_share_utility
        self.lately.add(now, 1.0)
        self.taken[m] += 1
        self.taken[-1] += 1
        end = now + ttl
        taken = Rpc(rpc, m, now, min(now + table.soft_deadline, end), end, cost, utility, key)
        self.rpcs.add(taken, max(now, end - LAST_MOMENT))
        self.waiting.append(taken)

    def on_gone(self, now: int, rpc: str) -> None:
        if rpc in self.rpcs:
            self.rpcs.end(self.rpcs[rpc])

    def on_stream(self, now: int, rpc: str, pick: int) -> None:
        if rpc in self.rpcs:
            self.rpcs[rpc].streaming = True

    def on_reply(
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

    def on_stage(
        self, now: int, build: int, stage: int, phase: int, cap: float, *, vote: bool, valid: bool,
        moot: bool = False,
    ) -> None:  # fmt: skip
        if vote:
            self.vote_out = False
            if not valid:
                self.vote_at = now + int(self.vote_wait * self.random.uniform(0.5, 1.5))
                self.vote_wait = min(2 * self.vote_wait, VOTE_RETRY_MOST)
                self.moot = self.cast[:2] if moot else self.moot
                self.cast = (-1, -1, NO_VOTE)
        if not valid or build < self.build:
            return
        if self.build >= 0 and (build, stage, phase) != (self.build, self.stage, self.phase):
            self.notes.append(f"build {build} stage {stage} phase {phase} cap {cap:g}")
        self.build, self.stage, self.phase, self.cap = build, stage, phase, cap
        (self.withdrawn.discard if phase in (ON_TRIAL, RELEASED) else self.withdrawn.add)(build)
        self.moved = {key: b for key, b in self.moved.items() if b >= build and b not in self.withdrawn}
        for (b, row), bucket in self.buckets.items():
            bucket.settle(self.taken[row])
            bucket.share = self._share(b)
        self.moot, self.vote_wait = (-1, -1), VOTE_RETRY
        self._judge(build)

    def on_tally(
        self, now: int, build: int, method: str, picks: int, failed: int, took: int, ended: int
    ) -> None:
        """The platform's counts: everybody's outcomes, ours among them, so they stand in for ours."""
        m = self.row.get(method)
        if m is None or not 0 <= failed <= picks or not self._few(now):
            return
        self.tallied_at, at = now, ended - self.plan.tally_period // 2
        ages = [self._warmth(i, at) for i in self.near.get(build, ()) if self.fleet.started[i] < at]
        cold = sum(1 / warmth for warmth in ages) / len(ages) if ages else 1.0
        counts = Counts(picks, failed, picks - failed, round((picks - failed) * took / cold))
        self._hear(build, m, counts, most=LEAST_THRESHOLD)

    def on_peer(self, now: int, peer: int, words: bytes) -> None:
        """A peer's own outcomes, counted from its start: repeats, gaps and late words count nothing twice."""
        for build, m, counts in self.heard.fresh(peer, words):
            if self._few(now):
                self._hear(build, m, counts)

    def on_flag(self, now: int, instance: Id, method: str, sent: int) -> None:
        """Of a pick sent then: an id that came back since, with another build, is not to blame."""
        if (i := self.fleet.index.get(instance)) is not None and self.fleet.started[i] <= sent:
            self._hear(self.fleet.build[i], self.row[method], Counts(1, 1, 0, 0), i)

    # ---- evidence: the design's sum over counts, own ones first ----------------------------------

    def _judge(self, build: int) -> None:
        """A later build starts with clean sums."""
        if build > self.judged:
            self.judged, self.outcomes, self.sharing = build, 0, False
            self.sums, self.parts, self.alarms = {}, {}, set()

    def _few(self, now: int) -> bool:
        """Whether this gateway takes too little for twenty outcomes within the wait before 'on'."""
        return self.taken[-1] * ON_WAIT < ON_OUTCOMES * max(ON_WAIT, now - self.born)

    def _highest(self) -> float:
        return max(self.sums.values(), default=0.0)

    def _silent(self, pick: Pick) -> bool:
        """Whether its instance has said nothing to this gateway since it was sent."""
        return self.fleet.last_reply[pick.instance] < pick.sent

    def _comparable(self, build: int) -> bool:
        """Slowness and time-outs tell the build from the hour only while an earlier instance is ready."""
        return build < self.judged or min(self.near, default=build) < self.judged

    def _note_outcome(self, now: int, pick: Pick, outcome: str, took: int, rpc: Rpc) -> None:
        """Only what shows that the build ran counts. A broken connection, or a time-out of an instance silent
        throughout, tells of the instance; times of cold instances tell of their start."""
        key = (pick.build, rpc.method)
        timed_out = outcome == TIMED_OUT and not self._silent(pick) and self._comparable(pick.build)
        if outcome in (OK, ERROR) or timed_out:
            warm = outcome == OK and self._warmth(pick.instance, pick.sent) >= 1.0
            counts = Counts(1, int(outcome != OK), int(warm), took * warm)
            self.told[key] = self.told.get(key, Counts()).plus(counts)
            self.news = self.news or pick.build == self.judged
            if not self._few(now) or now > self.tallied_at + TALLY_STALE * self.plan.tally_period:
                self._hear(*key, counts, pick.instance)
        if outcome == OK:
            binds = self.plan.forward_only and pick.build >= self.build and pick.build not in self.withdrawn
            if binds and rpc.key is not None:
                self.moved[rpc.key] = max(pick.build, self.moved.get(rpc.key, 0))
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
            earlier, p0 = self._earlier(m), P0_FLOOR
            if earlier:
                p0 = (earlier.failed + P0_FLOOR * P0_PRIOR) / (earlier.outcomes + P0_PRIOR)
            if i is None and not self._comparable(build):
                # Tallies can't tell a time-out from an error: the build's best other method shows the hour.
                rest = [r for (b, row), r in self.records.items() if b == build and row != m and r.outcomes]
                p0 = max(p0, HOUR_P0, min((r.failed / r.outcomes for r in rest), default=P0_MOST))
            p0 = min(max(P0_FLOOR, p0), P0_MOST)
            for bit, step in P1_STEPS.items():
                up, down = log((p0 + step) / p0), log((1 - p0 - step) / (1 - p0))
                z = counts.failed * up + (counts.picks - counts.failed) * down
                self._sum((m, bit), min(z, most), (p0 + step) * up + (1 - p0 - step) * down, i, p0)
            if counts.served and earlier and earlier.outcomes >= P0_PRIOR and self._comparable(build):
                ratio = min(counts.time / counts.served / (earlier.mean or inf), SLOW_CLIP)
                z = counts.served * (ratio - 1 - SLOW_STEP / 2) * SLOW_STEP / SLOW_SPREAD
                self._sum((m, "slow"), min(z, most), SLOW_DIVERGENCE, i, ratio)
        self.records.setdefault((build, m), BuildRecord(RECORD_MEMORY)).hear(counts)

    def _earlier(self, m: int) -> BuildRecord | None:
        known = [b for b, row in self.records if row == m and b < self.judged and b not in self.withdrawn]
        return self.records[max(known), m] if known else None

    def _sum(self, key: tuple[int, str], z: float, divergence: float, i: int | None, ground: float) -> None:
        """W = max(0, W) + Z, the alarm above max(5, divergence x h). Gateways that hear others hear much the
        same, so their alarms are one: its level answers for all the back votes. One sick instance is not the
        build: its part in W is bounded, so an alarm needs about the square root of the build's instances."""
        level = max(LEAST_THRESHOLD, H * divergence)
        level += log(max(1, self.plan.back_votes)) if self.sharing else 0.0
        parts, before = self.parts.setdefault(key, {}), max(0.0, self.sums.get(key, 0.0))
        if i is not None and z > 0.0:
            like = len(self.near.get(self.fleet.build[i], ()))
            z = max(0.0, min(z, PART * level / max(1, ceil(sqrt(like))) - parts.get(i, 0.0)))
            parts[i] = parts.get(i, 0.0) + z
        w = self.sums[key] = before + z
        if z < 0.0:
            self.parts[key] = {j: part * w / before for j, part in parts.items()} if w > 0.0 else {}
        if (w > level and key not in self.alarms) or (w <= HOLD_LEVEL * level and key in self.alarms):
            self.alarms ^= {key}
            what = "alarm" if key in self.alarms else "clear"
            where = f"{self.methods[key[0]].name} {key[1]} build {self.judged}"
            self.notes.append(f"{what} {where} W {w:.1f} level {level:.1f} ground {ground:.3f}")

    def _tell(self, now: int) -> Iterator[tuple]:
        """Own counts to the next peers by number; to fewer of them the larger the build's share."""
        on_trial = self.build < self.judged or self.phase in (ON_TRIAL, RELEASED)
        if not (self.allow.may_tell and self.news and on_trial and now >= self.tell_at):
            return
        self.news, self.tell_at = False, now + int(TELL_EVERY * self.random.uniform(0.5, 1.5))
        words = pack(self.token, sorted({build for build, _ in self.told})[-2:], len(self.methods), self.told)
        gateways, count = self.allow.gateways, ceil(PEERS / self.plan.shares[self._stage_seen()[1]])
        peers = [(self.allow.number + n) % gateways for n in range(1, count + 1)]
        yield from ((TELL, peer, words) for peer in (peers if count < gateways - 1 else [None]))

    # ---- decisions -------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        if self.passing is None:
            self.passing = self._decide(now)
        if (decision := next(self.passing, None)) is None:
            self.passing = None
        return decision

    def wake_at(self) -> int | None:
        """The next deadline or sweep: often while something is open, never when no vote is to be cast."""
        times = [] if (due := self.rpcs.next_due()) is None else [due]
        settled = self.build == self.judged and self.phase != ON_TRIAL and self.cast[2] == NO_VOTE
        if self.rpcs or self.watch_at is not None or not settled:
            times.append(self.sweep_at)
        return min(times, default=None)

    def _decide(self, now: int) -> Iterator[tuple]:
        if self.watch_at is not None and now >= self.watch_at:
            self.watch_at = None
            yield (WATCH,)
        for rpc in self.rpcs.overdue(now):
            yield self._final(rpc)
        if now >= self.sweep_at:
            yield from self._doubt(now)
            self.sweep_at = now + (self.sweep if self.rpcs else IDLE)
        elif self.rpcs:
            self.sweep_at = min(self.sweep_at, now + self.sweep)
        yield from self._place(now)
        yield from self._ballot(now)
        yield from self._tell(now)
        while self.notes:
            yield (LOG, self.notes.popleft())

    def _final(self, rpc: Rpc) -> tuple:
        """Rules 1 and 2: the one final answer; a pushback only where a repeat is harmless."""
        self.rpcs.end(rpc)
        method, ran = self.methods[rpc.method], rpc.first_that_may_have_run()
        harmless = method.effect == IDEMPOTENT or (method.effect == TOKENED and method.group == "all")
        if ran is None or harmless:
            return PUSH_BACK, rpc.id, min(RETRY_AFTER, self.allow.retry_after_most)
        return ABORT, rpc.id

    def _place(self, now: int) -> Iterator[tuple]:
        """Most utility first; what finds no room waits until its soft deadline is out of reach, no longer."""
        queue = [rpc for rpc in self.waiting if not rpc.ended]
        queue.sort(key=lambda rpc: (-rpc.utility, rpc.arrived))
        self.waiting = []
        crowded: set[int] = set()
        for rpc in queue:
            fresh, new = not rpc.picks, rpc.arrived == now
            late = now + self.took[rpc.method] > rpc.soft_deadline
            if fresh and not late and not new and rpc.method in crowded:
                self.waiting.append(rpc)
                continue
            full = sum(pick.outcome == FULL for pick in rpc.picks) >= FULL_MOST
            spent = full or len(rpc.picks) >= self.allow.max_picks or now >= rpc.deadline - LAST_MOMENT
            if spent or (new and self._sheds(now, rpc.utility)) or not self._may_pick(now, rpc):
                yield self._final(rpc)
                continue
            self.work_taken += rpc.cost * new
            i = None if fresh and rpc.method in crowded else self._target(now, rpc)
            if i is not None:
                yield self._send(now, rpc, i)
            elif late:
                yield self._final(rpc)
            else:
                self.waiting.append(rpc)
                if fresh:
                    crowded.add(rpc.method)

    def _sheds(self, now: int, utility: float) -> bool:
        """Overload seen by a gateway too small for limits to bind: RPCs go by chance, low utility first. The
        same where the least limits, one out from every gateway, already queue past a soft deadline."""
        queue = max(self.least[m] / method.soft_deadline for m, method in enumerate(self.methods))
        if not self._few(now) and self.allow.gateways * LIMIT_LEAST * queue <= 1.0:
            return False
        rank = sum(other < utility for other in self.utilities) / len(self.utilities)
        self.utilities.append(utility)
        share = min(SHED_MOST, (self.shed - SHED_FREE) / (1 - SHED_FREE) * (1.5 - rank))
        shed = share > 0.0 and self.random.random() < share
        # What is kept from the instances lowers it too: of few RPCs nearly all shed, too few answers would.
        self.shed -= SHED_DOWN * shed
        return shed

    def _weigh_shed(self, late: bool) -> None:
        """Timely answers in a row count ever more, so that it ends soon after the load does."""
        self.streak = 0 if late else min(self.streak + 1, SHED_STREAK)
        self.shed = min(1.0, max(0.0, self.shed + (SHED_UP if late else -SHED_DOWN * self.streak)))

    def _send(self, now: int, rpc: Rpc, i: int) -> tuple:
        fleet, build = self.fleet, self.fleet.build[i]
        rpc.picks.append(Pick(i, build, now))
        fleet.sent(i, now)
        if bucket := self._bucket(build, rpc.method):
            bucket.tokens -= 1.0
        if self._warmth(i, now) < 1.0:
            fleet.cold_tokens[i] -= rpc.cost
        return PICK, rpc.id, fleet.ids[i], max(1, rpc.deadline - now)

    # ---- the guards behind the rules -------------------------------------------------------------

    def _may_pick(self, now: int, rpc: Rpc) -> bool:
        """Rule 2, asked before every pick: may this RPC go out (again) at all?"""
        if not rpc.picks or rpc.streaming or (rpc.out() and not self.allow.second_copies):
            return not rpc.picks
        ran = rpc.first_that_may_have_run()
        method = self.methods[rpc.method]
        if ran is None or method.effect == IDEMPOTENT:
            return True
        return method.effect == TOKENED and now < ran.sent + method.token_window - self.sweep

    def _in_group(self, rpc: Rpc, i: int) -> bool:
        """Rule 2 for tokened RPCs: a repeat stays among the instances that drop it."""
        method, fleet = self.methods[rpc.method], self.fleet
        if method.effect != TOKENED or method.group == "all" or not (ran := rpc.first_that_may_have_run()):
            return True
        group = fleet.zone if method.group == "zone" else fleet.cell
        return group[i] == group[ran.instance]

    def _cap(self, build: int) -> tuple[float, int] | None:
        """Rule 5: the cap and stage that bind picks at a build; None where nothing does."""
        if build > self.build >= 0 or (self.build < 0 and build > self.lowest):
            return self.plan.caps[0], 0
        if build < self.build or self.build < 0 or self.phase == RELEASED:
            return None
        return self.cap, self.stage

    def _share(self, build: int) -> float:
        """At a full cap no earlier instance may be left to take the tenth held back: all of it is used."""
        cap = self._cap(build)
        return 1.0 if cap is None or cap[0] >= 1.0 else SEND_SHARE * cap[0]

    def _bucket(self, build: int, m: int) -> CapBucket | None:
        if self._cap(build) is None:
            return None
        row = m if self.plan.per_method else -1
        if (build, row) not in self.buckets:
            bucket = CapBucket(self.plan.spare_picks, self.taken[row], self._share(build))
            self.buckets[build, row] = bucket
        self.buckets[build, row].settle(self.taken[row])
        return self.buckets[build, row]

    def _exposed(self, build: int, m: int) -> bool:
        """Whether rule 5 lets one more RPC of the method go to the build now."""
        if (cap := self._cap(build)) is None:
            return True
        if cap[0] <= 0.0 or (cap[1] < self.plan.closed_stages and self.methods[m].effect != IDEMPOTENT):
            return False
        return (bucket := self._bucket(build, m)) is None or bucket.tokens >= 1.0

    def _warmth(self, i: int, now: int) -> float:
        """The least share of its capacity that an instance has at that time."""
        age, cold = now - self.fleet.started[i], self.allow.cold
        return 1.0 if age >= cold else self.allow.cold_from + (1 - self.allow.cold_from) * max(0, age) / cold

    def _cold_room(self, now: int, i: int) -> bool:
        """Rule 4, by this gateway alone: of its own work a cold instance gets no more than the part that its
        size and warmth give it, times the allowed multiple less what is set aside for chance and retries.
        Earned by RPC placed, not by time, less the more is shed; the fleet counts as of late."""
        warmth, fleet = self._warmth(i, now), self.fleet
        if warmth >= 1.0:
            return True
        part = max(COLD_LEAST, self.allow.fall_multiple - COLD_ASIDE) * warmth * max(COLD_CALM, 1 - self.shed)
        part *= fleet.size[i] / self.fleet_size
        if fleet.cold_mark[i] < 0.0:  # By chance: hundreds of whole ones, or of light RPCs, would meet here.
            fleet.cold_tokens[i], fleet.cold_mark[i] = self.random.random(), self.work_taken
        earned = part * (self.work_taken - fleet.cold_mark[i])
        fleet.cold_tokens[i], fleet.cold_mark[i] = min(1.0, fleet.cold_tokens[i] + earned), self.work_taken
        return fleet.cold_tokens[i] >= 1.0

    # ---- choosing an instance --------------------------------------------------------------------

    def _target(self, now: int, rpc: Rpc) -> int | None:
        """A build by the size of its instances, then one of them; a cold one drawn that has its fill hands
        over to the other build, not to its warm fellows. Further picks try the earlier build first."""
        least = self.moved.get(rpc.key, 0) if self.plan.forward_only else 0
        if not (builds := [b for b in self.near if b >= least and self._exposed(b, rpc.method)]):
            return None
        drawn = draw(self.random, self.fleet.ready, self.fleet.sums)
        wanted, full = self.fleet.build[drawn], not self._cold_room(now, drawn)
        builds.sort(key=lambda b: b == self.judged if rpc.picks else (b == wanted) == full)
        sound = any(self._sound(i, now) for b in builds for i in self.near[b])
        for build in builds:
            if (i := self._nearest(now, rpc, build, sound)) is not None:
                return i
        return None

    def _nearest(self, now: int, rpc: Rpc, build: int, sound: bool) -> int | None:
        """Two random choices, by size, on what is in flight, among the first of the build in this gateway's
        own lasting order: as many as its traffic keeps connections open to, others in place of sick ones."""
        fleet, tried = self.fleet, {pick.instance for pick in rpc.picks}
        uses = self.lately.per_second(now) * self.allow.idle_close / SECOND / REACH_USES
        reach = ceil(max(REACH_LEAST, uses * len(self.near[build]) / len(fleet.ready)))
        shun, failing, warm, room = fleet.shun_until, fleet.failing, now - self.allow.cold, list[int]()
        for i in self.near[build]:  # The plainest grounds first: this is asked of many for every RPC.
            sound_here = (shun[i] <= now and failing[i] < FAIL_MOST) or not sound or self._sound(i, now)
            if sound_here and self._has_room(i, rpc) and (not rpc.picks or self._in_group(rpc, i)):
                if fleet.started[i] <= warm or self._cold_room(now, i):
                    room.append(i)
                if len(room) >= reach:
                    break
        if not (room := [i for i in room if i not in tried] or room):
            return None
        first, second = draw_two(self.random, room, [fleet.size[i] for i in room])
        return first if self._crowding(first, now) <= self._crowding(second, now) else second

    def _sound(self, i: int, now: int) -> bool:
        return self.fleet.shun_until[i] <= now and self._failing(i, now) < FAIL_MOST

    def _has_room(self, i: int, rpc: Rpc) -> bool:
        """An instance back from a strike is tried with one RPC that may be repeated."""
        fleet, safe = self.fleet, self.methods[rpc.method].effect != NON_IDEMPOTENT
        return fleet.out[i] < fleet.limit[i] if not fleet.strikes[i] else safe and not fleet.out[i]

    def _crowding(self, i: int, now: int) -> float:
        """In flight for its size and warmth; an instance that fails quickly must not look empty."""
        fleet = self.fleet
        usual = fleet.others_mean * fleet.size[i]
        others = usual + (fleet.others[i] - usual) * exp((fleet.reported_at[i] - now) / REPORT_MEMORY)
        sound = max(FAIL_LEAST, 1 - self._failing(i, now))
        return (fleet.out[i] + others + 1) / (fleet.size[i] * sound * sound)

    def _failing(self, i: int, now: int) -> float:
        """Share of an instance's last answers that were errors or refusals; forgotten when left alone."""
        return self.fleet.failing[i] * exp((self.fleet.last_reply[i] - now) / FAIL_MEMORY)

    # ---- health ----------------------------------------------------------------------------------

    def _note_health(
        self, now: int, pick: Pick, outcome: str, took: int, rpc: Rpc, load: dict[str, float]
    ) -> None:
        fleet, i, soft = self.fleet, pick.instance, self.strictest * max(1.0, rpc.cost)
        fleet.out[i] = max(0, fleet.out[i] - 1)
        if (reported := load.get("in_flight", load.get("waiting"))) is not None:
            fleet.reported(i, now, reported, TOOK_WEIGHT)
        if outcome in (UNREACHED, BROKEN, TIMED_OUT):
            self._strike(now, i)
        elif outcome in (OK, ERROR, FULL, SPOILT):
            fleet.answered(i, now, GAP_WEIGHT)
            # FULL too: one that drains before the list says so turns all away at once and would look empty.
            fleet.failing[i] += ((outcome != OK) - fleet.failing[i]) * FAIL_WEIGHT
        within = self.methods[rpc.method].soft_deadline * (SHED_NEAR if self.shed > SHED_FREE else 1.0)
        late = outcome in (TIMED_OUT, FULL) or (outcome == OK and now > rpc.arrived + within)
        # A time-out at an instance silent throughout tells of it, not of the load: pauses alone would shed.
        # It hurts where a whole fleet falls silent at once: only refusals and late answers are left to tell.
        if outcome in (OK, FULL) or (late and not self._silent(pick)):
            self._weigh_shed(late)
        used = fleet.out[i] + 1 >= LIMIT_USED * fleet.limit[i]
        if outcome == OK and took < EARLY_SHARE * soft and used:
            fleet.limit[i] = min(LIMIT_MOST, fleet.limit[i] + 1 / fleet.limit[i])
        elif (outcome in (FULL, TIMED_OUT) or took > LATE_SHARE * soft) and pick.sent >= fleet.cut_at[i]:
            fleet.limit[i] = max(LIMIT_LEAST, fleet.limit[i] * LIMIT_CUT)
            fleet.cut_at[i] = now

    def _strike(self, now: int, i: int) -> None:
        fleet = self.fleet
        if now >= fleet.shun_until[i]:
            fleet.shun_until[i] = now + min(SHUN << fleet.strikes[i], SHUN_MOST) * self.sweep
            fleet.strikes[i] = min(fleet.strikes[i] + 1, 8)
            if fleet.strikes[i] == LOG_STRIKES:
                self.notes.append(f"shun {fleet.ids[i]} gap {fleet.gap[i] / MS:.0f} ms out {fleet.out[i]}")

    def _doubt(self, now: int) -> Iterator[tuple]:
        """Accrual: an instance whose silence is out of keeping with its gaps, for what is in flight, is
        shunned. What it holds that may be repeated goes elsewhere; so does one missed among its answers."""
        fleet, doubted, budget = self.fleet, set(), self.again.settle(self.taken[-1])
        for i, out in enumerate(fleet.out):
            beyond = SUSPECT * max(fleet.gap[i] / fleet.flow(i, out), self.sweep)
            if out and now >= fleet.shun_until[i] and fleet.silence(i, now) > beyond:
                self._strike(now, i)
                doubted.add(i)
        for rpc in list(self.rpcs.values()) if doubted or budget >= 1.0 else ():
            if rpc.ended or rpc.streaming or now > rpc.soft_deadline or rpc.out() != 1:
                continue
            number, pick = next((n, pick) for n, pick in enumerate(rpc.picks) if pick.outcome is None)
            usual = max(self.sweep, self.took[rpc.method] * max(1.0, rpc.cost))
            missed = self.again.tokens >= 1.0 and fleet.last_reply[pick.instance] > pick.sent + MISSED * usual
            once = self.methods[rpc.method].effect == NON_IDEMPOTENT or len(rpc.picks) >= self.allow.max_picks
            if once or pick.cancelled or not (missed or pick.instance in doubted):
                continue
            self.again.tokens -= missed
            if self.allow.second_copies:
                target = self._target(now, rpc) if self._may_pick(now, rpc) else None
                if target is not None and target != pick.instance:
                    yield self._send(now, rpc, target)
            elif self.allow.may_cancel:
                pick.cancelled = True
                yield CANCEL, rpc.id, number

    # ---- votes -----------------------------------------------------------------------------------

    def _wanted(self, now: int) -> int:
        """The vote that the evidence asks for. A build with no earlier one known here is never judged:
        nothing tells its failings from the day's."""
        phase = self.phase if self.build == self.judged else ON_TRIAL
        if phase not in (ON_TRIAL, RELEASED) or self.lowest >= self.judged:
            return NO_VOTE
        if self.alarms:
            return BACK
        starts = [self.fleet.started[i] for i in self.near.get(self.judged, ())]
        if phase == RELEASED or not starts:
            return NO_VOTE
        # A sum on its way to the alarm is no ground for 'on', nor is what this gateway wasn't there to see.
        highest = self._highest()
        enough = self.outcomes >= ON_OUTCOMES and highest <= ON_MOST * LEAST_THRESHOLD
        if enough or (now >= max(*starts, self.born) + ON_WAIT and highest <= 0.0):
            return NO_VOTE if self.plan.by_timer else ON
        return HOLD if self.plan.by_timer else NO_VOTE

    def _stage_seen(self) -> tuple[int, int]:
        """The build judged and its stage, as told or, where news is late, as the list shows by its machines.
        A vote for a stage not yet reached is answered as moot, and the told stage is taken again."""
        stage = self.stage if self.build == self.judged else 0
        told, fleet, shares = (self.judged, stage), self.fleet, self.plan.shares
        trial = len(self.near.get(self.judged, ()))
        places = len(fleet.ready) if self.plan.in_place else len(fleet.ready) - trial
        while stage + 1 < len(shares) and trial > shares[stage] * places + 1:
            stage += 1
        return (self.judged, stage) if (self.judged, stage) != self.moot else told

    def _ballot(self, now: int) -> Iterator[tuple]:
        """One standing vote, renewed until the stage moves; withdrawn when nothing asks for it any more."""
        wanted = (*self._stage_seen(), self._wanted(now))
        if now < self.vote_at and (self.vote_out or wanted == self.cast or self.vote_wait > VOTE_RETRY):
            return
        if wanted[2] == NO_VOTE and (self.cast[2] == NO_VOTE or self.cast[:2] != wanted[:2]):
            return
        if wanted[2] == NO_VOTE and self._lapses():
            self.cast = self.cast if now < self.vote_at else (-1, -1, NO_VOTE)
            return
        if wanted != self.cast:
            grounds = f"outcomes {self.outcomes} W {self._highest():.1f}"
            where = f"build {wanted[0]} stage {wanted[1]} told {self.stage}"
            self.notes.append(f"vote {wanted[2]} {where} {grounds}")
        self.cast, self.vote_out = wanted, True
        life = min(RENEW, int(self.plan.vote_stands * RENEW / (6 * SECOND)))
        life = int(life * self.random.uniform(0.5, 1.0)) if wanted[2] == ON else life
        self.vote_at = now + (self.plan.vote_stands if self.scarce else life)
        yield VOTE, wanted[0], wanted[1], wanted[2]

    def _lapses(self) -> bool:
        """Where calls are scarce an 'on' nobody asks for any more is left to lapse: a call to take it back is
        one less for a vote that does not stand yet. A sum over half the least threshold is worth the call."""
        return self.scarce and self.cast[2] == ON and self._highest() <= ON_MOST * LEAST_THRESHOLD
