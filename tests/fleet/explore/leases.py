"""The lease cores in a small world: three seats, two members that ask, every message's fate a choice.

Owns the network, the clocks, the stores and the pauses around real cores. A message is prompt, late by some
ticks, lost, or comes twice; a process is cut off, wholly or one way, or hears late from then on; a seat
starts anew with its store, without it or with an older one; a process is stopped for some ticks; an asker
leaves; the council changes member by member. The checks read what members would do at the act, never a
core's tables.
"""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.fleet.leases.asker import Asker
from linenbridge.fleet.leases.quorum import Council
from linenbridge.fleet.leases.seat import Kept, Seat
from linenbridge.fleet.leases.terms import Pace
from linenbridge.fleet.leases.words import Place, Recall, Round, Said, Table

FAST, SLOW = 5, 4  # units of a process's clock in one tick of true time: a fifth apart, as the pace says
PACE = Pace(length=40, longest=40, apart=200_000, beat=10)
LATE, STOPPED, BEHIND = (1, 4, 10), (3, 12), 4
THREE = ("a", "b", "c")


@dataclass(frozen=True)
class Scenario:
    """What may go wrong in a world, how often in all, and how long it is watched, in ticks."""

    deviations: int = 2
    ticks: int = 30
    rates: tuple[tuple[str, int], ...] = ()
    faults: tuple[str, ...] = ("late", "lost", "twice", "kept", "blank", "stopped", "leave", "anew", "cut")
    from_tick: int = 0  # nothing goes wrong before
    councils: tuple[Council, ...] = (Council(1, THREE, THREE),)
    places: int = 1
    askers: tuple[str, ...] = ("x", "y")
    seat_kind: type[Seat] = Seat
    asker_kind: type[Asker] = Asker


class Even:
    """Chance that is none: the least or the most of a range, always."""

    def __init__(self, most: bool) -> None:
        self.most = most

    def uniform(self, least: float, most: float) -> float:
        return most if self.most else least


