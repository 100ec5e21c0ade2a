"""Seeded random runs that check every decision against an independent computation of the five rules.

1. Each request gets one final answer in time, and no attempt begins after its end or deadline.
2. A request that may have been executed is repeated or rejected only if its idempotency allows this.
3. Attempts go only to ready instances.
4. Slow start limits the attempts at an instance that has just started.
5. Exposure limits the attempts at a build on trial, and a key that moved to the build does not go back.
"""

from __future__ import annotations

from random import Random

import pytest

from linenbridge.decisions import Decision, Fail, Reject, SendAttempt
from linenbridge.interface import EndpointEntry, Id, Idempotency, InstanceState, Outcome, RolloutPhase, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import LONG_AGO, MS, entry, startup

EXPOSURE_WINDOW = 4 * SECOND  # microseconds
SLOW_START_WINDOW = 2 * SECOND  # microseconds
SLACK = 20 * MS  # microseconds by which a final answer may be late
NOT_EXECUTED = ("overloaded", "connect_failed", "not_sent")


class World:
    """The platform, fleet and clients around one gateway, with checks of each decision by the rules."""

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
        self.entries: dict[Id, EndpointEntry] = {
            number: entry(number, zone="ab"[number % 2]) for number in range(1, 7)
        }
        self.open_requests: dict[str, dict] = {}
        self.in_flight: list[tuple[int, str, int]] = []
        self.ended_requests: set[str] = set()
        self.admitted: list[tuple[int, str]] = []
        self.exposed_attempts: list[tuple[int, int, str]] = []
        self.send_times: dict[Id, list[int]] = {}
        self.moved_keys: set[int] = set()
        self.stage = (1, 1, RolloutPhase.RELEASED, 1.0)
        self.cap_since = self.request_count = 0
        self.gateway.on_endpoint_list(
            0, list(self.entries.values()), is_snapshot=True, is_poll_response=False
        )
        self.report_rollout(*self.stage)

    def report_rollout(self, build: int, stage: int, phase: RolloutPhase, cap: float) -> None:
        self.stage = (build, stage, phase, cap)
        self.cap_since = self.now
        self.exposed_attempts.clear()
        if phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED) or build != 2:
            self.moved_keys.clear()
        self.gateway.on_rollout_update(
            self.now, build, stage, phase, cap, is_vote_response=False, is_valid=True
        )

    def step(self) -> None:
        self.now += self.random.choice((5 * MS, 20 * MS, 60 * MS))
        for _ in range(self.random.choice((0, 1, 1, 2, 6))):
            self.send_request()
        for item in [item for item in self.in_flight if item[0] <= self.now]:
            self.in_flight.remove(item)
            self.finish_attempt(item[1], item[2])
        if self.open_requests and self.random.random() < 0.1:
            self.disconnect(self.random.choice(list(self.open_requests)))
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
            self.check_decision(decision)
        late = [
            request_id
            for request_id, request in self.open_requests.items()
            if self.now > request["deadline"] + SLACK
        ]
        assert not late, "rule 1: no final answer in time"
        wake = self.gateway.wake_at()
        assert wake is not None or not self.open_requests
        self.now = max(self.now, min(wake or self.now, self.now + 5 * MS))

    def send_request(self) -> None:
        self.request_count += 1
        request_id = f"r{self.request_count}"
        method = self.random.choice(list(self.methods))
        key = self.random.randrange(40)
        ttl = self.random.randrange(300 * MS, 4 * SECOND)
        self.admitted.append((self.now, method))
        self.open_requests[request_id] = {
            "method": method,
            "deadline": self.now + ttl,
            "key": key,
            "attempts": [],
        }
        self.gateway.on_request(self.now, request_id, method, ttl, None, "", key)

    def disconnect(self, request_id: str) -> None:
        """Disconnect the request's client: attempts in flight end as usual, and no further one may begin."""
        del self.open_requests[request_id]
        self.ended_requests.add(request_id)
        self.gateway.on_client_disconnected(self.now, request_id)

    def finish_attempt(self, request_id: str, number: int) -> None:
        request = self.open_requests.get(request_id)
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
        if request:
            attempt = request["attempts"][number]
            attempt[2] = outcome
            if outcome == Outcome.OK:
                del self.open_requests[request_id]
                self.ended_requests.add(request_id)
                if attempt[3] == 2 == self.stage[0] and self.stage[2] in (
                    RolloutPhase.ON_TRIAL,
                    RolloutPhase.RELEASED,
                ):
                    self.moved_keys.add(request["key"])
        final = request_id in self.ended_requests
        self.gateway.on_attempt_finished(
            self.now, request_id, number, outcome, final, 50 * MS, {"in_flight": 2.0}
        )

    def change_fleet(self) -> None:
        number = self.random.randrange(1, 11)
        state = self.random.choice(
            (InstanceState.READY, InstanceState.READY, InstanceState.DRAINING, InstanceState.REMOVED)
        )
        build = self.random.choice((1, 2))
        started = self.random.choice((LONG_AGO, self.now - 500 * MS))
        self.entries[number] = entry(number, build=build, state=state, started=started, zone="ab"[number % 2])
        self.gateway.on_endpoint_list(
            self.now, [self.entries[number]], is_snapshot=False, is_poll_response=True
        )

    def check_decision(self, decision: Decision) -> None:
        """Check one decision; the rules restrict attempts, rejections and failures but no other decisions."""
        match decision:
            case SendAttempt():
                self.check_attempt(decision.rpc_id, decision.instance, decision.timeout)
            case Reject():
                self.check_reject(decision.rpc_id, decision.retry_after)
            case Fail():
                self.check_fail(decision.rpc_id)

    def check_attempt(self, request_id: str, instance: Id, timeout: int) -> None:
        assert request_id in self.open_requests, "rule 1: an attempt after the end of its request"
        request = self.open_requests[request_id]
        listed = self.entries[instance]
        method = self.methods[request["method"]]
        attempts = request["attempts"]
        assert listed.state == InstanceState.READY, "rule 3: an attempt at a draining or removed instance"
        assert timeout > 0
        assert len(attempts) < self.start.allowances.max_attempts
        assert self.now + timeout <= request["deadline"], "rule 1: a timeout after the deadline"
        if not self.start.allowances.hedging_allowed:
            assert all(attempt[2] for attempt in attempts), "rule 2: two attempts in flight at once"
        maybe_executed = [attempt for attempt in attempts if attempt[2] not in NOT_EXECUTED]
        if method.idempotency == Idempotency.NON_IDEMPOTENT:
            assert not maybe_executed, (
                "rule 2: a non-idempotent request that may have been executed was repeated"
            )
        if method.idempotency == Idempotency.IDEMPOTENT_BY_KEY and maybe_executed:
            assert listed.zone == maybe_executed[0][4], (
                "rule 2: repeated by key outside the zone of the first execution"
            )
            assert self.now <= maybe_executed[0][1] + method.idempotency_window, (
                "rule 2: repeated by key after the idempotency window"
            )
        attempts.append([instance, self.now, None, listed.build, listed.zone])
        if self.start.plan.forward_only and request["key"] in self.moved_keys:
            assert listed.build == 2, "rule 5: a key that moved to build 2 went back to an earlier build"
        self.check_exposure(listed.build, request["method"], method.idempotency)
        self.check_slow_start(listed, instance)
        duration = self.random.choice((10 * MS, 100 * MS, 2 * SECOND))
        self.in_flight.append((self.now + min(duration, timeout), request_id, len(attempts) - 1))

    def check_exposure(self, build: int, method: str, idempotency: str) -> None:
        reported, stage, phase, cap = self.stage
        if build < reported or (build == reported and phase == RolloutPhase.RELEASED):
            return
        if build > reported:
            stage = 0
            cap = self.start.plan.caps[0]
        assert cap > 0, "rule 5: an attempt at a build whose cap is 0"
        assert stage >= self.start.plan.closed_stages or idempotency == Idempotency.IDEMPOTENT, (
            "rule 5: a request that is not idempotent in a closed stage"
        )
        self.exposed_attempts.append((self.now, build, method))
        counts_together = (
            (lambda other: other == method) if self.start.plan.per_method else (lambda other: True)
        )
        attempts = [
            at
            for at, trial_build, other in self.exposed_attempts
            if trial_build == build and counts_together(other) and at > self.now - EXPOSURE_WINDOW
        ]
        for number, since in enumerate(attempts):
            admitted = sum(since <= at for at, other in self.admitted if counts_together(other))
            assert len(attempts) - number <= self.start.plan.burst_attempts + cap * admitted, (
                "rule 5: more attempts than the cap allows"
            )

    def check_slow_start(self, listed: EndpointEntry, instance: Id) -> None:
        limits = self.start.allowances
        age = self.now - listed.started_at
        times = self.send_times.setdefault(instance, [])
        times.append(self.now)
        if age < limits.slow_start_duration:
            share = limits.slow_start_floor + (1 - limits.slow_start_floor) * age / limits.slow_start_duration
            ready = sum(other.state == InstanceState.READY for other in self.entries.values())
            recent = sum(at > self.now - SLOW_START_WINDOW for at, _ in self.admitted)
            budget = limits.slow_start_multiple * share * recent / ready + 6
            assert (
                sum(at > self.now - SLOW_START_WINDOW and at >= listed.started_at for at in times) <= budget
            ), "rule 4: more attempts at an instance in slow start than its budget"

    def check_reject(self, request_id: str, retry_after: int) -> None:
        request = self.open_requests.pop(request_id)
        self.ended_requests.add(request_id)
        maybe_executed = [attempt for attempt in request["attempts"] if attempt[2] not in NOT_EXECUTED]
        assert not maybe_executed or self.methods[request["method"]].idempotency == Idempotency.IDEMPOTENT, (
            "rule 2: rejected although it may have been executed"
        )
        assert 0 <= retry_after <= self.start.allowances.max_retry_after

    def check_fail(self, request_id: str) -> None:
        assert request_id in self.open_requests, "rule 1: a second final answer"
        del self.open_requests[request_id]
        self.ended_requests.add(request_id)


@pytest.mark.parametrize("seed", range(16))
def test_every_decision_of_a_random_run_follows_the_five_rules(seed: int) -> None:
    world = World(seed)
    for _ in range(700):
        world.step()
    assert world.ended_requests
    assert any(world.send_times.values())
