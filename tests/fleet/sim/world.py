"""A simulated fleet: real lease cores with simulated time, network and clocks, and seeded faults.

Owns the queue of events, the network, the clocks and the stores. The same seed gives the same record, byte
for byte. A member acts if `may_act` permits it at that moment; the cores' tables are not read.
"""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
from typing import NamedTuple

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
from linenbridge.fleet.leases.stored_state import StoredState
from linenbridge.fleet.leases.timing import LeaseTiming
from tests.fleet.procs.fake_resource import Action
from tests.fleet.stored_state import state_after

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
ACTION_INTERVAL = 200 * MILLISECOND
CLOCK_START = 1_000_000_000  # microseconds; the reading of every clock at the beginning
MAX_DELAY = 6 * SECOND  # of a late message
DELAYS = (1 * MILLISECOND, 15 * MILLISECOND)  # of any other message between two members
LOCAL_DELAY = 10  # microseconds, of a member's message to itself
FAULT_PROBABILITY = 0.01  # for each message and each of: late, lost, duplicated
PAUSED_RETRY = 50 * MILLISECOND  # delay before a message to a paused process is delivered again


class FleetShape(NamedTuple):
    """The size of a fleet, its duration in seconds, and the number of its faults.

    Clocks run at a rate of `1 - clock_spread / 2` to `1 + clock_spread / 2`.
    """

    gateways: int = 12
    acceptors: int = 3
    tasks: int = 3
    seconds: int = 40
    faults: int = 12
    clock_spread: float = 0.01
    timing: LeaseTiming = LeaseTiming(4 * SECOND, 4 * SECOND, 10_100, 800 * MILLISECOND)


