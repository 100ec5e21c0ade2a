"""The lease cores in a small world: three acceptors, two members that ask, every message's fate a choice.

Owns the network, the clocks, the stores and the pauses around real cores. A message is prompt, late by some
ticks, lost, or comes twice; a process is cut off, wholly or one way, or hears late from then on; an acceptor
starts anew with its store, without it or with an older one; a process is stopped for some ticks; a proposer
leaves; the quorum changes member by member. The checks read what members would do at the act, never a
core's tables.
"""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.fleet.leases.acceptor import Acceptor, StoredState
from linenbridge.fleet.leases.messages import (
    LeaseReply,
    LeaseRequest,
    SlotRecord,
    RecoveryReply,
    RecoveryRequest,
)
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.timing import LeaseTiming

FAST, SLOW = 5, 4  # units of a process's clock in one tick of true time: a fifth apart, as the pace says
TIMING = LeaseTiming(lease=40, max_lease=40, clock_drift_ppm=200_000, heartbeat=10)
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
    quorums: tuple[Quorum, ...] = (Quorum(1, THREE, THREE),)
    places: int = 1
    proposers: tuple[str, ...] = ("x", "y")
    acceptor_kind: type[Acceptor] = Acceptor
    proposer_kind: type[Proposer] = Proposer


class Even:
    """Chance that is none: the least or the most of a range, always."""

    def __init__(self, most: bool) -> None:
        self.most = most

    def uniform(self, least: float, most: float) -> float:
        return most if self.most else least


