"""The contract between a host and the decision module (`linenbridge.policy`).

A host builds one `DecisionModule` from a `Startup` and a seed, reports events through the `on_...` methods,
then pulls `next_decision(now)` until it returns None and calls again at `wake_at()`. Every time is a whole
number of microseconds on the host's clock. Ids are kept as the host gives them. Decisions are the types of
`linenbridge.decisions`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

if TYPE_CHECKING:
    from linenbridge.decisions import Decision

Id = int | str  # of instances and keys: a number or a string, as the host's protocol has it

MILLISECOND: Final = 1_000  # microseconds
SECOND: Final = 1_000_000  # microseconds


class Idempotency(StrEnum):
    """Whether a method may be executed more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_BY_KEY = "idempotent_by_key"  # repeats within the method's window are dropped by instances
    NON_IDEMPOTENT = "non_idempotent"


class Outcome(StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the instance, not executed
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MALFORMED_RESPONSE = "malformed_response"  # the attempt may have been executed


NOT_EXECUTED: Final = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class InstanceState(IntEnum):
    """State of an instance on the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class RolloutPhase(IntEnum):
    """Phase of a build's rollout."""

    ON_TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Vote(IntEnum):
    """A gateway's vote on a build at one stage of its rollout."""

    NONE = 0
    PROMOTE = 1
    HOLD = 2
    ROLL_BACK = 3


@dataclass(frozen=True, slots=True)
class Method:
    """One row of the method table. Times are microseconds."""

    name: str
    idempotency: str  # a value of `Idempotency`
    group: str  # instances among which repeats are dropped: "all", "zone" or "cell"
    idempotency_window: int
    latency_objective: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """How the platform stages a build and counts votes. Times are microseconds, shares are 0 to 1."""

    by_timer: bool  # stages advance on a timer, unless votes hold them
    in_place: bool  # instances are replaced, not added
    shares: tuple[float, ...]  # of the instances, by stage
    caps: tuple[float, ...]  # of the requests, by stage
    closed_stages: int  # first stages, which take idempotent methods only
    per_method: bool  # caps bind each method by itself
    burst_attempts: float  # depth of the caps' token buckets
    forward_only: bool  # a key stays at the newest build that has answered it
    vote_ttl: int
    rollback_votes: int
    tally_period: int
    calls_per_second: float


@dataclass(frozen=True, slots=True)
class Allowances:
    """What this gateway may do, and the figures of the rules it keeps. Times are microseconds."""

    max_attempts: int
    hedging_allowed: bool
    cancel_allowed: bool
    max_retry_after: int
    polls_endpoints: bool  # endpoint lists have to be requested
    slow_start_floor: float  # share of its capacity that an instance has at its start
    slow_start_duration: int
    slow_start_multiple: float  # of the mean load at which an instance in slow start collapses
    weighted_by_work: bool  # priority weights count per unit of work, not per request
    over_quota_weight: float  # factor on the priority weight beyond a tenant's quota
    gateway_number: int
    gateway_count: int
    gossip_allowed: bool
    idle_timeout: int  # after which instances close idle connections
    connect_timeout: int


@dataclass(frozen=True, slots=True)
class Startup:
    """All that a gateway is given when it starts."""

    methods: tuple[Method, ...]
    tenant_quotas: Mapping[str, float]
    plan: RolloutPlan
    allowances: Allowances


class EndpointEntry(NamedTuple):
    """One instance on the endpoint list; `started_at` is in microseconds on the host's clock."""

    instance: Id
    build: int
    zone: str
    cell: Id
    state: InstanceState
    size: float
    started_at: int


class DecisionMaker(Protocol):
    """The calls that a host makes. Inputs update state only; decisions are pulled."""

    def on_endpoint_list(
        self, now: int, entries: list[EndpointEntry], *, is_snapshot: bool, is_poll_response: bool
    ) -> None:
        """Take in an endpoint list, or its changes where it is no snapshot."""
        ...

    def on_endpoint_list_failed(self, now: int) -> None:
        """Take in that a request for the endpoint list has failed."""
        ...

    def on_request(
        self, now: int, rpc_id: str, method: str, ttl: int, work: int | None, tenant: str, key: Id | None
    ) -> None:
        """Take in a request that has arrived; `work` is the client's estimate in microseconds."""
        ...

    def on_client_disconnected(self, now: int, rpc_id: str) -> None:
        """Take in that the client of a request has disconnected; attempts in flight go on to their end."""
        ...

    def on_response_started(self, now: int, rpc_id: str, attempt: int) -> None:
        """Take in that a response has begun to stream to the client."""
        ...

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
        """Take in how an attempt ended, and the load report that came with its response."""
        ...

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
        is_stale: bool,
    ) -> None:
        """Take in the state of the newest build's rollout, or what became of a vote."""
        ...

    def on_tally(
        self, now: int, build: int, method: str, attempts: int, failed: int, duration: int, ended: int
    ) -> None:
        """Take in the platform's counts of a method at a build over a period that ended at `ended`."""
        ...

    def on_gossip(self, now: int, peer: int, payload: bytes) -> None:
        """Take in a peer's message."""
        ...

    def on_flag(self, now: int, instance: Id, method: str, sent: int) -> None:
        """Take in a client's report of a wrong response, to an attempt sent at `sent`."""
        ...

    def on_rollout_freeze(self, now: int, zones: frozenset[str] | None) -> None:
        """Freeze rollouts in these zones, everywhere where the set is empty; None lifts the freeze."""
        ...

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision; None where there is none for now."""
        ...

    def wake_at(self) -> int | None:
        """Return when to pull decisions again at the latest; None where only an input can bring one."""
        ...
