"""The contract between a host and the decision module (`linenbridge.policy`).

A host creates one `DecisionModule` from a `Startup` and a seed, and reports events through the `on_...`
methods. After each event, and at `wake_at()`, the host calls `next_decision(now)` until it returns None. All
times are whole microseconds on the host's clock. Ids are passed back as the host supplied them. The decision
types are in `linenbridge.decisions`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

if TYPE_CHECKING:
    from linenbridge.decisions import Decision

Id = int | str  # of an instance, a cell or a key; the type depends on the host's protocol

MILLISECOND: Final = 1_000  # microseconds
SECOND: Final = 1_000_000  # microseconds


class Idempotency(StrEnum):
    """Whether a method may be executed more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_BY_KEY = "idempotent_by_key"  # instances drop repeats within the idempotency window
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
    """The state of an instance on the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class RolloutPhase(IntEnum):
    """The phase of a build's rollout."""

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
    """A method of the service. Times are microseconds."""

    name: str
    idempotency: str  # a value of `Idempotency`
    group: str  # the instances that recognize a repeat by its key: "all", or those of one "zone" or "cell"
    idempotency_window: int
    latency_objective: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """The stages of a rollout and how votes are counted. Times are microseconds, shares are 0 to 1."""

    by_timer: bool  # stages advance on a timer unless votes hold them
    in_place: bool  # instances of the new build replace existing ones instead of being added
    shares: tuple[float, ...]  # share of the instances, by stage
    caps: tuple[float, ...]  # maximum share of the requests, by stage
    closed_stages: int  # number of first stages that accept idempotent methods only
    per_method: bool  # caps apply to each method separately
    burst_attempts: float  # depth of the caps' token buckets
    forward_only: bool  # requests with a key stay at the newest build that has responded to the key
    vote_ttl: int
    rollback_votes: int
    tally_period: int
    calls_per_second: float  # that the platform accepts from all gateways; 0.0 means no limit


@dataclass(frozen=True, slots=True)
class Allowances:
    """What this gateway may do, and the parameters of its safety rules. Times are microseconds."""

    max_attempts: int
    hedging_allowed: bool
    cancel_allowed: bool
    max_retry_after: int
    polls_endpoints: bool  # the host has to request endpoint lists
    slow_start_floor: float  # share of its capacity that an instance has when it starts
    slow_start_duration: int
    slow_start_multiple: float  # multiple of the mean load that overloads an instance in slow start
    weighted_by_work: bool  # priority weights count per unit of work, not per request
    over_quota_weight: float  # factor on the priority weight beyond a tenant's quota
    gateway_number: int
    gateway_count: int
    gossip_allowed: bool
    idle_timeout: int  # time after which instances close idle connections
    connect_timeout: int


@dataclass(frozen=True, slots=True)
class Startup:
    """The configuration of the decision module."""

    methods: tuple[Method, ...]
    tenant_quotas: Mapping[str, float]
    plan: RolloutPlan
    allowances: Allowances


class EndpointEntry(NamedTuple):
    """One instance on the endpoint list.

    `size` is its capacity relative to other instances, `started_at` is in microseconds on the host's clock.
    """

    instance: Id
    build: int
    zone: str
    cell: Id
    state: InstanceState
    size: float
    started_at: int


class DecisionMaker(Protocol):
    """The methods that a host calls. The `on_...` methods only update state; decisions are pulled."""

    def on_endpoint_list(
        self, now: int, entries: list[EndpointEntry], *, is_snapshot: bool, is_poll_response: bool
    ) -> None:
        """Apply an endpoint list: a snapshot of all instances, or only its changes."""
        ...

    def on_endpoint_list_failed(self, now: int) -> None:
        """Record that a request for the endpoint list has failed."""
        ...

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
        """Admit a request whose deadline is `ttl` microseconds away.

        `work` is the client's estimate of the request's work in microseconds. `can_hedge` is false if its
        transport can't send an attempt while another one is in flight, nor cancel one.
        """
        ...

    def on_client_disconnected(self, now: int, rpc_id: str) -> None:
        """Record that the client of a request has disconnected; attempts in flight are not cancelled."""
        ...

    def on_response_started(self, now: int, rpc_id: str, attempt: int) -> None:
        """Record that a response has started to stream to the client."""
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
        """Record how an attempt ended, and the load report in its response.

        `is_final` means that the client has its final response.
        """
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
        """Apply the state of the latest build's rollout, or the response to a vote.

        A vote response that is not valid contains no state; `is_stale` means that the vote was for a stage
        other than the current one.
        """
        ...

    def on_tally(
        self, now: int, build: int, method: str, attempts: int, failed: int, duration: int, ended: int
    ) -> None:
        """Add the platform's tally of a method at a build over a period that ended at `ended`.

        `duration` is the mean response time in microseconds.
        """
        ...

    def on_gossip(self, now: int, peer: int, payload: bytes) -> None:
        """Process a gossip message from the gateway with the number `peer`."""
        ...

    def on_flag(self, now: int, instance: Id, method: str, sent: int) -> None:
        """Record a client's report of a wrong response to an attempt that was sent at `sent`."""
        ...

    def on_rollout_freeze(self, now: int, zones: frozenset[str] | None) -> None:
        """Freeze rollouts in these zones, or everywhere if the set is empty; None lifts the freeze."""
        ...

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision, or None if there is none at present."""
        ...

    def wake_at(self) -> int | None:
        """Return the latest time to pull decisions again, or None if only an event can cause one."""
        ...
