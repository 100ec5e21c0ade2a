"""The contract between a host and the decision module (`linenbridge.policy`).

A host builds one `Gateway` from a `Startup` and a seed, tells it what happened through the `on_...` calls,
then pulls `next_decision(now)` until it returns None and wakes the gateway again at `wake_at()`.
Every time is a whole number of microseconds on the host's clock; ids are kept as the host gives them.

A decision is a plain tuple that starts with one of the names below:

    (PICK, rpc, instance, time_out)      send the RPC to an instance
    (CANCEL, rpc, pick_number)           stop waiting for one pick
    (PUSH_BACK, rpc, retry_after)        final answer: trying again is harmless
    (ABORT, rpc)                         final answer: nothing is promised
    (VOTE, build, stage, verdict)        cast or take back this gateway's vote
    (TELL, peer, words)                  send a few bytes to one peer by number, or to all where it is None
    (WATCH,)                             ask for changes of the instance list
    (LOG, text)                          one line for the people on call
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

PICK, CANCEL, PUSH_BACK, ABORT = "pick", "cancel", "push_back", "abort"
VOTE, TELL, WATCH, LOG = "vote", "tell", "watch", "log"

IDEMPOTENT, TOKENED, NON_IDEMPOTENT = "idempotent", "tokened", "non_idempotent"
OK, ERROR, FULL, TIMED_OUT = "ok", "error", "full", "timed_out"
UNREACHED, BROKEN, CANCELLED, UNSENT = "unreached", "broken", "cancelled", "unsent"
SPOILT = "spoilt"  # It answered, with what cannot be read: the pick may have run.
NEVER_RAN = frozenset((FULL, UNREACHED, UNSENT))

Id = int | str  # of instances and keys: a number or a word, as the host's wire has it

GONE, READY, DRAINING = 0, 1, 2
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = 0, 1, 2, 3
NO_VOTE, ON, HOLD, BACK = 0, 1, 2, 3
MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class Method:
    """One row of the method table."""

    name: str
    effect: str
    group: str
    token_window: int
    soft_deadline: int
    utility: float


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """How the platform stages a build and counts votes."""

    by_timer: bool
    in_place: bool
    shares: tuple[float, ...]
    caps: tuple[float, ...]
    closed_stages: int
    per_method: bool
    spare_picks: float
    forward_only: bool
    vote_stands: int
    back_votes: int
    tally_period: int
    calls_per_second: float


@dataclass(frozen=True, slots=True)
class Allowances:
    """What this gateway may do, and the figures of the rules it keeps."""

    max_picks: int
    second_copies: bool
    may_cancel: bool
    retry_after_most: int
    asks_for_list: bool
    cold_from: float
    cold: int
    fall_multiple: float
    by_work: bool
    over_share_utility: float
    number: int
    gateways: int
    may_tell: bool
    idle_close: int
    connect_wait: int


@dataclass(frozen=True, slots=True)
class Startup:
    """All that a gateway is given when it starts."""

    methods: tuple[Method, ...]
    tenant_shares: Mapping[str, float]
    plan: RolloutPlan
    allowances: Allowances


class ListEntry(NamedTuple):
    """What the instance list says of one instance."""

    instance: Id
    build: int
    zone: str
    cell: Id
    state: int
    size: float
    started: int


class Gateway(Protocol):
    """What a host may call. Inputs only update what is known; decisions are pulled."""

    def on_list(self, now: int, entries: list[ListEntry], *, whole: bool, answers: bool) -> None: ...
    def on_list_failed(self, now: int) -> None: ...
    def on_rpc(
        self, now: int, rpc: str, method: str, ttl: int, work: int | None, tenant: str, key: Id | None
    ) -> None: ...
    def on_gone(self, now: int, rpc: str) -> None: ...
    def on_stream(self, now: int, rpc: str, pick: int) -> None: ...
    def on_reply(
        self, now: int, rpc: str, pick: int, outcome: str, final: bool, took: int, load: dict[str, float]
    ) -> None: ...
    def on_stage(
        self, now: int, build: int, stage: int, phase: int, cap: float, *, vote: bool, valid: bool, moot: bool
    ) -> None: ...
    def on_tally(
        self, now: int, build: int, method: str, picks: int, failed: int, took: int, ended: int
    ) -> None: ...
    def on_peer(self, now: int, peer: int, words: bytes) -> None: ...
    def on_flag(self, now: int, instance: Id, method: str, sent: int) -> None: ...
    def on_hold(self, now: int, zones: frozenset[str] | None) -> None: ...
    def next_decision(self, now: int) -> tuple | None: ...
    def wake_at(self) -> int | None: ...
