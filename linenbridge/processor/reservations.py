"""The reservation ledger: the attempts that were dispatched to proxies, and the outcome of each. No I/O.

One request of a proxy, over all its streams, is one RPC; each dispatch of the RPC has an attempt reservation.
The ledger classifies a new stream (a new RPC, a retry, or a request that must not be dispatched), tracks
until when a reservation may be used and reported on, and records the ids of requests that may have been
executed, which are never dispatched again. The decision module chooses instances and outcomes; the ledger
does neither.

A request to a non-idempotent method is identified by its request id alone, because one request may arrive
through two proxies. A request to an idempotent method is identified by its proxy and id; a second request
with an id that is in use is a separate RPC.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from typing import NamedTuple

from linenbridge.interface import NOT_EXECUTED, Id, Idempotency, Outcome

MAX_ATTEMPT = 1_000  # larger attempt counts are clamped to this value
UNSHARED_FRACTION = 0.5  # of the open RPCs; shares per proxy are enforced above it


class Admission(StrEnum):
    """The classification of a new stream. The values are names of counters and log fields."""

    ACCEPTED = "accepted"  # a new RPC
    RETRY = "retry"  # a further attempt of an open RPC
    MAYBE_EXECUTED = "maybe_executed"  # an earlier attempt may have been executed: must not be dispatched
    CAPACITY_EXHAUSTED = "capacity_exhausted"
    NO_ID = "no_id"  # a non-idempotent method without a request id


class ExpiryReason(StrEnum):
    """The event that did not occur before a deadline."""

    UNUSED = "unused"  # no stream used a reservation
    UNREPORTED = "unreported"  # no report on a dispatched reservation
    NOT_RETRIED = "not_retried"  # no retry followed a failed attempt


@dataclass(frozen=True, slots=True)
class ReservationTerms:
    """Time limits, in microseconds, and capacity limits of the ledger."""

    use_within: int  # maximum from the decision until the proxy sends the request
    retry_within: int  # maximum from a failed attempt to the retry of the same request
    remember_for: int  # how long a non-idempotent request's id is kept after its end
    max_open: int  # RPCs
    max_remembered: int  # ids


@dataclass(slots=True, eq=False)
class AttemptReservation:
    """One attempt at an instance. `outcome` is None until it is known; times are in microseconds."""

    number: int  # the decision module's number of the attempt
    instance: Id
    build: int
    decided_at: int
    use_by: int
    report_by: int
    dispatched: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class RpcEntry:
    """One RPC with its reservations, the most recent last."""

    id: str
    request: str
    proxy: str
    effect: str
    attempt: int
    reservations: list[AttemptReservation] = field(default_factory=list)
    awaiting_retry_since: int = 0  # microseconds; 0 if no retry is awaited
    ended: bool = False

    def _undecided(self, *, dispatched: bool) -> AttemptReservation | None:
        for reservation in reversed(self.reservations):
            if reservation.outcome is None and reservation.dispatched == dispatched:
                return reservation
        return None

    def in_flight(self) -> AttemptReservation | None:
        """Return the dispatched reservation without an outcome, if any; there is at most one."""
        return self._undecided(dispatched=True)

    def reserved(self) -> AttemptReservation | None:
        """Return the reservation that no stream has used yet, if any; there is at most one."""
        return self._undecided(dispatched=False)

    def maybe_executed(self) -> bool:
        """Return whether any attempt may have been executed."""
        return any(one.dispatched and one.outcome not in NOT_EXECUTED for one in self.reservations)


class EndedRequest(NamedTuple):
    """The record of an ended RPC's id: its expiry, and whether the RPC may have been executed."""

    expires_at: int
    maybe_executed: bool


class Admitted(NamedTuple):
    """The classification of a stream, and the RPC that it belongs to, if any."""

    admission: Admission
    entry: RpcEntry | None = None


class Expired(NamedTuple):
    """A deadline that has passed; `reservation` is None for a retry that did not arrive."""

    reason: ExpiryReason
    entry: RpcEntry
    reservation: AttemptReservation | None


class _Deadline(NamedTuple):
    """A time at which to check an RPC again; `serial` orders equal times."""

    at: int
    serial: int
    entry: RpcEntry
    reservation: AttemptReservation | None  # None for the deadline of a retry


