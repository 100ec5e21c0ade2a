"""A simulated fleet: real lease cores, simulated time, a network and clocks with faults by a seed.

Owns the queue of what happens next, the network, the clocks and the disks. The same seed gives the same
record, byte for byte. It must never look at a core's tables: who acts is what `may_act` says at the act.
"""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
from typing import NamedTuple

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
from tests.fleet.procs.fake_resource import Act

MS, SECOND = 1_000, 1_000_000
ACT_EVERY = 200 * MS


class Shape(NamedTuple):
    """Of a fleet and of what goes wrong in it. `apart`: clocks run at 1 - apart / 2 to 1 + apart / 2."""

    gateways: int = 12
    acceptors: int = 3
    tasks: int = 3
    seconds: int = 40
    faults: int = 12
    apart: float = 0.01
    timing: LeaseTiming = LeaseTiming(4 * SECOND, 4 * SECOND, 10_100, 800 * MS)


class Fleet:
    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.dice, self.now, self.count = shape, Random(f"fleet {seed}"), 0, 0
        self.names = [f"g{n}" for n in range(shape.gateways)]
        self.acceptors = self.names[: shape.acceptors]
        self.quorum = Quorum(1, tuple(self.acceptors), tuple(self.acceptors))
        half = shape.apart / 2
        self.rates = {name: self.dice.uniform(1 - half, 1 + half) for name in self.names}
        self.lives, self.cores, self.wakes = 0, dict[str, Proposer | Acceptor](), dict[str, int]()
        self.disks = {acceptor: StoredState() for acceptor in self.acceptors}
        self.down, self.cut = set[str](), dict[str, str]()
        self.queue: list[tuple[int, int, tuple]] = []
        self.acts, self.newest, self.calls = list[Act](), dict[tuple[str, int], int](), Counter()
        self.gone = 0
        for name in self.names:
            self._start(name)
        span = shape.seconds * SECOND
        for _ in range(shape.faults):
            self._at(self.dice.randrange(span // 8, span * 3 // 4), ("fault",))
        self._at(span * 3 // 4, ("mend",))

    # ---- time ------------------------------------------------------------------------------------------

    def clock(self, name: str) -> int:
        return 1_000_000_000 + int(self.now * self.rates[name])

    def _at(self, at: int, what: tuple) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, what))

    def play(self) -> list[str]:
        """The record: every act, every fault, in order."""
        lines = []
        end = self.shape.seconds * SECOND
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            kind = what[0]
            if kind == "word":
                self._deliver(*what[1:])
            elif kind == "wake" and self.wakes.get(what[1]) == self.now:
                self._pump(what[1])
            elif kind == "act":
                self._act(what[1])
            elif kind == "fault":
                lines.append(f"{self.now} {self._fault()}")
            elif kind == "up":
                self._start(what[1])
            elif kind == "on":
                self.down.discard(what[1])
                self._pump(what[1])
                self._pump(f"acceptor {what[1]}")
            elif kind == "mend":
                self.cut.clear()
        return lines + [
            f"{act.at:.6f} {act.task} {act.place} {act.term} {act.by} {act.taken}" for act in self.acts
        ]

    # ---- processes -------------------------------------------------------------------------------------

    def _start(self, name: str) -> None:
        self.lives += 1
        self.down.discard(name)
        now, timing = self.clock(name), self.shape.timing
        proposer = self.cores[name] = Proposer(f"{name}#{self.lives}", self.quorum, timing, self.lives, now)
        for task in range(self.shape.tasks):
            proposer.request_lease(now, f"task-{task}")
        if name in self.acceptors:
            self.cores[f"acceptor {name}"] = Acceptor(
                name, self.quorum, timing, self.disks[name], now, incarnation=self.lives << 20
            )
            self._pump(f"acceptor {name}")
        self._pump(name)
        self._at(self.now + self.dice.randrange(ACT_EVERY), ("act", proposer.name))

    def _pump(self, core_name: str) -> None:
        core, name = self.cores.get(core_name), core_name.removeprefix("acceptor ")
        if core is None or name in self.down:
            return
        now = self.clock(name)
        while (decision := core.next_decision(now)) is not None:
            if decision[0] == "say":
                self._say(name, decision[1], decision[2])
            elif decision[0] == "keep":
                self._keep(name, core, decision[1])
                if decision[3] is not None:
                    self._say(name, decision[2], decision[3])
        wake = core.wake_at()
        if wake is not None:
            at = max(self.now + 1, int((wake - 1_000_000_000) / self.rates[name]) + 1)
            if self.wakes.get(core_name, 0) <= self.now or at < self.wakes[core_name]:
                self.wakes[core_name] = at
                self._at(at, ("wake", core_name))

    def _keep(self, name: str, acceptor: Acceptor, rows: list[tuple]) -> None:
        places = {(place.task, place.slot): place for place in self.disks[name].records}
        for task, place, term, holder, closed in rows:
            places[task, place] = SlotRecord(task, place, term, holder, closed, 0)
        facts = acceptor.facts()
        known = tuple(places[key] for key in sorted(places))
        self.disks[name] = StoredState(
            bool(facts["remembers"]), facts["settled"], facts["stamp"], facts["longest"], known
        )

    # ---- the network -----------------------------------------------------------------------------------

    def _say(self, sender: str, to: str, message: object) -> None:
        far = to.partition("#")[0]
        self.calls["sent", sender] += 1
        self.calls["heard", far] += 1
        if self.cut.get(sender) in ("both", "mute") or self.cut.get(far) in ("both", "deaf"):
            return
        late = self.dice.randrange(1 * MS, 15 * MS) if sender != far else 10
        if self.dice.random() < 0.01:
            late += self.dice.randrange(6 * SECOND)
        if self.dice.random() < 0.01 and sender != far:
            return
        self._at(self.now + late, ("word", far, to, message))
        if self.dice.random() < 0.01:
            self._at(self.now + late * 3, ("word", far, to, message))

    def _deliver(self, name: str, to: str, message: object) -> None:
        if name in self.down:
            self._at(self.now + 50 * MS, ("word", name, to, message))  # in the system's hands until it wakes
            return
        now = self.clock(name)
        proposer, acceptor = self.cores.get(name), self.cores.get(f"acceptor {name}")
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

    # ---- what goes wrong, what is done -------------------------------------------------------------------

    def _fault(self) -> str:
        kind = self.dice.choice(("kill", "blank", "pause", "both", "mute", "deaf", "leave"))
        name = self.dice.choice(self.acceptors if kind == "blank" else self.names)
        if kind in ("both", "mute", "deaf"):
            self.cut[name] = kind
        elif kind == "pause":
            self.down.add(name)
            self._at(self.now + self.dice.randrange(9 * SECOND), ("on", name))
        elif kind == "leave":
            proposer = self.cores.get(name)
            if proposer is not None and name not in self.down:
                for task in list(proposer.leases):
                    proposer.release_lease(self.clock(name), task)
                self._pump(name)
        else:
            # No two acceptors forget within what one needs to come back: that is past the quorum's bound.
            blank = kind == "blank" and self.now >= self.gone
            if blank:
                self.gone, self.disks[name] = self.now + 15 * SECOND, StoredState()
            self.cores.pop(name, None)
            self.cores.pop(f"acceptor {name}", None)
            self._at(self.now + self.dice.randrange(3 * SECOND), ("up", name))
        return f"{kind} {name}"

    def _act(self, life: str) -> None:
        name = life.partition("#")[0]
        proposer = self.cores.get(name)
        if proposer is None or proposer.name != life:
            return
        if name not in self.down:
            now = self.clock(name)
            for task, lease in proposer.leases.items():
                term = proposer.may_act(now, task)
                if term is not None:
                    key = (task, lease.slot)
                    taken = term >= self.newest.get(key, 0)
                    self.newest[key] = max(term, self.newest.get(key, 0))
                    self.acts.append(Act(self.now / SECOND, *key, term, life, taken))
        self._at(self.now + ACT_EVERY, ("act", life))
