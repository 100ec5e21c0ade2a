"""The decision module: passes the events of a host to its components and returns their decisions one by one.

Times are whole microseconds on the host's clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random

from linenbridge.decisions import Decision, WatchEndpoints
from linenbridge.interface import (
    EndpointEntry,
    Id,
    Outcome,
    RolloutPhase,
    Startup,
    Vote,
)
from linenbridge.policy.change_detection import ChangeDetector
from linenbridge.policy.concurrency_limits import INITIAL_LIMIT, ConcurrencyLimits
from linenbridge.policy.dispatch import Dispatcher
from linenbridge.policy.endpoint_polling import EndpointPolling
from linenbridge.policy.evidence import EvidenceCollector
from linenbridge.policy.exposure import ExposureLimits
from linenbridge.policy.gossip import GossipExchange
from linenbridge.policy.hedging import Hedger
from linenbridge.policy.load_balancing import LoadBalancer
from linenbridge.policy.load_shedding import LoadShedder
from linenbridge.policy.log_messages import LogMessages
from linenbridge.policy.outlier_detection import OutlierDetector
from linenbridge.policy.priorities import RequestPriorities
from linenbridge.policy.rollout_freeze import RolloutFreeze
from linenbridge.policy.rollout_votes import RolloutVoter
from linenbridge.policy.safety_rules import SafetyRules
from linenbridge.policy.slow_start import FLEET_SIZE_TIME_CONSTANT, SlowStart
from linenbridge.policy.timing import (
    FINAL_RESPONSE_MARGIN,
    INITIAL_RESPONSE_TIME_FRACTION,
    RESPONSE_WEIGHT,
    sweep_period,
)
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import OpenRequests, Request
from linenbridge.state.rollout import KeyAffinity, RolloutState
from linenbridge.state.traffic import ResponseTimes, Traffic

IDLE_SWEEP_PERIOD = 250_000  # microseconds between two sweeps while no request is open


class DecisionModule:
    """All decisions of one gateway; implements `linenbridge.interface.DecisionMaker`."""

    def __init__(self, startup: Startup, seed: int, now: int) -> None:
        allowances = startup.allowances
        methods = startup.methods
        random = Random(seed)  # shared: the order of the draws is part of the behaviour
        self.methods = methods
        self.method_indices = {method.name: index for index, method in enumerate(methods)}
        self.sweep_period = sweep_period(methods)
        self._next_sweep_at = now
        self._decisions: Iterator[Decision] | None = None
        # State that several components share.
        self.fleet = Fleet(allowances.gateway_number, now)
        self.requests = OpenRequests()
        self.rollout = RolloutState()
        self.affinity = KeyAffinity(self.rollout, startup.plan.forward_only)
        self.traffic = Traffic(len(methods), now)
        self.response_times = ResponseTimes(
            [method.latency_objective * INITIAL_RESPONSE_TIME_FRACTION for method in methods], RESPONSE_WEIGHT
        )
        self.log = LogMessages()
        self.polling = EndpointPolling(allowances.polls_endpoints, random, now)
        self._create_instance_components(startup, random)
        self._create_build_components(startup, random, now)
        self._create_request_components(startup, random)

    def _create_instance_components(self, startup: Startup, random: Random) -> None:
        """Create the components for the load and the health of instances."""
        self.shedder = LoadShedder(startup, self.fleet, self.traffic, self.response_times, random)
        self.slow_start = SlowStart(startup, self.fleet, self.shedder, random)
        self.limits = ConcurrencyLimits(startup, self.fleet)
        self.outliers = OutlierDetector(self.fleet, self.sweep_period, self.log)

    def _create_build_components(self, startup: Startup, random: Random, now: int) -> None:
        """Create the components for rollouts: evidence on builds, votes, gossip and exposure."""
        self.freeze = RolloutFreeze(self.rollout, self.fleet, self.log)
        self.detector = ChangeDetector(startup, self.rollout, self.fleet, self.log)
        self.voter = RolloutVoter(
            startup, self.rollout, self.fleet, self.freeze, self.detector, random, self.log, now
        )
        self.gossip = GossipExchange(startup, self.rollout, self.voter, random, now)
        self.evidence = EvidenceCollector(
            startup, self.fleet, self.traffic, self.slow_start, self.detector, self.gossip
        )
        self.exposure = ExposureLimits(startup, self.rollout, self.freeze, self.traffic)

    def _create_request_components(self, startup: Startup, random: Random) -> None:
        """Create the components that order requests and send their attempts."""
        self.priorities = RequestPriorities(startup, self.response_times)
        self.safety = SafetyRules(startup, self.requests, self.fleet, self.sweep_period)
        self.balancer = LoadBalancer(
            startup,
            self.fleet,
            self.rollout,
            self.affinity,
            self.safety,
            self.exposure,
            self.slow_start,
            self.limits,
            self.outliers,
            random,
        )
        self.dispatcher = Dispatcher(
            startup,
            self.fleet,
            self.safety,
            self.exposure,
            self.slow_start,
            self.shedder,
            self.balancer,
            self.response_times,
        )
        self.hedger = Hedger(
            startup,
            self.fleet,
            self.requests,
            self.traffic,
            self.response_times,
            self.safety,
            self.balancer,
            self.outliers,
            self.dispatcher,
            self.sweep_period,
        )

    def on_endpoint_list(
        self, now: int, entries: list[EndpointEntry], *, is_snapshot: bool, is_poll_response: bool
    ) -> None:
        """Apply an endpoint list: a snapshot of all instances, or only its changes."""
        self.fleet.update(
            entries,
            is_snapshot=is_snapshot,
            response_gap=self.outliers.initial_gap,
            concurrency_limit=INITIAL_LIMIT,
            used=self.requests.used_indices(),
        )
        if is_poll_response:
            self.polling.on_response()
        self.fleet.update_ready_size(now, FLEET_SIZE_TIME_CONSTANT)
        builds = self.fleet.ready_by_build
        if builds:
            self.rollout.on_listed(builds)
            self.affinity.on_ready_builds(min(builds))
            self._observe_build(max(builds))

    def on_endpoint_list_failed(self, now: int) -> None:
        """Schedule a retry after a request for the endpoint list has failed."""
        self.polling.on_failure(now)

    def on_request(
        self,
        now: int,
        rpc_id: str,
        method: str,
        ttl: int,
        work: int | None,
        tenant: str,
        key: Id | None,
        can_hedge: bool = True,
    ) -> None:
        """Admit a request whose deadline is `ttl` microseconds away; `work` is in microseconds too.

        `can_hedge` is false if its attempts can only be sent one after the other.
        """
        method_index = self.method_indices[method]
        cost = self.traffic.admit(method_index, work, RESPONSE_WEIGHT)
        weight = self.priorities.weight(now, method_index, tenant)
        self.balancer.on_request(now)
        deadline = now + ttl
        objective = min(now + self.methods[method_index].latency_objective, deadline)
        request = Request(rpc_id, method_index, now, objective, deadline, cost, weight, key, can_hedge)
        self.requests.add(request, max(now, deadline - FINAL_RESPONSE_MARGIN))
        self.dispatcher.enqueue(request)

    def on_client_disconnected(self, now: int, rpc_id: str) -> None:  # noqa: ARG002  # required by the interface
        """End a request whose client has disconnected; its attempts in flight are not cancelled."""
        request = self.requests.get(rpc_id)
        if request is not None:
            self.requests.end(request)

    def on_response_started(self, now: int, rpc_id: str, attempt: int) -> None:  # noqa: ARG002  # required by the interface
        """Mark a request as streaming: its response is being sent to the client."""
        request = self.requests.get(rpc_id)
        if request is not None:
            request.streaming = True

    def on_attempt_finished(
        self,
        now: int,
        rpc_id: str,
        attempt: int,
        outcome: Outcome,
        is_final: bool,
        duration: int,
        load: Mapping[str, float],
    ) -> None:
        """Record how an attempt ended, and the instance's load report.

        `is_final` means that the client has its final response.
        """
        request = self.requests.get(rpc_id)
        if request is None or attempt >= len(request.attempts):
            return
        finished = request.attempts[attempt]
        if finished.outcome is not None:
            return
        finished.outcome = outcome
        self.outliers.on_attempt_finished(now, finished.instance_index, outcome, load)
        self.shedder.on_attempt_finished(now, finished, outcome, request)
        self.limits.on_attempt_finished(now, finished, outcome, duration, request)
        self.evidence.on_attempt_finished(now, finished, outcome, duration, request.method_index)
        if outcome == Outcome.OK:
            self.affinity.on_response(request.key, finished.build)
            self.response_times.add(request.method_index, duration)
        if is_final or request.ended:
            self.requests.end(request)
        elif not request.in_flight():
            self.dispatcher.enqueue(request)

    def on_rollout_update(
        self,
        now: int,
        build: int,
        stage: int,
        phase: RolloutPhase,
        cap: float,
        *,
        is_vote_response: bool,
        is_valid: bool,
        is_stale: bool = False,
    ) -> None:
        """Apply a build's stage, phase and cap from a rollout update or from the response to a vote.

        A vote response that is not valid contains no state; `is_stale` means that the vote was for a stage
        other than the current one.
        """
        if is_vote_response:
            self.voter.on_response(now, is_valid=is_valid, is_stale=is_stale)
        if not is_valid or build < self.rollout.build:
            return
        if self.rollout.update(build, stage, phase, cap):
            self.log.rollout(build, stage, phase, cap)
        self.affinity.on_rollout_update()
        if self.fleet.ready_by_build:
            self.affinity.on_ready_builds(min(self.fleet.ready_by_build))
        self.exposure.on_caps_changed()
        self.voter.on_rollout_update()
        self._observe_build(build)

    def on_tally(
        self, now: int, build: int, method: str, attempts: int, failed: int, duration: int, ended: int
    ) -> None:
        """Add the platform's tally of all gateways' outcomes in a period."""
        self.evidence.on_tally(now, build, method, attempts, failed, duration, ended)

    def on_gossip(self, now: int, peer: int, payload: bytes) -> None:
        """Add the outcome counts in a peer's message."""
        self.evidence.on_gossip(now, peer, payload)

    def on_flag(self, now: int, instance: Id, method: str, sent: int) -> None:  # noqa: ARG002  # required by the interface
        """Count a reported wrong response to an attempt that was sent at `sent`."""
        self.evidence.on_flag(instance, method, sent)

    def on_rollout_freeze(self, now: int, zones: frozenset[str] | None) -> None:  # noqa: ARG002  # required by the interface
        """Freeze rollouts in these zones, or everywhere if the set is empty; None lifts the freeze."""
        self.freeze.change(zones)
        self.exposure.on_caps_changed()

    def _observe_build(self, build: int) -> None:
        """Note a listed or reported build; a new latest build restarts the change detection."""
        if self.rollout.observe(build):
            self.detector.restart()

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision, or None if there is none at present."""
        if self._decisions is None:
            self._decisions = self._decide(now)
        decision = next(self._decisions, None)
        if decision is None:
            self._decisions = None
        return decision

    def wake_at(self) -> int | None:
        """Return the time of the next deadline or sweep.

        Return None if no request is open, no endpoint list has to be requested and the rollout is complete.
        """
        due = self.requests.next_due()
        if self.requests or self.polling.next_at is not None or not self._is_rollout_complete():
            return self._next_sweep_at if due is None else min(due, self._next_sweep_at)
        return due

    def _is_rollout_complete(self) -> bool:
        """Return whether the latest build is reported and no longer on trial, and no vote is in effect."""
        rollout = self.rollout
        if rollout.build != rollout.latest_build or rollout.phase == RolloutPhase.ON_TRIAL:
            return False
        return self.voter.cast_vote == Vote.NONE

    def _decide(self, now: int) -> Iterator[Decision]:
        """Yield all decisions that are due now."""
        if self.polling.is_due(now):
            yield WatchEndpoints()
        for request in self.requests.overdue(now):
            yield self.safety.final_response(now, request)
        if now >= self._next_sweep_at:
            yield from self.hedger.decisions(now)
            self._next_sweep_at = now + (self.sweep_period if self.requests else IDLE_SWEEP_PERIOD)
        elif self.requests:
            self._next_sweep_at = min(self._next_sweep_at, now + self.sweep_period)
        yield from self.dispatcher.decisions(now)
        vote = self.voter.due_vote(now)
        if vote is not None:
            yield vote
        yield from self.gossip.due_messages(now)
        while self.log.pending:
            yield self.log.pending.popleft()
