"""What a proxy's report is worth. Decides without I/O, from reports alone, in the design's way of thinking.

A partner's proxy says what came of each ticket, and nothing makes it say the truth. So the decision module
hears of a report only what cannot be turned against others:

- From a proxy that the settings do not call our own: that the pick is over. Nothing of the instance, nothing
  of the build; and no proof that a method with an effect has not run.
- From one of our own: the outcome, as long as it reports on what it is given, in time, and does not
  contradict the others. Two cumulative sums for each proxy say so: one rises with each ok where the others
  see failures, the other with each failure where the others see none; each starts anew when the proxy says
  the contrary.
  Above five nats the proxy is set aside for a while, and its reports count like a partner's.

It must never say more than was reported, and never keeps a word about single requests.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import exp, log

from linenbridge.interface import Outcome, Idempotency, NOT_EXECUTED

LEVEL = 5.0  # nats, as the design's least threshold
FLOOR, MOST, ENOUGH, PLAIN = 0.01, 0.95, 20.0, 0.05
BLEAK_STEP = (
    1.25  # a failure where others see none: five in a row, as an honest proxy may meet one sick instance
)
MEMORY = 30_000_000  # microseconds after which a count weighs 1/e
ASIDE = 60_000_000
MISSING_MOST, MISSING_LEAST = 0.2, 20.0
PROXIES_MOST, ROWS_MOST = 256, 64


@dataclass(slots=True)
class Fading:
    """Counts that fade."""

    good: float = 0.0
    bad: float = 0.0
    at: int = 0

    def add(self, now: int, good: float, bad: float) -> None:
        keep = exp(min(0, self.at - now) / MEMORY)
        self.good, self.bad, self.at = self.good * keep + good, self.bad * keep + bad, max(now, self.at)

    def seen(self, now: int) -> tuple[float, float]:
        keep = exp(min(0, self.at - now) / MEMORY)
        return self.good * keep, self.bad * keep


class Witness:
    """What is known of one proxy's reports."""

    __slots__ = ("aside_until", "outcomes", "reports", "sums", "why")

    def __init__(self) -> None:
        self.reports = Fading()  # good: came in time; bad: late or never
        self.outcomes: OrderedDict[tuple[int, str], Fading] = OrderedDict()
        self.sums = {"rosy": 0.0, "bleak": 0.0}
        self.aside_until, self.why = 0, ""


class Evidence:
    """All proxies' standing. `ours` names those whose reports may be evidence."""

    def __init__(self, ours: frozenset[str]) -> None:
        self.ours = ours
        self.witnesses: OrderedDict[str, Witness] = OrderedDict()
        self.all: OrderedDict[tuple[int, str], Fading] = OrderedDict()
        self.notes: list[str] = []

    def _witness(self, proxy: str) -> Witness:
        witness = self.witnesses.get(proxy)
        if witness is None:
            witness = self.witnesses[proxy] = Witness()
            if len(self.witnesses) > PROXIES_MOST:
                self.witnesses.popitem(last=False)
        self.witnesses.move_to_end(proxy)
        return witness

    def missed(self, now: int, proxy: str) -> None:
        """A ticket of which the proxy said nothing in time."""
        if proxy in self.ours:
            self._witness(proxy).reports.add(now, 0.0, 1.0)

    def heard(self, now: int, proxy: str, build: int, method: str, effect: str, outcome: str) -> str:
        """The outcome that the module is told for one that a proxy reports in time."""
        if proxy not in self.ours:
            return self._partner(effect, outcome)
        witness = self._witness(proxy)
        witness.reports.add(now, 1.0, 0.0)
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._compare(now, proxy, witness, (build, method), outcome == Outcome.OK)
        came, missed = witness.reports.seen(now)
        if came + missed >= MISSING_LEAST and missed > MISSING_MOST * (came + missed):
            self._set_aside(now, proxy, witness, f"leaves out {missed:.0f} of {came + missed:.0f} reports")
        return self._partner(effect, outcome) if now < witness.aside_until else outcome

    def counts(self, now: int, proxy: str) -> bool:
        """Whether the proxy's reports are evidence at present."""
        witness = self.witnesses.get(proxy)
        return proxy in self.ours and (witness is None or now >= witness.aside_until)

    @staticmethod
    def _partner(effect: str, outcome: str) -> str:
        return (
            Outcome.NOT_SENT
            if outcome in NOT_EXECUTED and effect == Idempotency.IDEMPOTENT
            else Outcome.CANCELLED
        )

    @staticmethod
    def _add(now: int, rows: OrderedDict[tuple[int, str], Fading], key: tuple[int, str], ok: bool) -> None:
        rows.setdefault(key, Fading(at=now)).add(now, float(ok), float(not ok))
        rows.move_to_end(key)
        if len(rows) > ROWS_MOST:
            rows.popitem(last=False)

    def _compare(self, now: int, proxy: str, witness: Witness, key: tuple[int, str], ok: bool) -> None:
        """Against what all others saw of the same method at the same build, where that is enough."""
        good, bad = self.all[key].seen(now) if key in self.all else (0.0, 0.0)
        mine = witness.outcomes[key].seen(now) if key in witness.outcomes else (0.0, 0.0)
        good, bad = max(0.0, good - mine[0]), max(0.0, bad - mine[1])
        self._add(now, self.all, key, ok)
        self._add(now, witness.outcomes, key, ok)
        if good + bad < ENOUGH:
            return
        share = min(max(bad / (good + bad), FLOOR), MOST)
        if ok:
            # One that says ok for everything never says otherwise; an honest one does, at the others' share.
            witness.sums["rosy"] += log(1 / (1 - share)) if share >= PLAIN else 0.0
            witness.sums["bleak"] = 0.0
        else:
            witness.sums["bleak"] += BLEAK_STEP if share < PLAIN else 0.0
            witness.sums["rosy"] = 0.0
        for name, what in (("rosy", "ok"), ("bleak", "failed")):
            if witness.sums[name] > LEVEL:
                others = f"the others see {share:.2f} fail"
                self._set_aside(
                    now, proxy, witness, f"says {what} where {others}, W {witness.sums[name]:.1f}"
                )
                witness.sums[name] = 0.0

    def _set_aside(self, now: int, proxy: str, witness: Witness, why: str) -> None:
        if now >= witness.aside_until:
            self.notes.append(f"set aside {proxy}: {why}")
        witness.aside_until, witness.why = now + ASIDE, why
