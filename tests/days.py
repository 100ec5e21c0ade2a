"""Seeded worlds around a decision module, and a record of all decisions that the module takes in them.

A world simulates what surrounds one gateway: requests of several methods and tenants, attempts with every
outcome, endpoint lists, rollout updates, rejected votes, tallies, gossip and flags. It asserts nothing and
does not read the module's state.

`python -m tests.days SEEDS` prints a digest of the records of that many worlds, and their number of lines.
`python -m tests.days SEEDS tenants` does so for worlds whose tenants have quotas, and `python -m tests.days
SEEDS interruptions` for worlds with rollout freezes, streaming responses, and hedged, cancelled and unsent
attempts.
"""

from __future__ import annotations

import hashlib
import sys
from collections import Counter
from dataclasses import replace
from random import Random

from linenbridge.decisions import (
    CancelAttempt,
    CastVote,
    Decision,
    Fail,
    Reject,
    SendAttempt,
)
from linenbridge.interface import EndpointEntry, Id, InstanceState, Outcome, RolloutPhase, SECOND, Startup
from linenbridge.policy import DecisionModule
from linenbridge.state.counters import Counts
from linenbridge.state.peers import pack
from tests.helpers import LONG_AGO, MS, startup
from tests.records import recorded_form

TENANTS_WITHOUT_QUOTA = ("", "north", "south")
TENANT_QUOTAS = {f"tenant{number}": 0.002 * number for number in range(30)}
OUTCOMES = (
    Outcome.OK,
    Outcome.ERROR,
    Outcome.OVERLOADED,
    Outcome.TIMED_OUT,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.MALFORMED_RESPONSE,
)


