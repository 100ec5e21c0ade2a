"""Seeded random runs: the five rules are checked after every step by a reckoning of their own."""

from __future__ import annotations

from random import Random

import pytest

from linenbridge.decisions import Decision, Fail, Reject, SendAttempt
from linenbridge.interface import EndpointEntry, Idempotency, InstanceState, RolloutPhase, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import LONG_AGO, MS, entry, startup

SPAN, FALL, SLACK = 4 * SECOND, 2 * SECOND, 20 * MS
PROVES_NO_RUN = ("overloaded", "connect_failed", "not_sent")


class World:
    """A made-up platform, fleet and clients around one gateway, and what the rules say of each decision."""

    def __init__(self, seed: int) -> None:
        self.dice = Random(seed)
        self.start = startup(
            hedging_allowed=self.dice.random() < 0.5,
            per_method=self.dice.random() < 0.5,
            forward_only=self.dice.random() < 0.5,
            polls_endpoints=self.dice.random() < 0.5,
            by_timer=self.dice.random() < 0.3,
            slow_start_floor=self.dice.uniform(0.1, 0.4),
            slow_start_multiple=self.dice.uniform(1.2, 3),
        )
        self.methods = {method.name: method for method in self.start.methods}
        self.now = 0
        self.gateway = DecisionModule(self.start, seed, 0)
        self.rows = {n: entry(n, zone="ab"[n % 2]) for n in range(1, 7)}
        self.open: dict[str, dict] = {}
        self.out: list[tuple[int, str, int]] = []
        self.closed: set[str] = set()
        self.taken: list[tuple[int, str]] = []
        self.trial: list[tuple[int, int, str]] = []
        self.sent: dict[int, list[int]] = {}
        self.moved: set[int] = set()
        self.stage = (1, 1, RolloutPhase.RELEASED, 1.0)
        self.cap_since = self.count = 0
        self.gateway.on_endpoint_list(0, list(self.rows.values()), is_snapshot=True, is_poll_response=False)
        self.tell(*self.stage)

    def tell(self, build: int, stage: int, phase: int, cap: float) -> None:
        self.stage, self.cap_since = (build, stage, phase, cap), self.now
        self.trial.clear()
        if phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED) or build != 2:
            self.moved.clear()
        self.gateway.on_rollout_update(
            self.now, build, stage, phase, cap, is_vote_response=False, is_valid=True
        )

    def step(self) -> None:
        self.now += self.dice.choice((5 * MS, 20 * MS, 60 * MS))
        for _ in range(self.dice.choice((0, 1, 1, 2, 6))):
            self.arrive()
        for item in [item for item in self.out if item[0] <= self.now]:
            self.out.remove(item)
            self.answer(item[1], item[2])
        if self.open and self.dice.random() < 0.1:
            self.leave(self.dice.choice(list(self.open)))
        if self.dice.random() < 0.04:
            self.change_fleet()
        if self.dice.random() < 0.02:
            phase = self.dice.choice(
                (
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.RELEASED,
                    RolloutPhase.ROLLING_BACK,
                )
            )
            stage = self.dice.randrange(2)
            cap = {RolloutPhase.RELEASED: 1.0, RolloutPhase.ROLLING_BACK: 0.0}.get(
                phase, self.start.plan.caps[stage]
            )
            self.tell(2, stage, phase, cap)
        while (decision := self.gateway.next_decision(self.now)) is not None:
            self.check(decision)
        late = [name for name, rpc in self.open.items() if self.now > rpc["deadline"] + SLACK]
        assert not late, "rule 1: no final answer in time"
        wake = self.gateway.wake_at()
        assert wake is not None or not self.open
        self.now = max(self.now, min(wake or self.now, self.now + 5 * MS))

    def arrive(self) -> None:
        self.count += 1
        name, method = f"r{self.count}", self.dice.choice(list(self.methods))
        key, ttl = self.dice.randrange(40), self.dice.randrange(300 * MS, 4 * SECOND)
        self.taken.append((self.now, method))
        self.open[name] = {"method": method, "deadline": self.now + ttl, "key": key, "picks": []}
        self.gateway.on_request(self.now, name, method, ttl, None, "", key)

    def leave(self, name: str) -> None:
        """Its client closes its connection: picks out end as they do, and no further one begins."""
        del self.open[name]
        self.closed.add(name)
        self.gateway.on_client_disconnected(self.now, name)

    def answer(self, name: str, number: int) -> None:
        rpc = self.open.get(name)
        outcome = self.dice.choices(
            ("ok", "error", "overloaded", "timed_out", "connect_failed", "connection_lost"),
            (60, 8, 8, 8, 8, 4),
        )[0]
        if rpc:
            pick = rpc["picks"][number]
            pick[2] = outcome
            if outcome == "ok":
                del self.open[name]
                self.closed.add(name)
                if pick[3] == 2 == self.stage[0] and self.stage[2] in (
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.RELEASED,
                ):
                    self.moved.add(rpc["key"])
        final = name in self.closed
        self.gateway.on_attempt_finished(self.now, name, number, outcome, final, 50 * MS, {"in_flight": 2.0})

    def change_fleet(self) -> None:
        n = self.dice.randrange(1, 11)
        state = self.dice.choice(
            (InstanceState.READY, InstanceState.READY, InstanceState.DRAINING, InstanceState.REMOVED)
        )
        build, started = self.dice.choice((1, 2)), self.dice.choice((LONG_AGO, self.now - 500 * MS))
        self.rows[n] = entry(n, build=build, state=state, started=started, zone="ab"[n % 2])
        self.gateway.on_endpoint_list(self.now, [self.rows[n]], is_snapshot=False, is_poll_response=True)

    def check(self, decision: Decision) -> None:
        """Hold the rules against one decision; votes, cancels and the like bind no rule."""
        match decision:
            case SendAttempt():
                self.pick(decision.rpc_id, decision.instance, decision.timeout)
            case Reject():
                self.push_back(decision.rpc_id, decision.retry_after)
            case Fail():
                self.abort(decision.rpc_id)

    def pick(self, name: str, instance: int, time_out: int) -> None:
        assert name in self.open, "rule 1: a pick after the end"
        rpc, row = self.open[name], self.rows[instance]
        method, picks = self.methods[rpc["method"]], rpc["picks"]
        assert row.state == InstanceState.READY, "rule 3: a pick at an instance that drains or is gone"
        assert time_out > 0 and len(picks) < self.start.allowances.max_attempts
        assert self.now + time_out <= rpc["deadline"], "rule 1: told more time than is left"
        if not self.start.allowances.hedging_allowed:
            assert all(pick[2] for pick in picks), "rule 2: two picks out at once"
        ran = [pick for pick in picks if pick[2] not in PROVES_NO_RUN]
        if method.idempotency == Idempotency.NON_IDEMPOTENT:
            assert not ran, "rule 2: a non-idempotent RPC may have run"
        if method.idempotency == Idempotency.IDEMPOTENT_BY_KEY and ran:
            assert row.zone == ran[0][4] and self.now <= ran[0][1] + method.idempotency_window, (
                "rule 2: group"
            )
        picks.append([instance, self.now, None, row.build, row.zone])
        if self.start.plan.forward_only and rpc["key"] in self.moved:
            assert row.build == 2, "rule 5: a moved key went back"
        self.check_exposure(row.build, rpc["method"], method.idempotency)
        self.check_cold(row, instance)
        took = self.dice.choice((10 * MS, 100 * MS, 2 * SECOND))
        self.out.append((self.now + min(took, time_out), name, len(picks) - 1))

    def check_exposure(self, build: int, method: str, effect: str) -> None:
        told, stage, phase, cap = self.stage
        if build < told or (build == told and phase == RolloutPhase.RELEASED):
            return
        if build > told:
            stage, cap = 0, self.start.plan.caps[0]
        assert cap > 0, "rule 5: cap 0"
        assert stage >= self.start.plan.closed_stages or effect == Idempotency.IDEMPOTENT, "rule 5: closed"
        self.trial.append((self.now, build, method))
        same = (lambda other: other == method) if self.start.plan.per_method else (lambda other: True)
        picks = [at for at, b, other in self.trial if b == build and same(other) and at > self.now - SPAN]
        for n, since in enumerate(picks):
            taken = sum(since <= at for at, other in self.taken if same(other))
            assert len(picks) - n <= self.start.plan.burst_attempts + cap * taken, "rule 5: over the cap"

    def check_cold(self, row: EndpointEntry, instance: int) -> None:
        allow, age = self.start.allowances, self.now - row.started_at
        sends = self.sent.setdefault(instance, [])
        sends.append(self.now)
        if age < allow.slow_start_duration:
            share = allow.slow_start_floor + (1 - allow.slow_start_floor) * age / allow.slow_start_duration
            ready = sum(other.state == InstanceState.READY for other in self.rows.values())
            recent = sum(at > self.now - FALL for at, _ in self.taken)
            budget = allow.slow_start_multiple * share * recent / ready + 6
            assert sum(at > self.now - FALL and at >= row.started_at for at in sends) <= budget, "rule 4"

    def push_back(self, name: str, retry_after: int) -> None:
        rpc = self.open.pop(name)
        self.closed.add(name)
        ran = [pick for pick in rpc["picks"] if pick[2] not in PROVES_NO_RUN]
        assert not ran or self.methods[rpc["method"]].idempotency == Idempotency.IDEMPOTENT, (
            "rule 2: pushed back"
        )
        assert 0 <= retry_after <= self.start.allowances.max_retry_after

    def abort(self, name: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        del self.open[name]
        self.closed.add(name)


@pytest.mark.parametrize("seed", range(16))
def test_rules_hold_on_random_runs(seed: int) -> None:
    world = World(seed)
    for _ in range(700):
        world.step()
    assert world.closed and any(world.sent.values())