class SimulatedFleet:
    """The fleet of one shape and seed. Times are microseconds."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        """Start all members and schedule the faults."""
        self.shape = shape
        self.random = Random(f"fleet {seed}")
        self.now = 0  # true time
        self.events_scheduled = 0
        self.names = [f"g{number}" for number in range(shape.gateways)]
        self.acceptors = self.names[: shape.acceptors]
        self.quorum = Quorum(1, tuple(self.acceptors), tuple(self.acceptors))
        half_spread = shape.clock_spread / 2
        self.rates = {name: self.random.uniform(1 - half_spread, 1 + half_spread) for name in self.names}
        self.starts = 0
        self.cores = dict[str, Proposer | Acceptor]()
        self.wakes = dict[str, int]()
        self.stores = {acceptor: StoredState() for acceptor in self.acceptors}
        self.paused = set[str]()
        self.partitioned = dict[str, str]()  # "partition", "block_outbound" or "block_inbound", by member
        self.queue: list[tuple[int, int, tuple]] = []
        self.actions = list[Action]()
        self.newest_terms = dict[tuple[str, int], int]()
        self.calls = Counter()
        self.records_safe_at = 0  # time from which another acceptor may lose its records
        for name in self.names:
            self._start(name)
        duration = shape.seconds * SECOND
        for _ in range(shape.faults):
            self._at(self.random.randrange(duration // 8, duration * 3 // 4), ("fault",))
        self._at(duration * 3 // 4, ("heal",))

    # ---- time ------------------------------------------------------------------------------------------

    def clock(self, name: str) -> int:
        """Return the reading of a member's clock."""
        return CLOCK_START + int(self.now * self.rates[name])

    def _at(self, at: int, event: tuple) -> None:
        self.events_scheduled += 1
        heapq.heappush(self.queue, (at, self.events_scheduled, event))

    def run(self) -> list[str]:
        """Run to the end and return the record: a line for each fault, then one for each act, in order."""
        lines = []
        end = self.shape.seconds * SECOND
        while self.queue and self.queue[0][0] <= end:
            self.now, _, (kind, *arguments) = heapq.heappop(self.queue)
            match kind:
                case "message":
                    self._deliver(*arguments)
                case "wake" if self.wakes.get(arguments[0]) == self.now:
                    self._pump(arguments[0])
                case "act":
                    self._act(arguments[0])
                case "fault":
                    lines.append(f"{self.now} {self._inject_fault()}")
                case "start":
                    self._start(arguments[0])
                case "resume":
                    self.paused.discard(arguments[0])
                    self._pump(arguments[0])
                    self._pump(f"acceptor {arguments[0]}")
                case "heal":
                    self.partitioned.clear()
                case "wake":
                    pass  # an earlier wake-up has replaced this one
                case _:
                    raise ValueError(f"unknown event: {kind}")
        return lines + [
            f"{act.at:.6f} {act.task} {act.slot} {act.term} {act.member} {act.accepted}"
            for act in self.actions
        ]

    # ---- processes -------------------------------------------------------------------------------------

    def _start(self, name: str) -> None:
        self.starts += 1
        self.paused.discard(name)
        now = self.clock(name)
        timing = self.shape.timing
        proposer = Proposer(f"{name}#{self.starts}", self.quorum, timing, self.starts, now)
        self.cores[name] = proposer
        for task in range(self.shape.tasks):
            proposer.request_lease(now, f"task-{task}")
        if name in self.acceptors:
            self.cores[f"acceptor {name}"] = Acceptor(
                name, self.quorum, timing, self.stores[name], now, incarnation=self.starts << 20
            )
            self._pump(f"acceptor {name}")
        self._pump(name)
        self._at(self.now + self.random.randrange(ACTION_INTERVAL), ("act", proposer.name))

    def _pump(self, core_name: str) -> None:
        """Carry out all decisions of a core, then schedule its next wake-up."""
        core = self.cores.get(core_name)
        name = core_name.removeprefix("acceptor ")
        if core is None or name in self.paused:
            return
        now = self.clock(name)
        while (decision := core.next_decision(now)) is not None:
            match decision:
                case Send(to, message):
                    self._send(name, to, message)
                case Persist(then=then):
                    self.stores[name] = state_after(self.stores[name], decision, core.facts())
                    if then is not None:
                        self._send(name, then.to, then.message)
        wake = core.wake_at()
        if wake is not None:
            at = max(self.now + 1, int((wake - CLOCK_START) / self.rates[name]) + 1)
            if self.wakes.get(core_name, 0) <= self.now or at < self.wakes[core_name]:
                self.wakes[core_name] = at
                self._at(at, ("wake", core_name))

    # ---- the network -----------------------------------------------------------------------------------

    def _send(self, sender: str, to: str, message: object) -> None:
        receiver = to.partition("#")[0]
        self.calls["sent", sender] += 1
        self.calls["received", receiver] += 1
        if self.partitioned.get(sender) in ("partition", "block_outbound"):
            return
        if self.partitioned.get(receiver) in ("partition", "block_inbound"):
            return
        delay = self.random.randrange(*DELAYS) if sender != receiver else LOCAL_DELAY
        if self.random.random() < FAULT_PROBABILITY:
            delay += self.random.randrange(MAX_DELAY)
        if self.random.random() < FAULT_PROBABILITY and sender != receiver:
            return
        self._at(self.now + delay, ("message", receiver, to, message))
        if self.random.random() < FAULT_PROBABILITY:
            self._at(self.now + delay * 3, ("message", receiver, to, message))

    def _deliver(self, name: str, to: str, message: object) -> None:
        if name in self.paused:
            self._at(self.now + PAUSED_RETRY, ("message", name, to, message))
            return
        now = self.clock(name)
        proposer = self.cores.get(name)
        acceptor = self.cores.get(f"acceptor {name}")
        if isinstance(message, LeaseReply):
            if proposer is not None and proposer.name == to:
                proposer.on_reply(now, message)
                self._pump(name)
        elif acceptor is not None:
            call = {
                LeaseRequest: acceptor.on_request,
                RecoveryRequest: acceptor.on_recovery_request,
                RecoveryReply: acceptor.on_recovery_reply,
            }[type(message)]
            call(now, message)
            self._pump(f"acceptor {name}")

    # ---- faults and acts -------------------------------------------------------------------------------

    def _inject_fault(self) -> str:
        """Inject one fault and return its line in the record."""
        kind = self.random.choice(
            ("kill", "lose_records", "pause", "partition", "block_outbound", "block_inbound", "release")
        )
        name = self.random.choice(self.acceptors if kind == "lose_records" else self.names)
        match kind:
            case "partition" | "block_outbound" | "block_inbound":
                self.partitioned[name] = kind
            case "pause":
                self.paused.add(name)
                self._at(self.now + self.random.randrange(9 * SECOND), ("resume", name))
            case "release":
                self._release_all(name)
            case _:
                self._restart(name, loses_records=kind == "lose_records")
        return f"{kind} {name}"

    def _release_all(self, name: str) -> None:
        proposer = self.cores.get(name)
        if proposer is None or name in self.paused:
            return
        for task in list(proposer.leases):
            proposer.release_lease(self.clock(name), task)
        self._pump(name)

    def _restart(self, name: str, *, loses_records: bool) -> None:
        # The quorum tolerates the loss of one acceptor's records at a time. Within the time that an acceptor
        # needs to recover, the fault restarts the next one with its records.
        if loses_records and self.now >= self.records_safe_at:
            self.records_safe_at = self.now + 15 * SECOND
            self.stores[name] = StoredState()
        self.cores.pop(name, None)
        self.cores.pop(f"acceptor {name}", None)
        self._at(self.now + self.random.randrange(3 * SECOND), ("start", name))

    def _act(self, proposer_name: str) -> None:
        """Act on every task for which this incarnation of the process may act, then schedule its next act."""
        name = proposer_name.partition("#")[0]
        proposer = self.cores.get(name)
        if proposer is None or proposer.name != proposer_name:
            return
        if name not in self.paused:
            now = self.clock(name)
            for task, lease in proposer.leases.items():
                term = proposer.may_act(now, task)
                if term is not None:
                    key = (task, lease.slot)
                    accepted = term >= self.newest_terms.get(key, 0)
                    self.newest_terms[key] = max(term, self.newest_terms.get(key, 0))
                    self.actions.append(Action(self.now / SECOND, *key, term, proposer_name, accepted))
        self._at(self.now + ACTION_INTERVAL, ("act", proposer_name))