class LeaseWorld:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.left, self.tick, self.lives = scenario, scenario.deviations, 0, 1
        first = scenario.councils[0]
        self.rates = {name: FAST for name in first.everyone()} | {name: SLOW for name in scenario.askers}
        self.rates |= dict(scenario.rates)
        self.now_of = dict.fromkeys(self.rates, 1_000)
        self.disks: dict[str, list[Kept]] = {}
        self.cores: dict[str, Seat | Asker] = {}
        for name in first.everyone():
            kept = Kept(True, first.generation, 0, PACE.longest, ())
            self.disks[name] = [kept]
            self.cores[name] = self._seat(name, first, kept, trusted=True)
        for n, name in enumerate(scenario.askers):
            self.cores[name] = self._asker(name, first, bool(n))
        self.flying: list[tuple[int, int, str, str, object]] = []
        self.posted: list[tuple[str, str, object]] = []
        self.stopped: dict[str, int] = {}
        self.cut: dict[str, str] = {}  # "cut", "deaf", "mute" or "slow", by process
        self.parted: set[tuple[str, str]] = set()
        self.at_council = dict.fromkeys(self.cores, 0)
        self.count, self.newest_act, self.broken = 0, (0, ""), ""
        for name in list(self.cores):
            self._pump(name)
        self._run()

    def _seat(self, name: str, council: Council, kept: Kept, trusted: bool) -> Seat:
        self.lives += 1_000
        return self.scenario.seat_kind(
            name, council, PACE, kept, self.now_of.get(name, 1_000), trusted=trusted, life=self.lives
        )

    def _asker(self, name: str, council: Council, most: bool) -> Asker:
        self.lives += 1_000
        asker = self.scenario.asker_kind(f"{name}#{self.lives}", council, PACE, 0, self.now_of[name])
        asker.random = Even(most)
        asker.stand_for(self.now_of[name], "task", self.scenario.places)
        return asker

    # ---- what the search asks ----------------------------------------------------------------------

    def over(self) -> bool:
        return self.tick >= self.scenario.ticks

    def breach(self) -> str | None:
        return self.broken or None

    def choices(self) -> list[str]:
        faults = self.scenario.faults if self.tick >= self.scenario.from_tick else ()
        if self.posted:
            sender, to, word = self.posted[0]
            kind = f"{type(word).__name__} {sender}>{to} at {self.tick}"
            late = [f"late {ticks} {kind}" for ticks in LATE] if "late" in faults else []
            lost = [f"lost {kind}"] if "lost" in faults else []
            return ["prompt", *late, *lost, *([f"twice {kind}"] if "twice" in faults else [])]
        found = ["on"]
        seats = [name for name, core in self.cores.items() if isinstance(core, Seat)]
        askers = [name for name, core in self.cores.items() if isinstance(core, Asker)]
        for kind in ("kept", "blank", "older"):
            found += [f"{kind} {name} at {self.tick}" for name in seats if kind in faults]
        for kind in ("leave", "anew"):
            found += [f"{kind} {name} at {self.tick}" for name in askers if kind in faults]
        if "stopped" in faults:
            found += [
                f"stopped {n} {name} at {self.tick}"
                for name in (*seats, *askers) if name not in self.stopped for n in STOPPED
            ]  # fmt: skip
        if "cut" in faults:
            kinds = [(kind, name) for name in (*seats, *askers) for kind in ("cut", "deaf", "mute", "slow")]
            found += [f"{kind} {name} at {self.tick}" for kind, name in kinds if name not in self.cut]
        if "part" in faults:
            pairs = [(one, other) for one in askers for other in seats if (one, other) not in self.parted]
            found += [f"part {one} {other} at {self.tick}" for one, other in pairs]
        if "mend" in faults:
            found += [f"mend {name} at {self.tick}" for name in self.cut]
        if "council" in faults:
            most = len(self.scenario.councils) - 1
            found += [f"council {name} at {self.tick}" for name, n in self.at_council.items() if n < most]
        return found

    def take(self, choice: str) -> None:
        kind, *words = choice.split()
        if self.posted:
            sender, to, word = self.posted.pop(0)
            if kind in ("prompt", "twice"):
                self._fly(self.tick, sender, to, word)
            if kind == "twice":
                self._fly(self.tick + 5, sender, to, word)
            if kind == "late":
                self._fly(self.tick + int(words[0]), sender, to, word)
        elif kind == "stopped":
            self.stopped[words[1]] = self.tick + int(words[0])
        elif kind in ("cut", "deaf", "mute", "slow"):
            self.cut[words[0]] = kind
        elif kind == "part":
            self.parted.add((words[0], words[1]))
        elif kind == "mend":
            del self.cut[words[0]]
        elif kind == "council":
            self._council(words[0])
        elif kind == "leave":
            self.cores[words[0]].leave(self.now_of[words[0]], "task")
            self._pump(words[0])
        elif kind == "anew":
            asker = self.cores[words[0]]
            self.cores[words[0]] = self._asker(words[0], asker.council, asker.random.most)
            self._pump(words[0])
        elif kind in ("kept", "blank", "older"):
            self._restart(words[0], kind)
        else:
            self._tick()
        self._run()

    # ---- the world ---------------------------------------------------------------------------------

    def _fly(self, tick: int, sender: str, to: str, word: object) -> None:
        if self.cut.get(sender) in ("cut", "mute") or self.cut.get(to) in ("cut", "deaf"):
            return
        if (sender, to) in self.parted or (to, sender) in self.parted:
            return
        tick += BEHIND * (self.cut.get(to) == "slow")
        self.count += 1
        self.flying.append((tick, self.count, sender, to, word))

    def _restart(self, name: str, kind: str) -> None:
        history = self.disks[name]
        kept = {"kept": history[-1], "blank": Kept(), "older": history[0]}[kind]
        if kind != "kept":
            history[:] = [kept]
        self.cores[name] = self._seat(name, self.cores[name].council, kept, trusted=False)
        self._pump(name)

    def _council(self, name: str) -> None:
        self.at_council[name] += 1
        council = self.scenario.councils[self.at_council[name]]
        for seat in council.everyone():
            if seat not in self.cores:
                self.rates.setdefault(seat, FAST)
                self.now_of[seat] = 1_000
                self.disks[seat] = [Kept()]
                self.cores[seat] = self._seat(seat, council, Kept(), trusted=False)
                self.at_council[seat] = self.at_council[name]
                self._pump(seat)
        self.cores[name].on_council(self.now_of[name], council)
        self._pump(name)

    def _tick(self) -> None:
        self.tick += 1
        for name, rate in self.rates.items():
            self.now_of[name] += rate
        for name in [name for name, until in self.stopped.items() if until <= self.tick]:
            del self.stopped[name]
            self._check()
            self._pump(name)
        for name, core in self.cores.items():
            wake = core.wake_at()
            if name not in self.stopped and wake is not None and wake <= self.now_of[name]:
                self._pump(name)
        self._check()

    def _run(self) -> None:
        """Prompt deliveries, until something is posted or all that was due is done."""
        while not self.posted:
            due = [row for row in self.flying if row[0] <= self.tick and row[3] not in self.stopped]
            if not due:
                return
            row = min(due)
            self.flying.remove(row)
            self._deliver(row[2], row[3], row[4])

    def _deliver(self, sender: str, to: str, word: object) -> None:
        core = self.cores.get(to)
        if core is None:
            return
        now = self.now_of[to]
        if isinstance(word, Round):
            core.on_round(now, word)
        elif isinstance(word, Recall):
            core.on_recall(now, word)
        elif isinstance(word, Table):
            core.on_table(now, word)
        elif isinstance(word, Said):
            core.on_said(now, word)
        self._pump(to)
        self._check()

    def _pump(self, name: str) -> None:
        if name in self.stopped:
            return
        core = self.cores[name]
        while (decision := core.next_decision(self.now_of[name])) is not None:
            kind = decision[0]
            if kind == "say":
                self.posted.append((name, decision[1].partition("#")[0], decision[2]))
            elif kind == "keep":
                self._keep(name, core, decision[1])
                if decision[3] is not None:
                    self.posted.append((name, decision[2].partition("#")[0], decision[3]))

    def _keep(self, name: str, seat: Seat, rows: list[tuple]) -> None:
        before = self.disks[name][-1]
        places = {(place.task, place.place): place for place in before.places}
        for task, place, term, holder, closed in rows:
            places[task, place] = Place(task, place, term, holder, closed, 0)
        facts = seat.facts()
        self.disks[name].append(
            Kept(
                bool(facts["remembers"]), facts["settled"], facts["stamp"], facts["longest"],
                tuple(places[key] for key in sorted(places)),
            )
        )  # fmt: skip
        del self.disks[name][1:-1]

    def _check(self) -> None:
        """At this very moment: who may act, and under which terms."""
        acting = []
        for name, core in self.cores.items():
            if isinstance(core, Asker) and name not in self.stopped:
                term = core.may_act(self.now_of[name], "task")
                if term is not None:
                    acting.append((name, core.holds["task"].place, term))
        by_place: dict[int, list[tuple[str, int]]] = {}
        for name, place, term in acting:
            by_place.setdefault(place, []).append((name, term))
        for place, rows in by_place.items():
            if len(rows) > 1:
                self.broken = f"two act at once on place {place}: {rows} at {self.tick}"
        if self.scenario.places == 1:
            for name, _, term in acting:
                newest, by = self.newest_act
                act = (term, self.cores[name].name)
                if term < newest or (term == newest and by != act[1]):
                    self.broken = f"{name} acts under {term} after {self.newest_act} at {self.tick}"
                self.newest_act = max(self.newest_act, act)
