"""Seeded random runs: the five rules, computed independently, are checked after every step."""

from __future__ import annotations

from random import Random

import pytest

from linenbridge.decisions import Decision, Fail, Reject, SendAttempt
from linenbridge.interface import EndpointEntry, Id, Idempotency, InstanceState, Outcome, RolloutPhase, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import LONG_AGO, MS, entry, startup

EXPOSURE_WINDOW = 4 * SECOND  # microseconds
SLOW_START_WINDOW = 2 * SECOND  # microseconds
SLACK = 20 * MS  # microseconds that a final answer may be late
NOT_EXECUTED = ("overloaded", "connect_failed", "not_sent")


class World:
    """A platform, a fleet and clients around one gateway, and what the rules require of each decision."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.start = startup(
            hedging_allowed=self.random.random() < 0.5,
            per_method=self.random.random() < 0.5,
            forward_only=self.random.random() < 0.5,
            polls_endpoints=self.random.random() < 0.5,
            by_timer=self.random.random() < 0.3,
            slow_start_floor=self.random.uniform(0.1, 0.4),
            slow_start_multiple=self.random.uniform(1.2, 3),
        )
        self.methods = {method.name: method for method in self.start.methods}
        self.now = 0
        self.gateway = DecisionModule(self.start, seed, 0)
        self.rows: dict[Id, EndpointEntry] = {
            number: entry(number, zone="ab"[number % 2]) for number in range(1, 7)
        }
        self.open: dict[str, dict] = {}
        self.in_flight: list[tuple[int, str, int]] = []
        self.closed: set[str] = set()
        self.admitted: list[tuple[int, str]] = []
        self.trial: list[tuple[int, int, str]] = []
        self.sent: dict[Id, list[int]] = {}
        self.moved: set[int] = set()
        self.stage = (1, 1, RolloutPhase.RELEASED, 1.0)
        self.cap_since = self.count = 0
        self.gateway.on_endpoint_list(0, list(self.rows.values()), is_snapshot=True, is_poll_response=False)
        self.report_rollout(*self.stage)

    def report_rollout(self, build: int, stage: int, phase: RolloutPhase, cap: float) -> None:
        self.stage = (build, stage, phase, cap)
        self.cap_since = self.now
        self.trial.clear()
        if phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED) or build != 2:
            self.moved.clear()
        self.gateway.on_rollout_update(
            self.now, build, stage, phase, cap, is_vote_response=False, is_valid=True
        )

    def step(self) -> None:
        self.now += self.random.choice((5 * MS, 20 * MS, 60 * MS))
        for _ in range(self.random.choice((0, 1, 1, 2, 6))):
            self.arrive()
        for item in [item for item in self.in_flight if item[0] <= self.now]:
            self.in_flight.remove(item)
            self.answer(item[1], item[2])
        if self.open and self.random.random() < 0.1:
            self.disconnect(self.random.choice(list(self.open)))
        if self.random.random() < 0.04:
            self.change_fleet()
        if self.random.random() < 0.02:
            phase = self.random.choice(
                (
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.RELEASED,
                    RolloutPhase.ROLLING_BACK,
                )
            )
            stage = self.random.randrange(2)
            cap = {RolloutPhase.RELEASED: 1.0, RolloutPhase.ROLLING_BACK: 0.0}.get(
                phase, self.start.plan.caps[stage]
            )
            self.report_rollout(2, stage, phase, cap)
        while (decision := self.gateway.next_decision(self.now)) is not None:
            self.check(decision)
        late = [name for name, rpc in self.open.items() if self.now > rpc["deadline"] + SLACK]
        assert not late, "rule 1: no final answer in time"
        wake = self.gateway.wake_at()
        assert wake is not None or not self.open
        self.now = max(self.now, min(wake or self.now, self.now + 5 * MS))

    def arrive(self) -> None:
        self.count += 1
        name = f"r{self.count}"
        method = self.random.choice(list(self.methods))
        key = self.random.randrange(40)
        ttl = self.random.randrange(300 * MS, 4 * SECOND)
        self.admitted.append((self.now, method))
        self.open[name] = {"method": method, "deadline": self.now + ttl, "key": key, "attempts": []}
        self.gateway.on_request(self.now, name, method, ttl, None, "", key)

    def disconnect(self, name: str) -> None:
        """Its client disconnects: attempts in flight end as they do, and no further one begins."""
        del self.open[name]
        self.closed.add(name)
        self.gateway.on_client_disconnected(self.now, name)

    def answer(self, name: str, number: int) -> None:
        rpc = self.open.get(name)
        outcome = self.random.choices(
            (
                Outcome.OK,
                Outcome.ERROR,
                Outcome.OVERLOADED,
                Outcome.TIMED_OUT,
                Outcome.CONNECT_FAILED,
                Outcome.CONNECTION_LOST,
            ),
            (60, 8, 8, 8, 8, 4),
        )[0]
        if rpc:
            attempt = rpc["attempts"][number]
            attempt[2] = outcome
            if outcome == Outcome.OK:
                del self.open[name]
                self.closed.add(name)
                if attempt[3] == 2 == self.stage[0] and self.stage[2] in (
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.RELEASED,
                ):
                    self.moved.add(rpc["key"])
        final = name in self.closed
        self.gateway.on_attempt_finished(self.now, name, number, outcome, final, 50 * MS, {"in_flight": 2.0})

    def change_fleet(self) -> None:
        number = self.random.randrange(1, 11)
        state = self.random.choice(
            (InstanceState.READY, InstanceState.READY, InstanceState.DRAINING, InstanceState.REMOVED)
        )
        build = self.random.choice((1, 2))
        started = self.random.choice((LONG_AGO, self.now - 500 * MS))
        self.rows[number] = entry(number, build=build, state=state, started=started, zone="ab"[number % 2])
        self.gateway.on_endpoint_list(self.now, [self.rows[number]], is_snapshot=False, is_poll_response=True)

    def check(self, decision: Decision) -> None:
        """Check the rules on one decision; votes, cancellations and the like are bound by none."""
        match decision:
            case SendAttempt():
                self.attempt(decision.rpc_id, decision.instance, decision.timeout)
            case Reject():
                self.reject(decision.rpc_id, decision.retry_after)
            case Fail():
                self.fail(decision.rpc_id)

    def attempt(self, name: str, instance: Id, timeout: int) -> None:
        assert name in self.open, "rule 1: an attempt after the end"
        rpc = self.open[name]
        row = self.rows[instance]
        method = self.methods[rpc["method"]]
        attempts = rpc["attempts"]
        assert row.state == InstanceState.READY, "rule 3: an attempt at an instance that drains or is removed"
        assert timeout > 0
        assert len(attempts) < self.start.allowances.max_attempts
        assert self.now + timeout <= rpc["deadline"], "rule 1: a timeout after the deadline"
        if not self.start.allowances.hedging_allowed:
            assert all(attempt[2] for attempt in attempts), "rule 2: two attempts in flight at once"
        ran = [attempt for attempt in attempts if attempt[2] not in NOT_EXECUTED]
        if method.idempotency == Idempotency.NON_IDEMPOTENT:
            assert not ran, "rule 2: a non-idempotent request may have been executed"
        if method.idempotency == Idempotency.IDEMPOTENT_BY_KEY and ran:
            assert row.zone == ran[0][4], "rule 2: group"
            assert self.now <= ran[0][1] + method.idempotency_window, "rule 2: window"
        attempts.append([instance, self.now, None, row.build, row.zone])
        if self.start.plan.forward_only and rpc["key"] in self.moved:
            assert row.build == 2, "rule 5: a moved key went back"
        self.check_exposure(row.build, rpc["method"], method.idempotency)
        self.check_slow_start(row, instance)
        took = self.random.choice((10 * MS, 100 * MS, 2 * SECOND))
        self.in_flight.append((self.now + min(took, timeout), name, len(attempts) - 1))

    def check_exposure(self, build: int, method: str, effect: str) -> None:
        reported, stage, phase, cap = self.stage
        if build < reported or (build == reported and phase == RolloutPhase.RELEASED):
            return
        if build > reported:
            stage = 0
            cap = self.start.plan.caps[0]
        assert cap > 0, "rule 5: cap 0"
        assert stage >= self.start.plan.closed_stages or effect == Idempotency.IDEMPOTENT, "rule 5: closed"
        self.trial.append((self.now, build, method))
        same = (lambda other: other == method) if self.start.plan.per_method else (lambda other: True)
        attempts = [
            at
            for at, trial_build, other in self.trial
            if trial_build == build and same(other) and at > self.now - EXPOSURE_WINDOW
        ]
        for number, since in enumerate(attempts):
            admitted = sum(since <= at for at, other in self.admitted if same(other))
            assert len(attempts) - number <= self.start.plan.burst_attempts + cap * admitted, (
                "rule 5: over the cap"
            )

    def check_slow_start(self, row: EndpointEntry, instance: Id) -> None:
        allow = self.start.allowances
        age = self.now - row.started_at
        sends = self.sent.setdefault(instance, [])
        sends.append(self.now)
        if age < allow.slow_start_duration:
            share = allow.slow_start_floor + (1 - allow.slow_start_floor) * age / allow.slow_start_duration
            ready = sum(other.state == InstanceState.READY for other in self.rows.values())
            recent = sum(at > self.now - SLOW_START_WINDOW for at, _ in self.admitted)
            budget = allow.slow_start_multiple * share * recent / ready + 6
            assert (
                sum(at > self.now - SLOW_START_WINDOW and at >= row.started_at for at in sends) <= budget
            ), "rule 4"

    def reject(self, name: str, retry_after: int) -> None:
        rpc = self.open.pop(name)
        self.closed.add(name)
        ran = [attempt for attempt in rpc["attempts"] if attempt[2] not in NOT_EXECUTED]
        assert not ran or self.methods[rpc["method"]].idempotency == Idempotency.IDEMPOTENT, (
            "rule 2: rejected"
        )
        assert 0 <= retry_after <= self.start.allowances.max_retry_after

    def fail(self, name: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        del self.open[name]
        self.closed.add(name)


@pytest.mark.parametrize("seed", range(16))
def test_rules_hold_on_random_runs(seed: int) -> None:
    world = World(seed)
    for _ in range(700):
        world.step()
    assert world.closed
    assert any(world.sent.values())
