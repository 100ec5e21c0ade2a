"""The settings of a small deployment for tests, and decision modules with these settings."""

from __future__ import annotations

from typing import Any

from linenbridge.decisions import Decision, LogMessage
from linenbridge.interface import (
    Allowances,
    EndpointEntry,
    Idempotency,
    InstanceState,
    Method,
    RolloutPhase,
    RolloutPlan,
    SECOND,
    Startup,
)
from linenbridge.policy import DecisionModule

MS = 1_000
LONG_AGO = -100 * SECOND


def startup(**changes) -> Startup:
    """Return the settings of a deployment with three methods; `changes` replaces fields of the rollout plan
    or the allowances.
    """
    methods = (
        Method("look", Idempotency.IDEMPOTENT, "all", 0, SECOND, 1.0),
        Method("store", Idempotency.IDEMPOTENT_BY_KEY, "zone", 5 * SECOND, SECOND, 2.0),
        Method("charge", Idempotency.NON_IDEMPOTENT, "all", 0, SECOND, 4.0),
    )
    plan: dict[str, Any] = dict(
        by_timer=False,
        in_place=False,
        shares=(0.17, 1.0),
        caps=(0.2, 1.0),
        closed_stages=1,
        per_method=False,
        burst_attempts=2.0,
        forward_only=False,
        vote_ttl=6 * SECOND,
        rollback_votes=2,
        tally_period=0,
        calls_per_second=0.0,
    )
    allowances: dict[str, Any] = dict(
        max_attempts=3,
        hedging_allowed=True,
        cancel_allowed=True,
        max_retry_after=SECOND,
        polls_endpoints=False,
        slow_start_floor=0.3,
        slow_start_duration=4 * SECOND,
        slow_start_multiple=2.0,
        weighted_by_work=False,
        over_quota_weight=0.1,
        gateway_number=0,
        gateway_count=4,
        gossip_allowed=False,
        idle_timeout=15 * SECOND,
        connect_timeout=250 * MS,
    )
    for name, value in changes.items():
        (plan if name in plan else allowances)[name] = value
    return Startup(methods, {}, RolloutPlan(**plan), Allowances(**allowances))


def entry(
    instance: int,
    build: int = 1,
    state: InstanceState = InstanceState.READY,
    started: int = LONG_AGO,
    zone: str = "a",
):
    return EndpointEntry(instance, build, zone, 0, state, 1.0, started)


def pull_decisions(gateway: DecisionModule, now: int) -> list[Decision]:
    """Return all pending decisions except log messages."""
    decisions = []
    while (decision := gateway.next_decision(now)) is not None:
        decisions.append(decision)
    return [decision for decision in decisions if not isinstance(decision, LogMessage)]


def new_gateway(now: int = 0, **changes) -> DecisionModule:
    """Return a decision module with three instances at build 1 and one at build 2, in its last stage."""
    gateway = DecisionModule(startup(**changes), seed=7, now=now)
    entries = [entry(1), entry(2), entry(3, zone="b"), entry(4, build=2)]
    gateway.on_endpoint_list(now, entries, is_snapshot=True, is_poll_response=True)
    gateway.on_rollout_update(now, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)
    return gateway
