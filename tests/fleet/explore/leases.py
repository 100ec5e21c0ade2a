"""The lease cores in a small simulated world: three acceptors, two proposers, and every fault a choice.

Owns the network, the clocks, the stores and the pauses around real cores. The faults are:

- a message is late by some ticks, lost, or duplicated;
- a process is partitioned in both directions or in one, or receives all later messages late;
- an acceptor restarts with its store, with an empty one or with an older one;
- a process is paused for some ticks;
- a proposer releases its lease, or is replaced by a new one;
- the quorum changes, one member at a time.

The checks use what `may_act` returns at the moment of the act, not a core's tables.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import Persist, Send
from linenbridge.fleet.leases.messages import (
    LeaseReply,
    LeaseRequest,
    RecoveryReply,
    RecoveryRequest,
)
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState
from linenbridge.fleet.leases.timing import LeaseTiming
from tests.exploration.network import Network
from tests.fleet.stored_state import state_after

FAST_RATE = 5  # units of a process's clock per tick of true time
SLOW_RATE = 4  # a fifth slower: the drift that the timing allows
TIMING = LeaseTiming(lease=40, max_lease=40, clock_drift_ppm=200_000, heartbeat=10)
LATE_TICKS = (1, 4, 10)
PAUSE_TICKS = (3, 12)
RECEIVE_DELAY_TICKS = 4  # by which `slow_inbound` delays all messages to a process
DUPLICATE_TICKS = 5  # after which a duplicate is delivered
CLOCK_START = 1_000
INCARNATION_STEP = 1_000
THREE_ACCEPTORS = ("a", "b", "c")


@dataclass(frozen=True)
class Scenario:
    """Which faults may occur in a world, how many in all, and for how many ticks the world runs."""

    deviations: int = 2
    ticks: int = 30
    rates: tuple[tuple[str, int], ...] = ()
    faults: tuple[str, ...] = (
        "late",
        "lost",
        "duplicated",
        "restart",
        "restart_empty",
        "pause",
        "release",
        "new_proposer",
        "partition",  # includes block_inbound, block_outbound and slow_inbound
    )
    from_tick: int = 0  # no faults occur before
    quorums: tuple[Quorum, ...] = (Quorum(1, THREE_ACCEPTORS, THREE_ACCEPTORS),)
    slots: int = 1
    proposers: tuple[str, ...] = ("x", "y")
    acceptor_kind: type[Acceptor] = Acceptor
    proposer_kind: type[Proposer] = Proposer
    trusted_stores: bool = False  # an acceptor that restarts with its store trusts it


class FixedRandom:
    """Fake `Random` that always draws the upper end of a range, or always the lower one."""

    def __init__(self, *, upper: bool) -> None:
        """Set which end is drawn."""
        self.upper = upper

    def uniform(self, lower: float, upper: float) -> float:
        """Return that end of the range."""
        return upper if self.upper else lower


class LeaseWorld:
    """The simulated world of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        """Start all processes and run to the first choice."""
        self.scenario = scenario
        self.deviations_left = scenario.deviations
        self.tick = 0
        self.incarnation = 1
        first = scenario.quorums[0]
        self.rates = {name: FAST_RATE for name in first.all_acceptors()} | {
            name: SLOW_RATE for name in scenario.proposers
        }
        self.rates |= dict(scenario.rates)
        self.clocks = dict.fromkeys(self.rates, CLOCK_START)
        self.stores: dict[str, list[StoredState]] = {}  # by acceptor, its oldest and its newest state
        self.cores: dict[str, Acceptor | Proposer] = {}
        for name in first.all_acceptors():
            stored = StoredState(AcceptorFacts(True, first.generation, 0, TIMING.max_lease))
            self.stores[name] = [stored]
            self.cores[name] = self._acceptor(name, first, stored, trusted=True)
        for index, name in enumerate(scenario.proposers):
            self.cores[name] = self._proposer(name, first, draws_upper=bool(index))
        self.network = Network(LATE_TICKS, DUPLICATE_TICKS)
        self.paused: dict[str, int] = {}  # by process, the tick until which it is paused
        # By process: "partition", "block_inbound", "block_outbound" or "slow_inbound".
        self.partitioned: dict[str, str] = {}
        self.partitioned_pairs: set[tuple[str, str]] = set()
        self.quorum_index = dict.fromkeys(self.cores, 0)
        self.newest_act = (0, "")
        self.found_breach = ""
        for name in list(self.cores):
            self._pump(name)
        self._run()

    def _acceptor(self, name: str, quorum: Quorum, stored: StoredState, *, trusted: bool) -> Acceptor:
        self.incarnation += INCARNATION_STEP
        now = self.clocks.get(name, CLOCK_START)
        return self.scenario.acceptor_kind(
            name, quorum, TIMING, stored, now, trusted=trusted, incarnation=self.incarnation
        )

    def _proposer(self, name: str, quorum: Quorum, *, draws_upper: bool) -> Proposer:
        self.incarnation += INCARNATION_STEP
        now = self.clocks[name]
        proposer = self.scenario.proposer_kind(f"{name}#{self.incarnation}", quorum, TIMING, 0, now)
        proposer.random = FixedRandom(upper=draws_upper)
        proposer.request_lease(now, "task", self.scenario.slots)
        return proposer

    # ---- what the search calls -------------------------------------------------------------------------

    def over(self) -> bool:
        """Return whether the scenario's ticks have passed."""
        return self.tick >= self.scenario.ticks

    def breach(self) -> str | None:
        """Return a description of the broken property, or None."""
        return self.found_breach or None

    def choices(self) -> list[str]:
        """Return the possible next steps, the fault-free one first."""
        faults = self.scenario.faults if self.tick >= self.scenario.from_tick else ()
        if self.network.undecided:
            return list(self.network.delivery_options(faults, self.tick))
        return ["continue", *self._fault_options(faults)]

    def _fault_options(self, faults: tuple[str, ...]) -> Iterator[str]:
        acceptors = [name for name, core in self.cores.items() if isinstance(core, Acceptor)]
        proposers = [name for name, core in self.cores.items() if isinstance(core, Proposer)]
        processes = (*acceptors, *proposers)
        at = f"at {self.tick}"
        for kind in ("restart", "restart_empty", "restart_older"):
            yield from (f"{kind} {name} {at}" for name in acceptors if kind in faults)
        for kind in ("release", "new_proposer"):
            yield from (f"{kind} {name} {at}" for name in proposers if kind in faults)
        if "pause" in faults:
            running = [name for name in processes if name not in self.paused]
            yield from (f"pause {ticks} {name} {at}" for name in running for ticks in PAUSE_TICKS)
        if "partition" in faults:
            connected = [name for name in processes if name not in self.partitioned]
            yield from (
                f"{kind} {name} {at}"
                for name in connected
                for kind in ("partition", "block_inbound", "block_outbound", "slow_inbound")
            )
        if "partition_pair" in faults:
            pairs = [(proposer, acceptor) for proposer in proposers for acceptor in acceptors]
            yield from (
                f"partition_pair {one} {other} {at}"
                for one, other in pairs
                if (one, other) not in self.partitioned_pairs
            )
        if "heal" in faults:
            yield from (f"heal {name} {at}" for name in self.partitioned)
        if "quorum" in faults:
            last = len(self.scenario.quorums) - 1
            yield from (f"quorum {name} {at}" for name, index in self.quorum_index.items() if index < last)

    def take(self, choice: str) -> None:
        """Apply a choice, then run until the next one."""
        if self.network.undecided:
            self._choose_delivery(choice)
        else:
            self._apply_fault(choice)
        self._run()

    def _apply_fault(self, choice: str) -> None:
        match choice.split():
            case ["pause", ticks, name, *_]:
                self.paused[name] = self.tick + int(ticks)
            case ["partition" | "block_inbound" | "block_outbound" | "slow_inbound" as kind, name, *_]:
                self.partitioned[name] = kind
            case ["partition_pair", one, other, *_]:
                self.partitioned_pairs.add((one, other))
            case ["heal", name, *_]:
                del self.partitioned[name]
            case ["quorum", name, *_]:
                self._change_quorum(name)
            case ["release", name, *_]:
                self.cores[name].release_lease(self.clocks[name], "task")
                self._pump(name)
            case ["new_proposer", name, *_]:
                proposer = self.cores[name]
                self.cores[name] = self._proposer(name, proposer.quorum, draws_upper=proposer.random.upper)
                self._pump(name)
            case ["restart" | "restart_empty" | "restart_older" as kind, name, *_]:
                self._restart(name, kind)
            case ["continue"]:
                self._tick()
            case _:
                raise ValueError(f"unknown fault: {choice}")

    # ---- the world -------------------------------------------------------------------------------------

    def _choose_delivery(self, choice: str) -> None:
        for delay, sender, to, message in self.network.choose_delivery(choice):
            if self._reaches(sender, to):
                receive_delay = RECEIVE_DELAY_TICKS if self.partitioned.get(to) == "slow_inbound" else 0
                self.network.put_in_flight(self.tick + delay + receive_delay, sender, to, message)

    def _reaches(self, sender: str, to: str) -> bool:
        if self.partitioned.get(sender) in ("partition", "block_outbound") or self.partitioned.get(to) in (
            "partition",
            "block_inbound",
        ):
            return False
        return (sender, to) not in self.partitioned_pairs and (to, sender) not in self.partitioned_pairs

    def _restart(self, name: str, kind: str) -> None:
        history = self.stores[name]
        stored = {"restart": history[-1], "restart_empty": StoredState(), "restart_older": history[0]}[kind]
        if kind != "restart":
            history[:] = [stored]
        trusted = self.scenario.trusted_stores and kind == "restart"
        self.cores[name] = self._acceptor(name, self.cores[name].quorum, stored, trusted=trusted)
        self._pump(name)

    def _change_quorum(self, name: str) -> None:
        self.quorum_index[name] += 1
        quorum = self.scenario.quorums[self.quorum_index[name]]
        for acceptor in quorum.all_acceptors():
            if acceptor not in self.cores:
                self.rates.setdefault(acceptor, FAST_RATE)
                self.clocks[acceptor] = CLOCK_START
                self.stores[acceptor] = [StoredState()]
                self.cores[acceptor] = self._acceptor(acceptor, quorum, StoredState(), trusted=False)
                self.quorum_index[acceptor] = self.quorum_index[name]
                self._pump(acceptor)
        self.cores[name].on_quorum(self.clocks[name], quorum)
        self._pump(name)

    def _tick(self) -> None:
        self.tick += 1
        for name, rate in self.rates.items():
            self.clocks[name] += rate
        for name in [name for name, until in self.paused.items() if until <= self.tick]:
            del self.paused[name]
            self._check()
            self._pump(name)
        for name, core in self.cores.items():
            wake = core.wake_at()
            if name not in self.paused and wake is not None and wake <= self.clocks[name]:
                self._pump(name)
        self._check()

    def _run(self) -> None:
        """Deliver due messages until a message is sent or none is due."""
        while not self.network.undecided:
            transit = self.network.take_due(self.tick, self.paused)
            if transit is None:
                return
            self._deliver(transit.to, transit.message)

    def _deliver(self, to: str, message: object) -> None:
        core = self.cores.get(to)
        if core is None:
            return
        now = self.clocks[to]
        match message:
            case LeaseRequest():
                core.on_request(now, message)
            case RecoveryRequest():
                core.on_recovery_request(now, message)
            case RecoveryReply():
                core.on_recovery_reply(now, message)
            case LeaseReply():
                core.on_reply(now, message)
        self._pump(to)
        self._check()

    def _pump(self, name: str) -> None:
        """Carry out all decisions of a process that is not paused."""
        if name in self.paused:
            return
        core = self.cores[name]
        while (decision := core.next_decision(self.clocks[name])) is not None:
            match decision:
                case Send():
                    self._send(name, decision)
                case Persist(then=then):
                    states = self.stores[name]
                    states.append(state_after(states[-1], decision, core.facts()))
                    del states[1:-1]
                    if then is not None:
                        self._send(name, then)

    def _send(self, sender: str, send: Send) -> None:
        self.network.send(sender, send.to.partition("#")[0], send.message)

    def _check(self) -> None:
        """Record a breach if two members act at once on a slot, or one under an older or a reused term.

        A member acts if it is not paused and `may_act` permits it. Terms are compared in
        worlds with one slot only.
        """
        acting = []
        for name, core in self.cores.items():
            if isinstance(core, Proposer) and name not in self.paused:
                term = core.may_act(self.clocks[name], "task")
                if term is not None:
                    acting.append((name, core.leases["task"].slot, term))
        by_slot: dict[int, list[tuple[str, int]]] = {}
        for name, slot, term in acting:
            by_slot.setdefault(slot, []).append((name, term))
        for slot, rows in by_slot.items():
            if len(rows) > 1:
                self.found_breach = f"two members act at once on slot {slot}: {rows} at tick {self.tick}"
        if self.scenario.slots == 1:
            for name, _, term in acting:
                act = (term, self.cores[name].name)
                newest, holder = self.newest_act
                if term < newest or (term == newest and holder != act[1]):
                    self.found_breach = (
                        f"{name} acts under term {term} after {self.newest_act} at tick {self.tick}"
                    )
                self.newest_act = max(self.newest_act, act)
