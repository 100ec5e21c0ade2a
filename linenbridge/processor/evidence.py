"""What a proxy's report counts for. Decides without I/O, from reports alone.

A proxy reports what came of each attempt, and nothing makes it report the truth. So the decision module is
given of a report only what cannot be turned against others:

- From a proxy that is not one of our own by the settings: that the attempt is over. Nothing of the instance,
  nothing of the build, and no proof that a method with an effect was not executed.
- From one of our own: the outcome, as long as the proxy reports on what is dispatched to it, in time, and
  does not contradict the others. Two cumulative sums for each proxy say so (as for builds, docs/design.md):
  one rises with each success where the others see failures, the other with each failure where the others see
  none; each starts again at 0 when the proxy reports the contrary. Above the threshold the proxy is
  distrusted for a while, and its reports count like those of any other proxy.

Nothing is kept about single requests.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp, log
from typing import NamedTuple

from linenbridge.interface import NOT_EXECUTED, Idempotency, Outcome

SUM_THRESHOLD = 5.0  # nats: the least threshold of the design
MIN_FAILURE_SHARE = 0.01  # the others' share of failures is taken within these bounds
MAX_FAILURE_SHARE = 0.95
MIN_OTHERS_REPORTS = 20.0  # of the same method at the same build; with fewer nothing is compared
CLEAR_FAILURE_SHARE = 0.05  # from here on the others see failures, below it they see none
PESSIMISM_STEP = 1.25  # nats a failure: five in a row, as an honest proxy may meet one sick instance
DECAY_TIME = 30_000_000  # microseconds after which a count weighs 1/e
DISTRUST_TIME = 60_000_000  # microseconds
MAX_MISSING_SHARE = 0.2  # of the reports that were due
MIN_DUE_REPORTS = 20.0  # with fewer, missing ones count for nothing
MAX_PROXIES = 256
MAX_COUNTED_METHODS = 64  # pairs of build and method, for all proxies and for each


class BuildMethod(NamedTuple):
    """A method at a build."""

    build: int
    method: str


class Counts(NamedTuple):
    """Decayed numbers of successes and failures, or of reports that came and that did not."""

    good: float
    bad: float


class Distrusted(NamedTuple):
    """A proxy whose reports count for nothing from now on, and why, in words for operators."""

    proxy: str
    reason: str


@dataclass(slots=True)
class DecayingCounts:
    """Counts that decay exponentially. Times are microseconds."""

    good: float = 0.0
    bad: float = 0.0
    updated_at: int = 0

    def add(self, now: int, good: float, bad: float) -> None:
        """Decay until now, then add."""
        decayed = self.at(now)
        self.good = decayed.good + good
        self.bad = decayed.bad + bad
        self.updated_at = max(now, self.updated_at)

    def at(self, now: int) -> Counts:
        """The counts, decayed until now."""
        weight = exp(min(0, self.updated_at - now) / DECAY_TIME)
        return Counts(self.good * weight, self.bad * weight)


Rows = OrderedDict[BuildMethod, DecayingCounts]


@dataclass(slots=True)
class ProxyRecord:
    """What is known of one proxy's reports. The sums are in nats."""

    reports: DecayingCounts = field(default_factory=DecayingCounts)  # good: in time; bad: missing
    outcomes: Rows = field(default_factory=OrderedDict)
    optimism: float = 0.0  # successes where the others see failures
    pessimism: float = 0.0  # failures where the others see none
    distrusted_until: int = 0