class SeededWorld:
    """The world around one gateway; `lines` is the record of its decisions.

    `quotas` are the quotas of tenants beyond those in `TENANTS_WITHOUT_QUOTA`. `in_flight` has a row for each
    attempt: when it ends, the request's id, the attempt's number and the instance.
    """

    def __init__(self, seed: int, quotas: dict[str, float] | None = None) -> None:
        self.random = Random(f"day {seed}")
        self.start = replace(self._settings(), tenant_quotas=quotas or {})
        self.tenants = (*TENANTS_WITHOUT_QUOTA, *self.start.tenant_quotas)
        self.total_gateways = self.start.allowances.gateway_count
        self.now = 0
        self.request_count = 0
        self.lines = list[str]()
        self.gateway = DecisionModule(self.start, seed, 0)
        self.entries = {
            number: self._entry(number, 1, InstanceState.READY, LONG_AGO)
            for number in range(self._instance_count())
        }
        self.attempt_counts: dict[str, int] = {}
        self.in_flight: list[tuple[int, str, int, Id]] = []
        self.max_arrivals = self.random.choice((1, 3, 12))
        self.stage = (1, 1, RolloutPhase.RELEASED, 1.0)
        self.faulty_instances: set[int] = set()
        self.gateway.on_endpoint_list(
            0, list(self.entries.values()), is_snapshot=True, is_poll_response=False
        )
        self.gateway.on_rollout_update(0, *self.stage, is_vote_response=False, is_valid=True, is_stale=False)

    def _settings(self) -> Startup:
        random = self.random
        return startup(
            hedging_allowed=random.random() < 0.5,
            cancel_allowed=random.random() < 0.5,
            gossip_allowed=random.random() < 0.5,
            per_method=random.random() < 0.5,
            forward_only=random.random() < 0.5,
            weighted_by_work=random.random() < 0.3,
            polls_endpoints=random.random() < 0.5,
            by_timer=random.random() < 0.3,
            in_place=random.random() < 0.5,
            slow_start_floor=random.uniform(0.1, 0.4),
            slow_start_multiple=random.uniform(1.2, 3.0),
            gateway_count=random.choice((1, 4, 40, 214)),
            gateway_number=random.randrange(4),
            rollback_votes=random.choice((1, 3, 70)),
            tally_period=random.choice((0, SECOND)),
            calls_per_second=random.choice((0.0, 16.0)),
        )

    def _instance_count(self) -> int:
        """Return the number of instances at the start."""
        return self.random.choice((6, 40))

    def _entry(self, number: int, build: int, state: InstanceState, started: int) -> EndpointEntry:
        return EndpointEntry(number, build, "abc"[number % 3], number % 5, state, 1.0 + number % 2, started)

    def run(self, steps: int) -> list[str]:
        for step in range(steps):
            self.now += self.random.choice((2, 10, 40)) * MS
            if step % 40 == 0:
                self._report_changes(step // 40)
            for _ in range(self.random.randrange(self.max_arrivals + 1)):
                self._send_request()
            ended = [row for row in self.in_flight if row[0] <= self.now]
            self.in_flight = [row for row in self.in_flight if row[0] > self.now]
            for _, rpc_id, attempt_number, instance in ended:
                self._finish_attempt(rpc_id, attempt_number, instance)
            if self.random.random() < 0.02 and self.attempt_counts:
                rpc_id = self.random.choice(list(self.attempt_counts))
                del self.attempt_counts[rpc_id]
                self.gateway.on_client_disconnected(self.now, rpc_id)
            self._interrupt()
            self._carry_out_decisions()
            self.lines.append(f"{self.now} wake {self.gateway.wake_at()}")
        return self.lines

    def _interrupt(self) -> None:
        """Cause further events in a step before the decisions; there are none in this class."""

    def _send_request(self) -> None:
        self.request_count += 1
        rpc_id = f"r{self.request_count}"
        method = self.random.choice(self.start.methods)
        work = self.random.choice((None, 5, 50))
        ttl = self.random.randrange(300 * MS, 4 * SECOND)
        tenant = self.random.choice(self.tenants)
        key = self.random.choice((None, self.random.randrange(40)))
        self.attempt_counts[rpc_id] = 0
        self.gateway.on_request(self.now, rpc_id, method.name, ttl, work, tenant, key)

    def _finish_attempt(self, rpc_id: str, attempt_number: int, instance: Id) -> None:
        weights = (20, 40, 10, 10, 5, 5, 2) if instance in self.faulty_instances else (200, 3, 1, 3, 1, 1, 1)
        outcome = self.random.choices(OUTCOMES, weights)[0]
        final = outcome == Outcome.OK and rpc_id in self.attempt_counts
        if final:
            del self.attempt_counts[rpc_id]
        load = self.random.choice(({}, {"in_flight": 3.0}, {"waiting": 1.0}))
        response_time = self.random.randrange(5 * MS, self.random.choice((40, 200, 1200)) * MS)
        self.gateway.on_attempt_finished(
            self.now,
            rpc_id,
            attempt_number,
            outcome,
            final or rpc_id not in self.attempt_counts,
            response_time,
            load,
        )

    def _report_changes(self, update_number: int) -> None:
        """Report changes of the endpoint list, the rollout and the counts of the platform and peers."""
        self._update_list(update_number)
        self._update_rollout(update_number)
        self._report_counts(update_number)

    def _update_list(self, update_number: int) -> None:
        """Send an endpoint list with changed instances and, sometimes, report a failed poll of the list."""
        random = self.random
        for number in random.sample(sorted(self.entries), 2):
            build = random.choice((1, 2)) if update_number < 12 else random.choice((2, 3))
            state = random.choice(
                (
                    InstanceState.READY,
                    InstanceState.READY,
                    InstanceState.READY,
                    InstanceState.DRAINING,
                    InstanceState.REMOVED,
                )
            )
            self.entries[number] = self._entry(
                number, build, state, random.choice((LONG_AGO, self.now - SECOND))
            )
        if update_number % 5 == 4:
            self.faulty_instances = set(random.sample(sorted(self.entries), 2))
        self.gateway.on_endpoint_list(
            self.now,
            list(self.entries.values()),
            is_snapshot=update_number % 3 == 0,
            is_poll_response=random.random() < 0.8,
        )
        if random.random() < 0.1:
            self.gateway.on_endpoint_list_failed(self.now)

    def _update_rollout(self, update_number: int) -> None:
        """Sometimes report a rollout update with a build on trial or rolling back."""
        random = self.random
        if random.random() < 0.4:
            build = 2 if update_number < 12 else 3
            phase = random.choice((RolloutPhase.ON_TRIAL, RolloutPhase.ON_TRIAL, RolloutPhase.ROLLING_BACK))
            cap = random.choice((0.2, 1.0)) if phase == RolloutPhase.ON_TRIAL else 0.0
            self.gateway.on_rollout_update(
                self.now,
                build,
                int(cap == 1.0),
                phase,
                cap,
                is_vote_response=random.random() < 0.2,
                is_valid=True,
                is_stale=False,
            )

    def _report_counts(self, update_number: int) -> None:
        """Send a tally, a gossip payload, which is sometimes truncated, and a flag."""
        random = self.random
        build = random.choice((1, 2, 3))
        method = random.choice(self.start.methods).name
        attempts = random.randrange(60)
        failed = random.randrange(attempts // 3 + 1)
        self.gateway.on_tally(
            self.now, build, method, attempts, failed, 80 * MS, self.now - random.randrange(SECOND)
        )
        counts = {
            (build, method_index): Counts(
                4 * update_number, update_number, 3 * update_number, 3 * update_number * 90 * MS
            )
            for method_index in range(3)
        }
        payload = pack(9, [build], 3, counts)
        self.gateway.on_gossip(
            self.now, random.randrange(4), payload[: random.choice((len(payload), len(payload) - 3))]
        )
        self.gateway.on_flag(self.now, random.choice(sorted(self.entries)), method, self.now - SECOND // 2)

    def _carry_out_decisions(self) -> None:
        while (decision := self.gateway.next_decision(self.now)) is not None:
            self.lines.append(f"{self.now} {recorded_form(decision)}")
            self._on_decision(decision)
            if isinstance(decision, SendAttempt):
                wait = self.random.choice((5, 10, 30, 60, 200, 3000)) * MS
                wait = min(decision.timeout, self._attempt_duration(decision.instance, wait))
                self.in_flight.append(
                    (
                        self.now + wait,
                        decision.rpc_id,
                        self._next_attempt_number(decision.rpc_id),
                        decision.instance,
                    )
                )
            elif isinstance(decision, Reject | Fail):
                del self.attempt_counts[decision.rpc_id]
            elif isinstance(decision, CastVote):
                valid = self.random.random() < 0.7
                build, stage = (decision.build, decision.stage) if valid else (0, 0)
                cap = self.start.plan.caps[stage]
                stale = not valid and self.random.random() < 0.3
                self.gateway.on_rollout_update(
                    self.now,
                    build,
                    stage,
                    RolloutPhase.ON_TRIAL,
                    cap,
                    is_vote_response=True,
                    is_valid=valid,
                    is_stale=stale,
                )

    def _attempt_duration(self, _instance: Id, duration: int) -> int:
        """Return the duration of an attempt, given the duration that was drawn."""
        return duration

    def _on_decision(self, decision: Decision) -> None:
        """Process a decision before it is carried out; this class does nothing."""

    def _next_attempt_number(self, rpc_id: str) -> int:
        """Return the number of the request's next attempt, from zero."""
        if rpc_id in self.attempt_counts:
            self.attempt_counts[rpc_id] += 1
            return self.attempt_counts[rpc_id] - 1
        return 0


class InterruptedWorld(SeededWorld):
    """A world with rollout freezes, streaming responses, hedged requests and cancelled attempts.

    `event_counts` counts each of these events. A cancelled attempt ends as cancelled after the decision, and
    some attempts are never sent. Faulty instances do not respond, nor does a quarter of all instances in
    every second period of four seconds. Hedging is allowed with even seeds alone, cancelling with all.
    """

    def __init__(self, seed: int, quotas: dict[str, float] | None = None) -> None:
        self.is_hedging = seed % 2 == 0
        super().__init__(seed, quotas)
        self.interruption_random = Random(f"interruptions {seed}")
        self.event_counts: Counter[str] = Counter()

    def _settings(self) -> Startup:
        start = super()._settings()
        allowances = replace(start.allowances, hedging_allowed=self.is_hedging, cancel_allowed=True)
        return replace(start, allowances=allowances)

    def _instance_count(self) -> int:
        return 40

    def _attempt_duration(self, instance: Id, duration: int) -> int:
        silent = instance in self.faulty_instances or (
            int(instance) % 4 == 3 and self.now // (4 * SECOND) % 2 == 1
        )
        return 10 * SECOND if silent else duration

    def _interrupt(self) -> None:
        if self.interruption_random.random() < 0.01:
            zones = self.interruption_random.choice((None, frozenset[str](), frozenset("a"), frozenset("bc")))
            self.event_counts["freeze" if zones is not None else "thaw"] += 1
            self.gateway.on_rollout_freeze(self.now, zones)
        if self.interruption_random.random() < 0.1 and self.in_flight:
            _, rpc_id, attempt_number, _ = self.interruption_random.choice(self.in_flight)
            if rpc_id in self.attempt_counts:
                self.event_counts["stream"] += 1
                self.gateway.on_response_started(self.now, rpc_id, attempt_number)
        if self.interruption_random.random() < 0.05 and self.in_flight:
            row = self.interruption_random.choice(self.in_flight)
            self.in_flight.remove(row)
            self._finish_unexecuted(row[1], row[2], Outcome.NOT_SENT)

    def _finish_unexecuted(self, rpc_id: str, attempt_number: int, outcome: Outcome) -> None:
        """End an attempt with an outcome that is no evidence about the instance."""
        self.event_counts[outcome] += 1
        self.gateway.on_attempt_finished(
            self.now, rpc_id, attempt_number, outcome, rpc_id not in self.attempt_counts, 0, {}
        )

    def _carry_out_decisions(self) -> None:
        self.cancelled = list[tuple[str, int]]()
        super()._carry_out_decisions()
        for rpc_id, attempt_number in self.cancelled:
            row = next((row for row in self.in_flight if row[1:3] == (rpc_id, attempt_number)), None)
            if row is not None and self.interruption_random.random() < 0.8:
                self.in_flight.remove(row)
                self._finish_unexecuted(rpc_id, attempt_number, Outcome.CANCELLED)

    def _on_decision(self, decision: Decision) -> None:
        if isinstance(decision, CancelAttempt):
            self.event_counts["cancel"] += 1
            self.cancelled.append((decision.rpc_id, decision.attempt))
        elif isinstance(decision, SendAttempt):
            self.event_counts["hedge"] += any(row[1] == decision.rpc_id for row in self.in_flight)


KINDS_OF_WORLD = {
    "plain": (SeededWorld, None),
    "tenants": (SeededWorld, TENANT_QUOTAS),
    "interruptions": (InterruptedWorld, None),
}


def digest(seeds: int, steps: int = 1200, kind: str = "plain") -> tuple[str, int]:
    """Return the digest and the number of lines of the records of worlds with seeds 0 to `seeds` - 1."""
    record_hash = hashlib.sha256()
    lines = 0
    world_type, quotas = KINDS_OF_WORLD[kind]
    for seed in range(seeds):
        record = world_type(seed, quotas).run(steps)
        record_hash.update("\n".join(record).encode())
        lines += len(record)
    return record_hash.hexdigest(), lines


if __name__ == "__main__":
    print(*digest(int(sys.argv[1]), kind=sys.argv[2] if sys.argv[2:] else "plain"))
