"""A region's log in a small simulated world: three relays, two publishers, and every fault a choice.

Owns the network, the disks and the pauses around real state machines. The faults are:

- a message is late by some ticks, lost, or duplicated;
- a relay restarts with its disk, with an empty one, or with an older one, of which a copy may have been made;
- a process is paused for some ticks;
- a publisher and a relay are partitioned from each other for some ticks;
- a publisher gets the next term while the previous one continues under its own, which no lease allows;
- a publisher gets the same term as the newest publisher.

At most one relay at a time has lost entries.
"""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.distribution.changes import Kind
from linenbridge.distribution.decisions import Committed, Event, Persist, Send
from linenbridge.distribution.log.region_log import MAX_TOMBSTONES
from linenbridge.distribution.messages import Append, Message, Publish, Published
from linenbridge.distribution.log.replication import PublisherTiming
from linenbridge.distribution.log.publisher import Publisher
from linenbridge.distribution.log.replica import StoredLog, Replica
from tests.distribution.log.checker import LogChecker
from tests.distribution.log.world import REGION, deliver, disk_after, rejects_bad_value

RELAYS, PUBLISHERS = ("a", "b", "c"), ("p", "q")
TIMING = PublisherTiming(heartbeat=4, retry=3, max_retry=6, answer_within=20, silence=50)
LATE_TICKS, PAUSE_TICKS, DUPLICATE_TICKS, PARTITION_TICKS = (1, 4, 9), (3, 10), 5, 8
START_TICK = 4  # at which a world begins: a publisher leads and all relays count
RECENT_DISK_STATES = 4  # kept besides the oldest one; `restart_older` takes an earlier one of them


@dataclass(frozen=True)
class LogScenario:
    """Which faults may occur in a world, how many in all, and for how many ticks the world runs."""

    deviations: int = 1
    ticks: int = 16
    faults: tuple[str, ...] = (
        "late",
        "lost",
        "duplicated",
        "restart",
        "restart_empty",
        "restart_older",
        "pause",
        "next_term",
    )
    from_tick: int = 0  # no faults occur before
    publish_at: tuple[int, ...] = (1, 3, 5, 9)
    replace_at: tuple[int, ...] = ()  # ticks at which the publisher is replaced, in addition to the faults
    trusted: bool = False
    slow_disks: bool = False  # a write takes a tick; a restart before its end loses it
    value_bytes: int = 0  # padding of each value
    keys: tuple[str, ...] = ("k", "l")  # published in turn
    deletes: bool = False  # every second change of a key deletes it
    max_tombstones: int = MAX_TOMBSTONES


class FixedRandom:
    """Fake `Random` without randomness; `incarnation` is the number of a relay's next incarnation."""

    def __init__(self, incarnation: int = 0) -> None:
        """Set the number that `getrandbits` returns."""
        self.incarnation = incarnation

    def random(self) -> float:
        return 0.5

    def getrandbits(self, bits: int) -> int:
        return self.incarnation