class LeaseWorld:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.left, self.tick, self.lives = scenario, scenario.deviations, 0, 1
        first = scenario.quorums[0]
        self.rates = {name: FAST for name in first.all_acceptors()} | {
            name: SLOW for name in scenario.proposers
        }
        self.rates |= dict(scenario.rates)
        self.now_of = dict.fromkeys(self.rates, 1_000)
        self.disks: dict[str, list[StoredState]] = {}
        self.cores: dict[str, Acceptor | Proposer] = {}
        for name in first.all_acceptors():
            kept = StoredState(True, first.generation, 0, TIMING.max_lease, ())
            self.disks[name] = [kept]
            self.cores[name] = self._acceptor(name, first, kept, trusted=True)
        for n, name in enumerate(scenario.proposers):
            self.cores[name] = self._proposer(name, first, bool(n))
        self.flying: list[tuple[int, int, str, str, object]] = []
        self.posted: list[tuple[str, str, object]] = []
        self.stopped: dict[str, int] = {}
        self.cut: dict[str, str] = {}  # "cut", "deaf", "mute" or "slow", by process
        self.parted: set[tuple[str, str]] = set()
        self.at_quorum = dict.fromkeys(self.cores, 0)
        self.count, self.newest_act, self.broken = 0, (0, ""), ""
        for name in list(self.cores):
            self._pump(name)
        self._run()

    def _acceptor(self, name: str, quorum: Quorum, kept: StoredState, trusted: bool) -> Acceptor:
        self.lives += 1_000
        return self.scenario.acceptor_kind(
            name, quorum, TIMING, kept, self.now_of.get(name, 1_000), trusted=trusted, incarnation=self.lives
        )

    def _proposer(self, name: str, quorum: Quorum, most: bool) -> Proposer:
        self.lives += 1_000
        proposer = self.scenario.proposer_kind(f"{name}#{self.lives}", quorum, TIMING, 0, self.now_of[name])
        proposer.random = Even(most)
        proposer.request_lease(self.now_of[name], "task", self.scenario.places)
        return proposer

    # ---- what the search asks ----------------------------------------------------------------------

    def over(self) -> bool:
        return self.tick >= self.scenario.ticks

    def breach(self) -> str | None:
        return self.broken or None

    def choices(self) -> list[str]:
        faults = self.scenario.faults if self.tick >= self.scenario.from_tick else ()
        if self.posted:
            sender, to, message = self.posted[0]
            kind = f"{type(message).__name__} {sender}>{to} at {self.tick}"
            late = [f"late {ticks} {kind}" for ticks in LATE] if "late" in faults else []
            lost = [f"lost {kind}"] if "lost" in faults else []
            return ["prompt", *late, *lost, *([f"twice {kind}"] if "twice" in faults else [])]
        found = ["on"]
        acceptors = [name for name, core in self.cores.items() if isinstance(core, Acceptor)]
        proposers = [name for name, core in self.cores.items() if isinstance(core, Proposer)]
        for kind in ("kept", "blank", "older"):
            found += [f"{kind} {name} at {self.tick}" for name in acceptors if kind in faults]
        for kind in ("leave", "anew"):
            found += [f"{kind} {name} at {self.tick}" for name in proposers if kind in faults]
        if "stopped" in faults:
            found += [
                f"stopped {n} {name} at {self.tick}"
                for name in (*acceptors, *proposers)
                if name not in self.stopped
                for n in STOPPED
            ]
        if "cut" in faults:
            kinds = [
                (kind, name) for name in (*acceptors, *proposers) for kind in ("cut", "deaf", "mute", "slow")
            ]
            found += [f"{kind} {name} at {self.tick}" for kind, name in kinds if name not in self.cut]
        if "part" in faults:
            pairs = [
                (one, other) for one in proposers for other in acceptors if (one, other) not in self.parted
            ]
            found += [f"part {one} {other} at {self.tick}" for one, other in pairs]
        if "mend" in faults:
            found += [f"mend {name} at {self.tick}" for name in self.cut]
        if "quorum" in faults:
            most = len(self.scenario.quorums) - 1
            found += [f"quorum {name} at {self.tick}" for name, n in self.at_quorum.items() if n < most]
        return found

    def take(self, choice: str) -> None:
        kind, *words = choice.split()
        if self.posted:
            sender, to, message = self.posted.pop(0)
            if kind in ("prompt", "twice"):
                self._fly(self.tick, sender, to, message)
            if kind == "twice":
                self._fly(self.tick + 5, sender, to, message)
            if kind == "late":
                self._fly(self.tick + int(words[0]), sender, to, message)
        elif kind == "stopped":
            self.stopped[words[1]] = self.tick + int(words[0])
        elif kind in ("cut", "deaf", "mute", "slow"):
            self.cut[words[0]] = kind
        elif kind == "part":
            self.parted.add((words[0], words[1]))
        elif kind == "mend":
            del self.cut[words[0]]
        elif kind == "quorum":
            self._quorum(words[0])
        elif kind == "leave":
            self.cores[words[0]].release_lease(self.now_of[words[0]], "task")
            self._pump(words[0])
        elif kind == "anew":
            proposer = self.cores[words[0]]
            self.cores[words[0]] = self._proposer(words[0], proposer.quorum, proposer.random.most)
            self._pump(words[0])
        elif kind in ("kept", "blank", "older"):
            self._restart(words[0], kind)
        else:
            self._tick()
        self._run()

    # ---- the world ---------------------------------------------------------------------------------

    def _fly(self, tick: int, sender: str, to: str, message: object) -> None:
        if self.cut.get(sender) in ("cut", "mute") or self.cut.get(to) in ("cut", "deaf"):
            return
        if (sender, to) in self.parted or (to, sender) in self.parted:
            return
        tick += BEHIND * (self.cut.get(to) == "slow")
        self.count += 1
        self.flying.append((tick, self.count, sender, to, message))

    def _restart(self, name: str, kind: str) -> None:
        history = self.disks[name]
        kept = {"kept": history[-1], "blank": StoredState(), "older": history[0]}[kind]
        if kind != "kept":
            history[:] = [kept]
        self.cores[name] = self._acceptor(name, self.cores[name].quorum, kept, trusted=False)
        self._pump(name)

    def _quorum(self, name: str) -> None:
        self.at_quorum[name] += 1
        quorum = self.scenario.quorums[self.at_quorum[name]]
        for acceptor in quorum.all_acceptors():
            if acceptor not in self.cores:
                self.rates.setdefault(acceptor, FAST)
                self.now_of[acceptor] = 1_000
                self.disks[acceptor] = [StoredState()]
                self.cores[acceptor] = self._acceptor(acceptor, quorum, StoredState(), trusted=False)
                self.at_quorum[acceptor] = self.at_quorum[name]
                self._pump(acceptor)
        self.cores[name].on_quorum(self.now_of[name], quorum)
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

    def _deliver(self, sender: str, to: str, message: object) -> None:
        core = self.cores.get(to)
        if core is None:
            return
        now = self.now_of[to]
        if isinstance(message, LeaseRequest):
            core.on_request(now, message)
        elif isinstance(message, RecoveryRequest):
            core.on_recovery_request(now, message)
        elif isinstance(message, RecoveryReply):
            core.on_recovery_reply(now, message)
        elif isinstance(message, LeaseReply):
            core.on_reply(now, message)
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

    def _keep(self, name: str, acceptor: Acceptor, rows: list[tuple]) -> None:
        before = self.disks[name][-1]
        places = {(place.task, place.slot): place for place in before.records}
        for task, place, term, holder, closed in rows:
            places[task, place] = SlotRecord(task, place, term, holder, closed, 0)
        facts = acceptor.facts()
        self.disks[name].append(
            StoredState(
                bool(facts["remembers"]),
                facts["settled"],
                facts["stamp"],
                facts["longest"],
                tuple(places[key] for key in sorted(places)),
            )
        )
        del self.disks[name][1:-1]

    def _check(self) -> None:
        """At this very moment: who may act, and under which terms."""
        acting = []
        for name, core in self.cores.items():
            if isinstance(core, Proposer) and name not in self.stopped:
                term = core.may_act(self.now_of[name], "task")
                if term is not None:
                    acting.append((name, core.leases["task"].slot, term))
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
