"""The reservation ledger: which attempts were dispatched to proxies, and what is known of each. No I/O.

One request at a proxy, over all its streams, is one RPC; each time it is dispatched it has an attempt
reservation. The ledger says what a stream that opens is (a new RPC, a retry, one that must not go out), until
when a reservation may be used and reported on, and which ids may have been executed and are therefore never
dispatched again. The decision module chooses instances and outcomes; the ledger does neither.

A method with an effect is known by its request id alone, whichever proxy names it: two proxies that share an
id may be two ways of one request. An idempotent one is known by its proxy and id, and an id in use twice is
simply two RPCs.
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

MAX_ATTEMPT = 1_000  # an attempt count beyond it is taken for this
UNSHARED_FRACTION = 0.5  # of the ledger: up to here no proxy is held to a share


class Admission(StrEnum):
    """What a stream that opens is. The values are names of counters and of lines of the log."""

    ACCEPTED = "accepted"  # a new RPC
    RETRY = "retry"  # a further attempt of an open RPC
    MAYBE_EXECUTED = "maybe_executed"  # an earlier attempt may have been executed: it must not go out
    CAPACITY_EXHAUSTED = "capacity_exhausted"
    NO_ID = "no_id"  # a method with an effect and no request id


class ExpiryReason(StrEnum):
    """What time has decided."""

    UNUSED = "unused"  # no stream came for a reservation
    UNREPORTED = "unreported"  # nothing was reported of a dispatched one
    NOT_RETRIED = "not_retried"  # no further attempt came after a failed one


@dataclass(frozen=True, slots=True)
class ReservationTerms:
    """The times and bounds of the ledger; times in microseconds."""

    use_within: int  # from the decision: the proxy sends within this time, or not at all
    retry_within: int  # after a failed attempt: how long a further one of the same request may take to come
    remember_for: int  # how long an id with an effect is known after its end
    max_open: int  # RPCs open at once
    max_remembered: int  # ids


@dataclass(slots=True, eq=False)
class AttemptReservation:
    """One attempt at an instance. `outcome` is None while nothing is known of it; times in microseconds."""

    number: int  # of the module's attempt
    instance: Id
    build: int
    decided_at: int
    use_by: int
    report_by: int
    dispatched: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class RpcEntry:
    """One RPC with its reservations, the newest last."""

    id: str
    request: str
    proxy: str
    effect: str
    attempt: int
    reservations: list[AttemptReservation] = field(default_factory=list)
    awaiting_retry_since: int = 0  # microseconds; 0 where no further attempt is awaited
    ended: bool = False

    def _undecided(self, *, dispatched: bool) -> AttemptReservation | None:
        if not self.reservations:
            return None
        last = self.reservations[-1]
        return last if last.outcome is None and last.dispatched == dispatched else None

    def in_flight(self) -> AttemptReservation | None:
        """The reservation that was dispatched and of which nothing is known yet; there is one at most."""
        return self._undecided(dispatched=True)

    def reserved(self) -> AttemptReservation | None:
        """The reservation for which no stream has come yet; there is one at most."""
        return self._undecided(dispatched=False)

    def maybe_executed(self) -> bool:
        """Whether any attempt may have been executed."""
        return any(one.dispatched and one.outcome not in NOT_EXECUTED for one in self.reservations)


class EndedRequest(NamedTuple):
    """An id whose RPC is over: until when it is kept, and whether it may have been executed."""

    expires_at: int
    maybe_executed: bool


class Admitted(NamedTuple):
    """What a stream is, and the RPC that it belongs to, if any."""

    admission: Admission
    entry: RpcEntry | None = None


class Expired(NamedTuple):
    """A time that has come; `reservation` is None for a retry that did not come."""

    reason: ExpiryReason
    entry: RpcEntry
    reservation: AttemptReservation | None


class _Deadline(NamedTuple):
    """A time to look at an RPC again; `serial` orders equal times."""

    at: int
    serial: int
    entry: RpcEntry
    reservation: AttemptReservation | None  # None: the time by which a retry comes


class ReservationLedger:
    """All reservations of one gateway. Times are whole microseconds."""

    def __init__(self, terms: ReservationTerms) -> None:
        self.terms = terms
        self.open: dict[tuple[str, str], RpcEntry] = {}  # by proxy ("" for methods with an effect) and id
        self.by_id: dict[str, RpcEntry] = {}
        self.ended: OrderedDict[str, EndedRequest] = OrderedDict()  # by request id, the oldest first
        self.per_proxy: dict[str, int] = {}  # open RPCs
        self._serial = count()
        self._deadlines: list[_Deadline] = []  # a heap

    # ---- streams that open -----------------------------------------------------------------------

    def admit(self, now: int, proxy: str, request: str, attempt: int, effect: str) -> Admitted:
        """What a stream is that names this request. `attempt` is the proxy's own count, 1 for the first.

        A count above one of a request with an effect that is not known here means that it went out without
        this gateway, or under an earlier process that left no record: it may have been executed. So does a
        gap in the counts.
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
        """A request with an effect whose id is not open."""
        self._drop_expired(now)
        ended = self.ended.get(request)
        if ended.maybe_executed if ended is not None else attempt > 1:
            return Admitted(Admission.MAYBE_EXECUTED)
        if len(self.ended) + len(self.open) >= self.terms.max_remembered:
            return Admitted(
                Admission.CAPACITY_EXHAUSTED
            )  # rather than forget one that may have been executed
        return self._add(proxy, request, attempt, effect)

    def _add(self, proxy: str, request: str, attempt: int, effect: str) -> Admitted:
        """A place for one more RPC. While more than a fraction is taken, no proxy has more than an equal
        share."""
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
        """Reserve the module's attempt for an RPC; `dispatch` where a stream waits for it.

        It must be used within the terms' time of the decision, so that the proxy's own delay is within every
        limit that counts from it.
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
        """The reservation goes to a stream: from here on it may be used."""
        reservation.dispatched = True
        entry.awaiting_retry_since = 0
        self._add_deadline(reservation.report_by, entry, reservation)

    def record_outcome(self, reservation: AttemptReservation, outcome: Outcome) -> bool:
        """Record what is known of a reservation; False where an earlier outcome stands."""
        if reservation.outcome is not None:
            return False
        reservation.outcome = outcome
        return True

    def await_retry(self, now: int, entry: RpcEntry) -> None:
        """An attempt has failed and the request is not over: a further stream may come."""
        entry.awaiting_retry_since = now
        self._add_deadline(now + self.terms.retry_within, entry, None)

    def finish(self, now: int, entry: RpcEntry, *, answered: bool) -> None:
        """Remove an RPC; the one place where that happens. One with an effect is remembered; its id may come
        again where it is certain that no attempt was executed."""
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
        """Keep an id whose RPC is over, here or in an earlier process."""
        before = self.ended.pop(request, None)
        executed = maybe_executed or (before is not None and before.maybe_executed)
        self.ended[request] = EndedRequest(expires_at, executed)

    def maybe_executed(self, request: str) -> bool:
        """Whether an id whose RPC is over may have been executed."""
        ended = self.ended.get(request)
        return ended is not None and ended.maybe_executed

    def load(self, requests: Iterator[tuple[str, int]]) -> int:
        """Take over ids that earlier processes dispatched, each with its expiry; their number."""
        number = 0
        for request, expires_at in requests:
            self.remember(request, expires_at, maybe_executed=True)
            number += 1
        return number

    def _drop_expired(self, now: int) -> None:
        """Expired ids go, in the order in which they came."""
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
        """The time of the next deadline; None where there is none."""
        while self._deadlines and self._is_obsolete(self._deadlines[0]):
            heapq.heappop(self._deadlines)
        return self._deadlines[0].at if self._deadlines else None

    def take_expired(self, now: int) -> Iterator[Expired]:
        """Remove the deadlines that have come, in order of time, and give what each of them decides."""
        while self._deadlines and self._deadlines[0].at <= now:
            deadline = heapq.heappop(self._deadlines)
            if not self._is_obsolete(deadline):
                yield Expired(_expiry_reason(deadline.reservation), deadline.entry, deadline.reservation)


def _expiry_reason(reservation: AttemptReservation | None) -> ExpiryReason:
    if reservation is None:
        return ExpiryReason.NOT_RETRIED
    return ExpiryReason.UNREPORTED if reservation.dispatched else ExpiryReason.UNUSED


def _key(entry: RpcEntry) -> tuple[str, str]:
    """Whichever proxy names it, a request with an effect is one."""
    return entry.proxy if entry.effect == Idempotency.IDEMPOTENT else "", entry.request