class Evidence:
    """The reports of all proxies; `own_proxies` are those whose reports may be evidence. `notices` holds the
    proxies that were distrusted since the caller last emptied it."""

    def __init__(self, own_proxies: frozenset[str]) -> None:
        self.own_proxies = own_proxies
        self.proxies: OrderedDict[str, ProxyRecord] = OrderedDict()  # the one used last is last
        self.all: Rows = OrderedDict()
        self.notices: list[Distrusted] = []

    def on_missing_report(self, now: int, proxy: str) -> None:
        """A proxy has not reported on an attempt in time."""
        if proxy in self.own_proxies:
            self._record(proxy).reports.add(now, 0.0, 1.0)

    def on_report(
        self, now: int, proxy: str, build: int, method: str, effect: str, outcome: Outcome
    ) -> Outcome:
        """The outcome that the decision module is given for one that a proxy reports in time."""
        if proxy not in self.own_proxies:
            return _untrusted_outcome(effect, outcome)
        record = self._record(proxy)
        record.reports.add(now, 1.0, 0.0)
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._compare(now, proxy, record, BuildMethod(build, method), succeeded=outcome == Outcome.OK)
        received, missing = record.reports.at(now)
        due = received + missing
        if due >= MIN_DUE_REPORTS and missing > MAX_MISSING_SHARE * due:
            self._distrust(now, proxy, record, f"leaves out {missing:.0f} of {due:.0f} reports")
        return _untrusted_outcome(effect, outcome) if now < record.distrusted_until else outcome

    def is_trusted(self, now: int, proxy: str) -> bool:
        """Whether the proxy's reports are evidence at present."""
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
        """Compare with what all others have reported of the same method at the same build, if that is
        enough."""
        others = self._others(now, record, key)
        _add(now, self.all, key, succeeded=succeeded)
        _add(now, record.outcomes, key, succeeded=succeeded)
        reports = others.good + others.bad
        if reports < MIN_OTHERS_REPORTS:
            return
        share = min(max(others.bad / reports, MIN_FAILURE_SHARE), MAX_FAILURE_SHARE)
        if succeeded:
            # A proxy that always reports success never reports otherwise; an honest one does, at the others'
            # share.
            record.optimism += log(1 / (1 - share)) if share >= CLEAR_FAILURE_SHARE else 0.0
            record.pessimism = 0.0
        else:
            record.pessimism += PESSIMISM_STEP if share < CLEAR_FAILURE_SHARE else 0.0
            record.optimism = 0.0
        if record.optimism > SUM_THRESHOLD:
            reason = f"says ok where the others see {share:.2f} fail, W {record.optimism:.1f}"
            self._distrust(now, proxy, record, reason)
            record.optimism = 0.0
        if record.pessimism > SUM_THRESHOLD:
            reason = f"says failed where the others see {share:.2f} fail, W {record.pessimism:.1f}"
            self._distrust(now, proxy, record, reason)
            record.pessimism = 0.0

    def _others(self, now: int, record: ProxyRecord, key: BuildMethod) -> Counts:
        """The reports of all proxies without this one's."""
        all_reports = _counts_at(now, self.all, key)
        own = _counts_at(now, record.outcomes, key)
        return Counts(max(0.0, all_reports.good - own.good), max(0.0, all_reports.bad - own.bad))

    def _distrust(self, now: int, proxy: str, record: ProxyRecord, reason: str) -> None:
        if now >= record.distrusted_until:
            self.notices.append(Distrusted(proxy, reason))
        record.distrusted_until = now + DISTRUST_TIME


def _untrusted_outcome(effect: str, outcome: Outcome) -> Outcome:
    """An outcome without evidence: an attempt that can be repeated harmlessly may count as not sent."""
    can_repeat = outcome in NOT_EXECUTED and effect == Idempotency.IDEMPOTENT
    return Outcome.NOT_SENT if can_repeat else Outcome.CANCELLED


def _counts_at(now: int, rows: Rows, key: BuildMethod) -> Counts:
    return rows[key].at(now) if key in rows else Counts(0.0, 0.0)


def _add(now: int, rows: Rows, key: BuildMethod, *, succeeded: bool) -> None:
    """Count one report; the row that was used longest ago goes beyond the bound."""
    rows.setdefault(key, DecayingCounts(updated_at=now)).add(now, float(succeeded), float(not succeeded))
    rows.move_to_end(key)
    if len(rows) > MAX_COUNTED_METHODS:
        rows.popitem(last=False)