class ReservationLedger:
    """All reservations of one gateway. Times are in whole microseconds."""

    def __init__(self, terms: ReservationTerms) -> None:
        self.terms = terms
        # Keys are the proxy ("" for non-idempotent methods) and the request id.
        self.open: dict[tuple[str, str], RpcEntry] = {}
        self.by_id: dict[str, RpcEntry] = {}
        self.ended: OrderedDict[str, EndedRequest] = OrderedDict()  # by request id, in order of their end
        self.per_proxy: dict[str, int] = {}  # number of open RPCs
        self._serial = count()
        self._deadlines: list[_Deadline] = []  # a heap

    # ---- admission of streams -----------------------------------------------------------------------

    def admit(self, now: int, proxy: str, request: str, attempt: int, effect: str) -> Admitted:
        """Classify a new stream for a request. `attempt` is the proxy's own count, 1 for the first attempt.

        A non-idempotent request that is unknown here but has a count above 1 may have been executed: the
        proxy sent it without this gateway, or an earlier process dispatched it and left no record. A gap in
        the counts has the same meaning.
        """
        attempt = min(max(1, attempt), MAX_ATTEMPT)
        if effect == Idempotency.IDEMPOTENT:
            entry = self.open.get((proxy, request)) if request else None
            if entry is not None and attempt > entry.attempt:
                entry.attempt = attempt
                return Admitted(Admission.RETRY, entry)
            return self._add(proxy, request, attempt, effect)
        if not request:
            return Admitted(Admission.NO_ID)
        entry = self.open.get(("", request))
        if entry is None:
            return self._admit_unknown(now, proxy, request, attempt, effect)
        if entry.proxy != proxy or attempt != entry.attempt + 1:
            return Admitted(Admission.MAYBE_EXECUTED, entry)
        entry.attempt = attempt
        return Admitted(Admission.RETRY, entry)

    def _admit_unknown(self, now: int, proxy: str, request: str, attempt: int, effect: str) -> Admitted:
        """Classify a stream for a non-idempotent request whose id is not open."""
        self._drop_expired(now)
        ended = self.ended.get(request)
        if ended.maybe_executed if ended is not None else attempt > 1:
            return Admitted(Admission.MAYBE_EXECUTED)
        if len(self.ended) + len(self.open) >= self.terms.max_remembered:
            # Dropping an id instead could allow a second execution of its request.
            return Admitted(Admission.CAPACITY_EXHAUSTED)
        return self._add(proxy, request, attempt, effect)

    def _add(self, proxy: str, request: str, attempt: int, effect: str) -> Admitted:
        """Add an RPC if there is capacity.

        While more than UNSHARED_FRACTION of the capacity is in use, no proxy may exceed an equal share.
        """
        open_count = len(self.by_id)
        of_proxy = self.per_proxy.get(proxy, 0)
        if open_count >= self.terms.max_open:
            return Admitted(Admission.CAPACITY_EXHAUSTED)
        if open_count >= self.terms.max_open * UNSHARED_FRACTION:
            proxies = len(self.per_proxy.keys() | {proxy})
            if of_proxy >= max(1, self.terms.max_open // proxies):
                return Admitted(Admission.CAPACITY_EXHAUSTED)
        entry = RpcEntry(f"{proxy}/{request}/{next(self._serial)}", request, proxy, effect, attempt)
        key = _key(entry)
        if request and key not in self.open:
            self.open[key] = entry
        self.by_id[entry.id] = entry
        self.per_proxy[proxy] = of_proxy + 1
        return Admitted(Admission.ACCEPTED, entry)

    # ---- reservations ----------------------------------------------------------------------------

    def reserve(
        self,
        now: int,
        entry: RpcEntry,
        number: int,
        instance: Id,
        build: int,
        timeout: int,
        *,
        dispatch: bool,
    ) -> AttemptReservation:
        """Reserve the module's attempt for an RPC, and dispatch it if a stream waits for it (`dispatch`).

        The reservation must be used within `use_within` of the decision, so that every limit that counts from
        the decision includes the proxy's own delay.
        """
        use_by = now + min(self.terms.use_within, timeout)
        reservation = AttemptReservation(number, instance, build, now, use_by, now + timeout)
        entry.reservations.append(reservation)
        if dispatch:
            self.dispatch(entry, reservation)
        else:
            self._add_deadline(use_by, entry, reservation)
        return reservation

    def dispatch(self, entry: RpcEntry, reservation: AttemptReservation) -> None:
        """Mark a reservation as dispatched to a stream; from now on the proxy may use it."""
        reservation.dispatched = True
        entry.awaiting_retry_since = 0
        self._add_deadline(reservation.report_by, entry, reservation)

    def record_outcome(self, reservation: AttemptReservation, outcome: Outcome) -> bool:
        """Record the outcome of a reservation; return False if it already has one."""
        if reservation.outcome is not None:
            return False
        reservation.outcome = outcome
        return True

    def await_retry(self, now: int, entry: RpcEntry) -> None:
        """Set the deadline for the retry of a request whose attempt has failed or whose stream has ended."""
        entry.awaiting_retry_since = now
        self._add_deadline(now + self.terms.retry_within, entry, None)

    def finish(self, now: int, entry: RpcEntry, *, answered: bool) -> None:
        """Remove an RPC. Every removal passes through here.

        The id of a non-idempotent request is kept; it may be used again only if no attempt can have been
        executed.
        """
        if entry.ended:
            return
        entry.ended = True
        del self.by_id[entry.id]
        key = _key(entry)
        if self.open.get(key) is entry:
            del self.open[key]
        left = self.per_proxy[entry.proxy] - 1
        if left:
            self.per_proxy[entry.proxy] = left
        else:
            del self.per_proxy[entry.proxy]
        if entry.effect != Idempotency.IDEMPOTENT and entry.reservations:
            executed = answered or entry.maybe_executed()
            self.remember(entry.request, now + self.terms.remember_for, maybe_executed=executed)

    def remember(self, request: str, expires_at: int, *, maybe_executed: bool) -> None:
        """Keep the id of an RPC that has ended, in this or an earlier process, until `expires_at`."""
        before = self.ended.pop(request, None)
        executed = maybe_executed or (before is not None and before.maybe_executed)
        self.ended[request] = EndedRequest(expires_at, executed)

    def maybe_executed(self, request: str) -> bool:
        """Return whether the ended RPC with this request id may have been executed."""
        ended = self.ended.get(request)
        return ended is not None and ended.maybe_executed

    def load(self, requests: Iterator[tuple[str, int]]) -> int:
        """Add ids that earlier processes dispatched, each with its expiry; return their number."""
        number = 0
        for request, expires_at in requests:
            self.remember(request, expires_at, maybe_executed=True)
            number += 1
        return number

    def _drop_expired(self, now: int) -> None:
        """Remove expired ids, up to the first one that has not expired."""
        while self.ended and next(iter(self.ended.values())).expires_at <= now:
            self.ended.popitem(last=False)

    # ---- time ------------------------------------------------------------------------------------

    def _add_deadline(self, at: int, entry: RpcEntry, reservation: AttemptReservation | None) -> None:
        heapq.heappush(self._deadlines, _Deadline(at, next(self._serial), entry, reservation))

    def _is_obsolete(self, deadline: _Deadline) -> bool:
        entry, reservation = deadline.entry, deadline.reservation
        if reservation is not None:
            return reservation.outcome is not None or (
                reservation.dispatched and deadline.at < reservation.report_by
            )
        since = entry.awaiting_retry_since
        return entry.ended or not since or since + self.terms.retry_within > deadline.at

    def wake_at(self) -> int | None:
        """Return the time of the next deadline, or None if there is none."""
        while self._deadlines and self._is_obsolete(self._deadlines[0]):
            heapq.heappop(self._deadlines)
        return self._deadlines[0].at if self._deadlines else None

    def take_expired(self, now: int) -> Iterator[Expired]:
        """Remove the deadlines that have passed, in order of time, and yield each that is still valid."""
        while self._deadlines and self._deadlines[0].at <= now:
            deadline = heapq.heappop(self._deadlines)
            if not self._is_obsolete(deadline):
                yield Expired(_expiry_reason(deadline.reservation), deadline.entry, deadline.reservation)


def _expiry_reason(reservation: AttemptReservation | None) -> ExpiryReason:
    if reservation is None:
        return ExpiryReason.NOT_RETRIED
    return ExpiryReason.UNREPORTED if reservation.dispatched else ExpiryReason.UNUSED


def _key(entry: RpcEntry) -> tuple[str, str]:
    """Return the key of an open RPC; a non-idempotent request has one key for all proxies."""
    return entry.proxy if entry.effect == Idempotency.IDEMPOTENT else "", entry.request
