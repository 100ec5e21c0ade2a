"""The ticket ledger: what was handed out to proxies and what is known of it. Keeps state without I/O.

One request at a proxy, over all its streams, is one RPC; each time it is handed out it gets a ticket. The
ledger says what a stream that opens is (a new RPC, a further attempt, one that must not go out), until when a
ticket may be used and reported on, and which ids may have run and are therefore never handed out again. It
must never choose an instance or an outcome: the decision module does, and hears what the ledger knows.

A method with an effect is known by its request id alone, whichever proxy names it: two proxies that share an
id may be two ways of one request. An idempotent one is known by its proxy and id, and an id in use twice is
simply two RPCs.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from linenbridge.interface import Idempotency, NOT_EXECUTED, Id

# What a stream that opens is.
TAKE, AGAIN, MAY_HAVE_RUN, FULL_HOUSE, NO_ID = "take", "again", "may_have_run", "full_house", "no_id"
# Why the ledger wakes.
UNUSED, UNREPORTED, LEFT = "unused", "unreported", "left"

ATTEMPT_MOST = 1_000  # a count beyond it is taken for this
SHARE_FREE = 0.5  # of the ledger: up to here nobody is held to a share


@dataclass(frozen=True, slots=True)
class TicketTerms:
    """What the ledger goes by; times in microseconds."""

    use_within: int  # from the decision: the proxy sends within this time, or not at all
    retry_within: int  # after a failed attempt: how long a further one of the same request is waited for
    remember: int  # how long an id with an effect is known after its end
    open_most: int  # RPCs open at once
    remember_most: int  # ids kept


@dataclass(slots=True, eq=False)
class Ticket:
    """One hand-out. `outcome` is None while nothing is known of it."""

    number: int
    instance: Id
    build: int
    decided: int
    use_by: int
    report_by: int
    given: bool = False
    outcome: str | None = None


@dataclass(slots=True, eq=False)
class Entry:
    """One RPC. `number` of its picks and what the module was told of each stand in `tickets`."""

    id: str
    request: str
    proxy: str
    effect: str
    attempt: int
    tickets: list[Ticket] = field(default_factory=list)
    between: int = 0  # since when a further attempt is waited for; 0 where none is
    ended: bool = False

    def last(self) -> Ticket | None:
        return self.tickets[-1] if self.tickets else None

    def out(self) -> Ticket | None:
        """The ticket that was given and of which nothing is known yet; one at most."""
        ticket = self.last()
        return ticket if ticket is not None and ticket.given and ticket.outcome is None else None

    def reserved(self) -> Ticket | None:
        """A decision for which no stream has come yet."""
        ticket = self.last()
        return ticket if ticket is not None and not ticket.given and ticket.outcome is None else None

    def may_have_run(self) -> bool:
        return any(ticket.given and ticket.outcome not in NOT_EXECUTED for ticket in self.tickets)


@dataclass(frozen=True, slots=True)
class Known:
    """An id whose RPC is over: until when it is kept, and whether it may have run."""

    until: int
    ran: bool


class Ledger:
    """All tickets of one gateway."""

    def __init__(self, terms: TicketTerms) -> None:
        self.terms = terms
        self.open: dict[tuple[str, str], Entry] = {}
        self.by_id: dict[str, Entry] = {}
        self.known: OrderedDict[str, Known] = OrderedDict()
        self.per_proxy: dict[str, int] = {}
        self.serial = count()
        self.due: list[tuple[int, int, Entry, Ticket | None]] = []

    # ---- streams that open -----------------------------------------------------------------------

    def admit(
        self, now: int, proxy: str, request: str, attempt: int, effect: str
    ) -> tuple[str, Entry | None]:
        """What a stream is that names this request. `attempt` is the proxy's own count, 1 for the first.

        A count above one of a request with an effect that is not known here means that it went out without
        us, or under an earlier life that left no record: it may have run. So does a gap in the counts.
        """
        attempt = min(max(1, attempt), ATTEMPT_MOST)
        if effect == Idempotency.IDEMPOTENT:
            entry = self.open.get((proxy, request)) if request else None
            if entry is not None and attempt > entry.attempt:
                entry.attempt = attempt
                return AGAIN, entry
            return self._new(now, proxy, request, attempt, effect)
        if not request:
            return NO_ID, None
        if (entry := self.open.get(("", request))) is not None:
            if entry.proxy != proxy or attempt != entry.attempt + 1:
                return MAY_HAVE_RUN, entry
            entry.attempt = attempt
            return AGAIN, entry
        self._forget(now)
        if (known := self.known.get(request)) is not None:
            if known.ran:
                return MAY_HAVE_RUN, None
        elif attempt > 1:
            return MAY_HAVE_RUN, None
        if len(self.known) + len(self.open) >= self.terms.remember_most:
            return FULL_HOUSE, None  # Rather than forget one that may have run.
        return self._new(now, proxy, request, attempt, effect)

    def _new(self, now: int, proxy: str, request: str, attempt: int, effect: str) -> tuple[str, Entry | None]:
        """A place for one more RPC. When more than half are held, none holds more than an equal share."""
        held, proxies = self.per_proxy.get(proxy, 0), len(self.per_proxy.keys() | {proxy})
        crowded = len(self.by_id) >= self.terms.open_most * SHARE_FREE
        if len(self.by_id) >= self.terms.open_most or (
            crowded and held >= max(1, self.terms.open_most // proxies)
        ):
            return FULL_HOUSE, None
        entry = Entry(f"{proxy}/{request}/{next(self.serial)}", request, proxy, effect, attempt)
        key = (proxy if effect == Idempotency.IDEMPOTENT else "", request)
        if request and key not in self.open:
            self.open[key] = entry
        self.by_id[entry.id] = entry
        self.per_proxy[proxy] = held + 1
        return TAKE, entry

    # ---- what becomes of tickets -----------------------------------------------------------------

    def decided(
        self, now: int, entry: Entry, number: int, instance: Id, build: int, time_out: int, waits: bool
    ) -> Ticket:
        """The module's pick for an RPC; `waits` where a stream is there to be told at once. What is told must
        be used within the terms' time of the decision: so the proxy's own delay is inside every limit that
        counts from it."""
        ticket = Ticket(
            number, instance, build, now, now + min(self.terms.use_within, time_out), now + time_out
        )
        entry.tickets.append(ticket)
        if waits:
            self.give(entry, ticket)
        else:
            self._wake(ticket.use_by, entry, ticket)
        return ticket

    def give(self, entry: Entry, ticket: Ticket) -> None:
        """The ticket goes to a stream: from here on it may be used."""
        ticket.given, entry.between = True, 0
        self._wake(ticket.report_by, entry, ticket)

    def ended(self, ticket: Ticket, outcome: str) -> bool:
        """What is known of a ticket now; False where something was known already: the first word counts."""
        if ticket.outcome is not None:
            return False
        ticket.outcome = outcome
        return True

    def waits(self, now: int, entry: Entry) -> None:
        """An attempt has failed and the request is not over: a further stream may come."""
        entry.between = now
        self._wake(now + self.terms.retry_within, entry, None)

    def over(self, now: int, entry: Entry, answered: bool) -> None:
        """The one place where an RPC leaves the ledger. One with an effect is remembered; one that certainly
        never ran may come again under its id."""
        if entry.ended:
            return
        entry.ended = True
        del self.by_id[entry.id]
        key = (entry.proxy if entry.effect == Idempotency.IDEMPOTENT else "", entry.request)
        if self.open.get(key) is entry:
            del self.open[key]
        left = self.per_proxy[entry.proxy] - 1
        if left:
            self.per_proxy[entry.proxy] = left
        else:
            del self.per_proxy[entry.proxy]
        if entry.effect != Idempotency.IDEMPOTENT and entry.tickets:
            self.remember(entry.request, now + self.terms.remember, answered or entry.may_have_run())

    def remember(self, request: str, until: int, ran: bool) -> None:
        """An id that is over, here or in an earlier life."""
        before = self.known.pop(request, None)
        self.known[request] = Known(until, ran or (before is not None and before.ran))

    def ran(self, request: str) -> bool:
        """Whether an id that is over may have run."""
        return (known := self.known.get(request)) is not None and known.ran

    def recall(self, requests: Iterator[tuple[str, int]]) -> int:
        """Ids that earlier lives handed out, each with the time until which it counts; gives their number."""
        number = 0
        for request, until in requests:
            self.remember(request, until, True)
            number += 1
        return number

    def _forget(self, now: int) -> None:
        """Ids whose time is over go, in the order in which they came."""
        while self.known and next(iter(self.known.values())).until <= now:
            self.known.popitem(last=False)

    # ---- time ------------------------------------------------------------------------------------

    def _wake(self, at: int, entry: Entry, ticket: Ticket | None) -> None:
        heapq.heappush(self.due, (at, next(self.serial), entry, ticket))

    def _stale(self, entry: Entry, ticket: Ticket | None, at: int) -> bool:
        if ticket is None:
            return entry.ended or not entry.between or entry.between + self.terms.retry_within > at
        return ticket.outcome is not None or (ticket.given and at < ticket.report_by)

    def wake_at(self) -> int | None:
        while self.due and self._stale(self.due[0][2], self.due[0][3], self.due[0][0]):
            heapq.heappop(self.due)
        return self.due[0][0] if self.due else None

    def overdue(self, now: int) -> Iterator[tuple[str, Entry, Ticket | None]]:
        """What time has decided: a pick that no stream came for, a ticket that nothing was said of, a request
        whose further attempt did not come."""
        while self.due and self.due[0][0] <= now:
            at, _, entry, ticket = heapq.heappop(self.due)
            if not self._stale(entry, ticket, at):
                yield LEFT if ticket is None else UNREPORTED if ticket.given else UNUSED, entry, ticket