class LogWorld:
    """The simulated world of one scenario."""

    def __init__(self, scenario: LogScenario) -> None:
        """Start all processes, and run without faults until START_TICK."""
        self.scenario, self.deviations_left = scenario, 0
        self.now = self.start = self.incarnations = 0
        self.checker = LogChecker(RELAYS)
        self.disks: dict[str, list[StoredLog]] = {name: [StoredLog()] for name in RELAYS}
        self.lost_entries: set[str] = set()  # relays that lost entries and do not count again yet
        self.replicas = {name: self._replica(name) for name in RELAYS}
        self.publishers = {
            name: Publisher(REGION, name, RELAYS, TIMING, FixedRandom(), rejects_bad_value)
            for name in PUBLISHERS
        }
        self.terms: dict[str, int] = {"p": 1}
        self.newest = "p"
        self.in_transit: list[tuple[int, int, str, str, Message]] = []
        self.outbox: list[tuple[str, str, Message]] = []
        self.paused: dict[str, int] = {}
        self.partitioned: dict[tuple[str, str], int] = {}  # by publisher and relay, until which tick
        self.unwritten: list[tuple[str, Replica, Persist]] = []
        self.count = self.requests = 0
        for publisher in self.publishers.values():
            publisher.log.max_tombstones = scenario.max_tombstones
        for name in (*RELAYS, *PUBLISHERS):
            self._run_decisions(name)
        while self.now < START_TICK:
            self.take(self.choices()[0])
        self.deviations_left, self.start = scenario.deviations, self.now
        for name, states in self.disks.items():
            self.disks[name] = states[-1:]

    @property
    def tick(self) -> int:
        return self.now - self.start

    def _replica(self, name: str) -> Replica:
        self.incarnations += 2
        return Replica(
            REGION, name, self.disks[name][-1], FixedRandom(self.incarnations), trusted=self.scenario.trusted
        )

    # ---- what the search calls --------------------------------------------------------------------------

    def over(self) -> bool:
        return self.tick >= self.scenario.ticks

    def breach(self) -> str | None:
        return self.checker.breach

    def choices(self) -> list[str]:
        faults = self.scenario.faults if self.tick >= self.scenario.from_tick else ()
        if self.outbox:
            sender, to, message = self.outbox[0]
            kind = f"{type(message).__name__} {sender}>{to} at {self.tick}"
            late = [f"late {ticks} {kind}" for ticks in LATE_TICKS] if "late" in faults else []
            lost = [f"lost {kind}"] if "lost" in faults else []
            return ["prompt", *late, *lost, *([f"duplicated {kind}"] if "duplicated" in faults else [])]
        found = ["continue"]
        found += [f"restart {name} at {self.tick}" for name in RELAYS if "restart" in faults]
        may_lose_entries = [name for name in RELAYS if self._relays_with_lost_entries() <= {name}]
        for kind in ("restart_empty", "restart_older", "restart_oldest"):
            found += [f"{kind} {name} at {self.tick}" for name in may_lose_entries if kind in faults]
        if "copy_disk" in faults:
            found += [f"copy_disk {name} at {self.tick}" for name in RELAYS]
        if "pause" in faults:
            running = [name for name in (*RELAYS, *self.terms) if name not in self.paused]
            found += [f"pause {n} {name} at {self.tick}" for name in running for n in PAUSE_TICKS]
        if "partition_pair" in faults:
            pairs = [(one, other) for one in self.terms for other in RELAYS]
            found += [f"partition_pair {one} {other} at {self.tick}" for one, other in pairs]
        if "next_term" in faults:
            found += [f"next_term {name} at {self.tick}" for name in PUBLISHERS]
        if "same_term" in faults:
            found += [f"same_term {name} at {self.tick}" for name in PUBLISHERS if name != self.newest]
        return found

    def take(self, choice: str) -> None:
        kind, *arguments = choice.split()
        if self.outbox:
            sender, to, message = self.outbox.pop(0)
            if kind in ("prompt", "duplicated"):
                self._transmit(self.now, sender, to, message)
            if kind == "duplicated":
                self._transmit(self.now + DUPLICATE_TICKS, sender, to, message)
            if kind == "late":
                self._transmit(self.now + int(arguments[0]), sender, to, message)
        elif kind == "pause":
            self.paused[arguments[1]] = self.now + int(arguments[0])
        elif kind == "partition_pair":
            self.partitioned[arguments[0], arguments[1]] = self.now + PARTITION_TICKS
        elif kind == "copy_disk":
            self.disks[arguments[0]][0] = self.disks[arguments[0]][-1]
        elif kind == "next_term":
            self._replace(arguments[0])
        elif kind == "same_term":
            self.terms[arguments[0]] = self.terms[self.newest]
            self._run_decisions(arguments[0])
        elif kind in ("restart", "restart_empty", "restart_older", "restart_oldest"):
            self._restart(arguments[0], kind)
        else:
            self._tick()
        self._run()

    # ---- the world ---------------------------------------------------------------------------------------

    def _transmit(self, tick: int, sender: str, to: str, message: Message) -> None:
        if max(self.partitioned.get((sender, to), 0), self.partitioned.get((to, sender), 0)) > self.now:
            return
        self.count += 1
        self.in_transit.append((tick, self.count, sender, to, message))

    def _relays_with_lost_entries(self) -> set[str]:
        self.lost_entries = {name for name in self.lost_entries if not self.replicas[name].member}
        return self.lost_entries

    def _restart(self, name: str, kind: str) -> None:
        states = self.disks[name]
        if kind != "restart":
            self.lost_entries.add(name)
            states[:] = [
                {"restart_empty": StoredLog(), "restart_older": states[-2:][0], "restart_oldest": states[0]}[
                    kind
                ]
            ]
            self.checker.on_disk(name, states[0])
        self.checker.on_start(name)
        self.unwritten = [row for row in self.unwritten if row[0] != name]
        self.replicas[name] = self._replica(name)
        self._run_decisions(name)

    def _replace(self, name: str) -> None:
        """Give this publisher the next term; the previous publisher continues under its own."""
        self.terms[name] = max(self.terms.values()) + 1
        self.newest = name
        self._run_decisions(name)

    def _tick(self) -> None:
        self.now += 1
        unwritten, self.unwritten = self.unwritten, []
        for name, machine, write in unwritten:
            self._write(name, machine, write)
        for name in [name for name, until in self.paused.items() if until <= self.now]:
            del self.paused[name]
            self._run_decisions(name)
        if self.start and self.tick in self.scenario.replace_at:
            self._replace("q" if self.newest == "p" else "p")
        if self.start and self.tick in self.scenario.publish_at:
            self._publish()
        for name, machine in self.publishers.items():
            wake = machine.wake_at()
            if wake is not None and wake <= self.now:
                self._run_decisions(name)

    def _publish(self) -> None:
        """Publish a change at each publisher that has a term and is not paused."""
        for name in self.terms:
            if name in self.paused:
                continue
            self.requests += 1
            keys = self.scenario.keys
            key = keys[self.requests % len(keys)]
            value = b"%d" % self.requests + b"x" * self.scenario.value_bytes
            if self.scenario.deletes and self.requests // len(keys) % 2:
                value = b""
            message = Publish(self.requests, REGION, Kind.TENANT, key, value)
            self.checker.on_publish(message)
            self.publishers[name].on_publish(self.now, "client", message)
            self._run_decisions(name)

    def _run(self) -> None:
        """Deliver due messages until a message is sent or none is due."""
        while not self.outbox:
            due = [row for row in self.in_transit if row[0] <= self.now and row[3] not in self.paused]
            if not due:
                return
            row = min(due, key=lambda row: row[:2])
            self.in_transit.remove(row)
            self._deliver(row[2], row[3], row[4])

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        machine = self.replicas.get(to) or self.publishers[to]
        if isinstance(message, Append):
            self.checker.on_append(to, message)
        deliver(machine, self.now, sender, message)
        self._run_decisions(to)
        self.checker.on_append(to, None)

    def _run_decisions(self, name: str) -> None:
        if name in self.paused:
            return
        machine = self.replicas.get(name) or self.publishers[name]
        while True:
            if name in self.publishers:
                machine.on_term(self.now, self.terms.get(name))
            decision = machine.next_decision(self.now)
            if decision is None:
                return
            self._execute(name, machine, decision)

    def _execute(self, name: str, machine: Replica | Publisher, decision: object) -> None:
        if isinstance(decision, Send):
            self._send(name, decision)
        elif isinstance(decision, Committed):
            self.checker.on_delivered(name, decision.changes)
        elif isinstance(decision, Event) and decision.name == "distribution.store_failed":
            self.checker.on_failed(name, restored=name in self.lost_entries)
        elif isinstance(decision, Persist):
            self.checker.on_persist(name, decision)
            if self.scenario.slow_disks:
                self.unwritten.append((name, machine, decision))
            else:
                self._write(name, machine, decision)

    def _write(self, name: str, machine: Replica, write: Persist) -> None:
        states = self.disks[name]
        states.append(disk_after(states[-1], write))
        del states[1:-RECENT_DISK_STATES]
        self.checker.on_persisted(name, write)
        machine.on_persisted(self.now, write.number)
        for send in write.then:
            self._send(name, send)

    def _send(self, name: str, send: Send) -> None:
        if isinstance(send.message, Published):
            self.checker.on_response(send.message)
        else:
            self.outbox.append((name, send.to, send.message))
