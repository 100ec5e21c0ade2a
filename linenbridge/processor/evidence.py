"""How far the reports of proxies are trusted as evidence. Uses only the reports; no I/O.

A proxy reports the outcome of each attempt, but a faulty or hostile proxy may report false outcomes. The
decision module therefore receives only the part of a report that cannot harm others:

- From a proxy that the settings do not mark as an own one: only that the attempt has ended. Such a report
  says nothing about the instance or the build, and does not prove that a non-idempotent method was not
  executed.
- From an own proxy: the outcome, provided that the proxy reports in time on most attempts dispatched to it
  and its reports agree with those of other proxies. Two cumulative sums per proxy check the agreement (as for
  builds, docs/design.md): one grows with each success where the other proxies report failures, the other with
  each failure where they report none. Each sum is reset to 0 by a report of the opposite outcome. When a sum
  exceeds the threshold, the proxy is distrusted for DISTRUST_TIME, and its reports are treated like those of
  a proxy that is not an own one.

No state is kept about single requests.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp, log
from typing import NamedTuple

from linenbridge.interface import NOT_EXECUTED, Idempotency, Outcome

SUM_THRESHOLD = 5.0  # nats: the lowest threshold in the design
MIN_FAILURE_SHARE = 0.01  # the other proxies' share of failures is clamped to these bounds
MAX_FAILURE_SHARE = 0.95
MIN_OTHERS_REPORTS = 20.0  # of one method at one build; with fewer reports no comparison is made
CLEAR_FAILURE_SHARE = 0.05  # a smaller share of failures counts as none
# Nats per failure: five failures in a row are needed, as an honest proxy may use one faulty instance.
PESSIMISM_STEP = 1.25
DECAY_TIME = 30_000_000  # microseconds after which a count weighs 1/e
DISTRUST_TIME = 60_000_000  # microseconds
MAX_MISSING_SHARE = 0.2  # of the reports that were due
MIN_DUE_REPORTS = 20.0  # with fewer reports due, missing ones are ignored
MAX_PROXIES = 256
MAX_COUNTED_METHODS = 64  # pairs of build and method, in total and per proxy


class BuildMethod(NamedTuple):
    """The key of a row of counts: a build and one of its methods."""

    build: int
    method: str


class Counts(NamedTuple):
    """Decayed numbers of successes and failures, or of received and missing reports."""

    good: float
    bad: float


class Distrusted(NamedTuple):
    """A proxy whose reports are no longer evidence, with the reason as text for operators."""

    proxy: str
    reason: str


@dataclass(slots=True)
class DecayingCounts:
    """Counts that decay exponentially. Times are in microseconds."""

    good: float = 0.0
    bad: float = 0.0
    updated_at: int = 0

    def add(self, now: int, good: float, bad: float) -> None:
        """Decay the counts until `now`, then add to them."""
        decayed = self.at(now)
        self.good = decayed.good + good
        self.bad = decayed.bad + bad
        self.updated_at = max(now, self.updated_at)

    def at(self, now: int) -> Counts:
        """Return the counts, decayed until `now`."""
        weight = exp(min(0, self.updated_at - now) / DECAY_TIME)
        return Counts(self.good * weight, self.bad * weight)


Rows = OrderedDict[BuildMethod, DecayingCounts]


@dataclass(slots=True)
class ProxyRecord:
    """Statistics on the reports of one proxy. The cumulative sums are in nats."""

    reports: DecayingCounts = field(default_factory=DecayingCounts)  # good: in time; bad: missing
    outcomes: Rows = field(default_factory=OrderedDict)
    optimism: float = 0.0  # successes where the other proxies report failures
    pessimism: float = 0.0  # failures where the other proxies report none
    distrusted_until: int = 0


class Evidence:
    """The reports of all proxies, and which proxies are trusted.

    `own_proxies` are the proxies whose reports may be evidence. `notices` holds the proxies that became
    distrusted since the caller last cleared the list.
    """

    def __init__(self, own_proxies: frozenset[str]) -> None:
        self.own_proxies = own_proxies
        self.proxies: OrderedDict[str, ProxyRecord] = OrderedDict()  # the most recently used one is last
        self.all: Rows = OrderedDict()
        self.notices: list[Distrusted] = []

    def on_missing_report(self, now: int, proxy: str) -> None:
        """Count an attempt on which a proxy has not reported in time."""
        if proxy in self.own_proxies:
            self._record(proxy).reports.add(now, 0.0, 1.0)

    def on_report(
        self, now: int, proxy: str, build: int, method: str, effect: str, outcome: Outcome
    ) -> Outcome:
        """Count a report that arrived in time, and return the outcome to pass to the decision module."""
        if proxy not in self.own_proxies:
            return _untrusted_outcome(effect, outcome)
        record = self._record(proxy)
        record.reports.add(now, 1.0, 0.0)
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._compare(now, proxy, record, BuildMethod(build, method), succeeded=outcome == Outcome.OK)
        received, missing = record.reports.at(now)
        due = received + missing
        if due >= MIN_DUE_REPORTS and missing > MAX_MISSING_SHARE * due:
            self._distrust(now, proxy, record, f"omits {missing:.0f} of {due:.0f} reports")
        return _untrusted_outcome(effect, outcome) if now < record.distrusted_until else outcome

    def is_trusted(self, now: int, proxy: str) -> bool:
        """Return whether the proxy's reports are evidence at `now`."""
        record = self.proxies.get(proxy)
        return proxy in self.own_proxies and (record is None or now >= record.distrusted_until)

    def _record(self, proxy: str) -> ProxyRecord:
        record = self.proxies.get(proxy)
        if record is None:
            record = self.proxies[proxy] = ProxyRecord()
            if len(self.proxies) > MAX_PROXIES:
                self.proxies.popitem(last=False)
        self.proxies.move_to_end(proxy)
        return record

    def _compare(
        self, now: int, proxy: str, record: ProxyRecord, key: BuildMethod, *, succeeded: bool
    ) -> None:
        """Compare a report with those of all other proxies on the same method and build.

        No comparison is made while the other proxies have fewer than MIN_OTHERS_REPORTS reports.
        """
        others = self._others(now, record, key)
        _add(now, self.all, key, succeeded=succeeded)
        _add(now, record.outcomes, key, succeeded=succeeded)
        reports = others.good + others.bad
        if reports < MIN_OTHERS_REPORTS:
            return
        share = min(max(others.bad / reports, MIN_FAILURE_SHARE), MAX_FAILURE_SHARE)
        if succeeded:
            # The log-likelihood ratio of a success: a proxy that always reports success has probability 1 for
            # it, an honest one the other proxies' share of successes.
            record.optimism += log(1 / (1 - share)) if share >= CLEAR_FAILURE_SHARE else 0.0
            record.pessimism = 0.0
        else:
            record.pessimism += PESSIMISM_STEP if share < CLEAR_FAILURE_SHARE else 0.0
            record.optimism = 0.0
        if record.optimism > SUM_THRESHOLD:
            reason = (
                f"reports success where others report a failure rate of {share:.2f}, W {record.optimism:.1f}"
            )
            self._distrust(now, proxy, record, reason)
            record.optimism = 0.0
        if record.pessimism > SUM_THRESHOLD:
            reason = (
                f"reports failure where others report a failure rate of {share:.2f}, W {record.pessimism:.1f}"
            )
            self._distrust(now, proxy, record, reason)
            record.pessimism = 0.0

    def _others(self, now: int, record: ProxyRecord, key: BuildMethod) -> Counts:
        """Return the counts of all proxies except the one of `record`."""
        all_reports = _counts_at(now, self.all, key)
        own = _counts_at(now, record.outcomes, key)
        return Counts(max(0.0, all_reports.good - own.good), max(0.0, all_reports.bad - own.bad))

    def _distrust(self, now: int, proxy: str, record: ProxyRecord, reason: str) -> None:
        if now >= record.distrusted_until:
            self.notices.append(Distrusted(proxy, reason))
        record.distrusted_until = now + DISTRUST_TIME


def _untrusted_outcome(effect: str, outcome: Outcome) -> Outcome:
    """Return the outcome that carries no evidence; only an idempotent attempt may count as not sent."""
    can_repeat = outcome in NOT_EXECUTED and effect == Idempotency.IDEMPOTENT
    return Outcome.NOT_SENT if can_repeat else Outcome.CANCELLED


def _counts_at(now: int, rows: Rows, key: BuildMethod) -> Counts:
    return rows[key].at(now) if key in rows else Counts(0.0, 0.0)


def _add(now: int, rows: Rows, key: BuildMethod, *, succeeded: bool) -> None:
    """Count one report; beyond MAX_COUNTED_METHODS rows, remove the least recently used one."""
    rows.setdefault(key, DecayingCounts(updated_at=now)).add(now, float(succeeded), float(not succeeded))
    rows.move_to_end(key)
    if len(rows) > MAX_COUNTED_METHODS:
        rows.popitem(last=False)
