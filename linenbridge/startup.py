"""The settings object that both hosts are given, and the module's `Startup` made of it.

Owns the settings' names and units, and what the names in load reports stand for. It only translates: it
must never decide, nor hold a figure of its own beyond the settings' stated defaults.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from linenbridge.interface import Allowances, Idempotency, Method, RolloutPlan, Startup

IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_BY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
LOADS = {
    "rif": "in_flight", "q": "waiting", "busy": "busy", "lat_ms": "service_ms",
    "inflight": "in_flight", "queue": "waiting", "util": "busy", "latency_ms": "service_ms",
}  # fmt: skip
LONG_AGO = -(10**12)


class Info(Struct):
    """The settings object; what is malformed fails with the name of the field."""

    discovery: Literal["push", "ask"]
    profiles: list[Profile]
    family_info: Family
    permissions: Permissions
    rules: Rules
    tenants: list[Tenant] = []
    value_by: str = "request"
    over_share_worth: float = 1.0
    slot_no: int = 0
    balancers: int = 1


class Profile(Struct):
    name: str
    aim: float
    give_up: float
    worth: float
    idempotency: Literal["repeatable", "by_key", "once"]
    group: Literal["all", "zone", "cell"] = "all"
    window: float = 0.0


class Tenant(Struct):
    name: str
    share: float


class Family(Struct):
    gate_mode: Literal["any", "share", "timer"]
    style: Literal["beside", "in_place"]
    shares: list[float]
    caps: list[float]
    closed_stages: int
    per: Literal["all", "class"]
    spare_tries: float
    forward_only: bool
    vote_stands: float
    answer_wait: float
    back_votes: int = 1
    metrics_period: float = 0.0
    api_rate: float = 0.0


class Permissions(Struct):
    max_attempts: int
    second_copies: bool
    may_cancel: bool
    retry_after: bool
    max_retry_after: float
    idle_close: float
    connect_timeout: float
    may_tell: bool = False


class Rules(Struct):
    cold_from: float
    cold: float
    fall_multiple: float


def micros(seconds: float) -> int:
    return round(seconds * 1e6)


def startup(info: Info) -> Startup:
    """The settings in the module's own words."""
    plan, allow, rules = info.family_info, info.permissions, info.rules
    return Startup(
        methods=tuple(
            Method(
                name=row.name,
                idempotency=IDEMPOTENCY[row.idempotency],
                group=row.group,
                idempotency_window=micros(row.window),
                latency_objective=micros(row.aim),
                priority_weight=row.worth,
            )
            for row in info.profiles
        ),
        tenant_quotas={tenant.name: tenant.share for tenant in info.tenants},
        plan=RolloutPlan(
            by_timer=plan.gate_mode == "timer",
            in_place=plan.style == "in_place",
            shares=tuple(plan.shares),
            caps=tuple(plan.caps),
            closed_stages=plan.closed_stages,
            per_method=plan.per == "class",
            burst_attempts=plan.spare_tries,
            forward_only=plan.forward_only,
            vote_ttl=micros(plan.vote_stands),
            rollback_votes=plan.back_votes,
            tally_period=micros(plan.metrics_period),
            calls_per_second=plan.api_rate,
        ),
        allowances=Allowances(
            max_attempts=allow.max_attempts,
            hedging_allowed=allow.second_copies,
            cancel_allowed=allow.may_cancel,
            max_retry_after=micros(allow.max_retry_after) if allow.retry_after else 0,
            polls_endpoints=info.discovery == "ask",
            slow_start_floor=rules.cold_from,
            slow_start_duration=micros(rules.cold),
            slow_start_multiple=rules.fall_multiple,
            weighted_by_work=info.value_by == "work",
            over_quota_weight=info.over_share_worth,
            gateway_number=info.slot_no,
            gateway_count=info.balancers,
            gossip_allowed=allow.may_tell,
            idle_timeout=micros(allow.idle_close),
            connect_timeout=micros(allow.connect_timeout),
        ),
    )
