"""The settings of a gateway and their conversion to the decision module's `Startup`.

Both hosts decode their settings into a `SettingsObject`. `name=` gives the name of a field in the settings
where it differs from the attribute. The module also maps the field names of load reports. It makes no
decisions, and the only figures in it are default values. Times are seconds in the settings and microseconds
in `Startup`.
"""

from __future__ import annotations

from typing import Final, Literal

from msgspec import Struct, field

from linenbridge.interface import SECOND, Allowances, Idempotency, Method, RolloutPlan, Startup

IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_BY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
LOAD_REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "waiting",
    "busy": "busy",
    "lat_ms": "service_ms",
    "inflight": "in_flight",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_ms",
}  # internal names of the fields of load reports, by the names that instances use
LONG_AGO: Final = -(10**12)  # microseconds; start time of an instance that was already running


class SettingsObject(Struct):
    """The settings; decoding a malformed value raises an error with the field's documented name."""

    discovery: Literal["push", "ask"]
    methods: list[MethodSettings] = field(name="profiles")
    rollout: RolloutSettings = field(name="family_info")
    allowances: AllowanceSettings = field(name="permissions")
    slow_start: SlowStartSettings = field(name="rules")
    tenants: list[TenantSettings] = []
    weighted_by: str = field(name="value_by", default="request")
    over_quota_weight: float = field(name="over_share_worth", default=1.0)
    gateway_number: int = field(name="slot_no", default=0)
    gateway_count: int = field(name="balancers", default=1)

    def max_deadline(self) -> int:
        """Return the longest deadline of any method in microseconds."""
        return micros(max(method.max_deadline for method in self.methods))


class MethodSettings(Struct):
    """The settings of a method. Times are seconds."""

    name: str
    latency_objective: float = field(name="aim")
    max_deadline: float = field(name="give_up")
    priority_weight: float = field(name="worth")
    idempotency: Literal["repeatable", "by_key", "once"]
    group: Literal["all", "zone", "cell"] = "all"
    idempotency_window: float = field(name="window", default=0.0)


class TenantSettings(Struct):
    """The settings of a tenant; its quota is a share of the gateway's requests, 0 to 1."""

    name: str
    quota: float = field(name="share")


class RolloutSettings(Struct):
    """The stages of a rollout and how votes are counted. Times are seconds, shares are 0 to 1."""

    gate: Literal["any", "share", "timer"] = field(name="gate_mode")
    style: Literal["beside", "in_place"]
    shares: list[float]
    caps: list[float]
    closed_stages: int
    caps_per: Literal["all", "class"] = field(name="per")
    burst_attempts: float = field(name="spare_tries")
    forward_only: bool
    vote_ttl: float = field(name="vote_stands")
    response_timeout: float = field(name="answer_wait")
    rollback_votes: int = field(name="back_votes", default=1)
    tally_period: float = field(name="metrics_period", default=0.0)
    calls_per_second: float = field(name="api_rate", default=0.0)


class AllowanceSettings(Struct):
    """What the gateway may do. Times are seconds."""

    max_attempts: int
    hedging_allowed: bool = field(name="second_copies")
    cancel_allowed: bool = field(name="may_cancel")
    retry_after_allowed: bool = field(name="retry_after")
    max_retry_after: float
    idle_timeout: float = field(name="idle_close")
    connect_timeout: float
    gossip_allowed: bool = field(name="may_tell", default=False)


class SlowStartSettings(Struct):
    """How instances warm up.

    `floor` is the share of its capacity that an instance starts with, `duration` the time in seconds until it
    has all of it, and `multiple` the multiple of the mean load that overloads it meanwhile.
    """

    floor: float = field(name="cold_from")
    duration: float = field(name="cold")
    multiple: float = field(name="fall_multiple")


def micros(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(seconds * SECOND)


def startup(settings: SettingsObject) -> Startup:
    """Convert the settings to the configuration of the decision module."""
    return Startup(
        methods=tuple(_method(method) for method in settings.methods),
        tenant_quotas={tenant.name: tenant.quota for tenant in settings.tenants},
        plan=_plan(settings.rollout),
        allowances=_allowances(settings),
    )


def _method(method: MethodSettings) -> Method:
    return Method(
        name=method.name,
        idempotency=IDEMPOTENCY[method.idempotency],
        group=method.group,
        idempotency_window=micros(method.idempotency_window),
        latency_objective=micros(method.latency_objective),
        priority_weight=method.priority_weight,
    )


def _plan(rollout: RolloutSettings) -> RolloutPlan:
    return RolloutPlan(
        by_timer=rollout.gate == "timer",
        in_place=rollout.style == "in_place",
        shares=tuple(rollout.shares),
        caps=tuple(rollout.caps),
        closed_stages=rollout.closed_stages,
        per_method=rollout.caps_per == "class",
        burst_attempts=rollout.burst_attempts,
        forward_only=rollout.forward_only,
        vote_ttl=micros(rollout.vote_ttl),
        rollback_votes=rollout.rollback_votes,
        tally_period=micros(rollout.tally_period),
        calls_per_second=rollout.calls_per_second,
    )


def _allowances(settings: SettingsObject) -> Allowances:
    allowed = settings.allowances
    return Allowances(
        max_attempts=allowed.max_attempts,
        hedging_allowed=allowed.hedging_allowed,
        cancel_allowed=allowed.cancel_allowed,
        max_retry_after=micros(allowed.max_retry_after) if allowed.retry_after_allowed else 0,
        polls_endpoints=settings.discovery == "ask",
        slow_start_floor=settings.slow_start.floor,
        slow_start_duration=micros(settings.slow_start.duration),
        slow_start_multiple=settings.slow_start.multiple,
        weighted_by_work=settings.weighted_by == "work",
        over_quota_weight=settings.over_quota_weight,
        gateway_number=settings.gateway_number,
        gateway_count=settings.gateway_count,
        gossip_allowed=allowed.gossip_allowed,
        idle_timeout=micros(allowed.idle_timeout),
        connect_timeout=micros(allowed.connect_timeout),
    )
