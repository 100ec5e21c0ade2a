"""A small simulated world of one region's log: relays, publishers, messages and disks, without random faults.

Owns the messages in transit and the disks. A relay's disk holds what its Persist decisions wrote.
"""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec import msgpack

from linenbridge.distribution.changes import Change, Kind
from linenbridge.distribution.decisions import Committed, Event, Persist, Send
from linenbridge.distribution.log.publisher import Publisher
from linenbridge.distribution.log.replica import Replica, StoredLog
from linenbridge.distribution.log.replication import PublisherTiming
from linenbridge.distribution.messages import (
    Append,
    Appended,
    Fetch,
    Fetched,
    Message,
    Prepare,
    Prepared,
    Publish,
    Published,
)
from linenbridge.peering.connections import MAX_MESSAGE_BYTES

REGION = "north"
TIMING = PublisherTiming(heartbeat=100, retry=50, max_retry=200, answer_within=2_000, silence=1_000)
START_AT = 1_000


def disk_after(stored: StoredLog, write: Persist) -> StoredLog:
    """Return the content of a disk after a Persist was written to it."""
    rows = stored.changes
    if write.truncate_after is not None:
        rows = [row for row in rows if row.sequence <= write.truncate_after]
    superseded = set(write.superseded)
    rows = [row for row in (*rows, *write.changes) if row.sequence not in superseded]
    return StoredLog(
        write.incarnation, write.epoch, write.publisher, write.committed, rows, write.purged_up_to
    )


class Region:
    """Relays and publishers by name, with the term of each publisher's lease.

    Messages to and from the processes in `down` are lost.
    """

    def __init__(self, relays: tuple[str, ...] = ("a", "b", "c"), *, trusted: bool = False) -> None:
        self.now = START_AT
        self.trusted = trusted
        self.incarnations = 0
        self.names = relays
        self.disks = dict.fromkeys(relays, StoredLog())
        self.replicas = {name: self._replica(name) for name in relays}
        self.publishers: dict[str, Publisher] = {}
        self.terms: dict[str, int | None] = {}
        self.down: set[str] = set()
        self.in_transit: deque[tuple[str, str, Message]] = deque()
        self.responses: list[tuple[str, Published]] = []
        self.events: list[tuple[str, Event]] = []
        self.committed: dict[str, list[Change]] = {name: [] for name in relays}
        self.sent = 0

    def _replica(self, name: str) -> Replica:
        self.incarnations += 1
        random = Random(f"{name}/{self.incarnations}")
        return Replica(REGION, name, self.disks[name], random, trusted=self.trusted)

    # ---- actions of tests --------------------------------------------------------------------------------

    def publisher(self, name: str, term: int | None) -> Publisher:
        """Return a publisher, created if it is new, which has the lease's term `term` from now on."""
        if name not in self.publishers:
            self.publishers[name] = Publisher(
                REGION, name, self.names, TIMING, Random(name), rejects_bad_value
            )
        self.terms[name] = term
        self.deliver_all()
        return self.publishers[name]

    def publish(self, name: str, key: str, value: bytes, request: int = 1, client: str = "client") -> None:
        """Publish a client's change at a publisher."""
        message = Publish(request, REGION, 2, key, value)
        self.publishers[name].on_publish(self.now, client, message)
        self.deliver_all()

    def fill(self, keys: int, size: int = 2_000) -> None:
        """Publish `keys` keys at once at publisher p."""
        for number in range(keys):
            value = b"%05d" % number + b"x" * size
            message = Publish(number, REGION, Kind.ROUTES, f"service-{number}", value)
            self.publishers["p"].on_publish(self.now, "client", message)
        self.deliver_all()

    def publish_and_delete(self, keys: int, first: int = 0, name: str = "p") -> None:
        """Publish `keys` keys one by one, and delete each right after it was published."""
        for number in range(first, first + keys):
            self.publish(name, f"key-{number}", b"1", 2 * number)
            self.publish(name, f"key-{number}", b"", 2 * number + 1)
        self.run(TIMING.max_retry)

    def restart(self, name: str, stored: StoredLog | None = None) -> None:
        """Restart a relay, with its disk or with the content `stored`."""
        self.in_transit = deque(row for row in self.in_transit if name not in row[:2])
        self.disks[name] = self.disks[name] if stored is None else stored
        self.replicas[name] = self._replica(name)
        self.committed[name] = []
        self.deliver_all()

    def run(self, time: int) -> None:
        """Let `time` pass, and run the publishers when they are due."""
        end = self.now + time
        while True:
            wakes = [publisher.wake_at() for publisher in self.publishers.values()]
            due = min((wake for wake in wakes if wake is not None), default=end)
            if due >= end:
                break
            self.now = max(due, self.now + 1)
            self.deliver_all()
        self.now = end
        self.deliver_all()

    def deliver_all(self) -> None:
        """Execute decisions and deliver messages until nothing is left."""
        while True:
            for name in (*self.replicas, *self.publishers):
                self._run_decisions(name)
            if not self.in_transit:
                return
            self._deliver(*self.in_transit.popleft())

    # ---- results for tests -------------------------------------------------------------------------------

    def states(self) -> list[tuple[int, str]]:
        """Return the request and the state of each response to a client."""
        return [(response.request, response.state) for _, response in self.responses]

    def codes(self) -> list[tuple[str, str]]:
        """Return the state and the code of each response to a client."""
        return [(response.state, response.code) for _, response in self.responses]

    def values(self, name: str) -> dict[str, bytes]:
        """Return each key's newest value that a relay has delivered."""
        return {change.name: change.value for change in self.committed[name]}

    def stored_keys(self, relay: str) -> set[str]:
        """Return the names of the keys on a relay's disk."""
        return {row.name for row in self.disks[relay].changes if row.kind != Kind.LOG}

    def logs_are_equal(self) -> bool:
        """Return whether all relays' disks hold the same entries."""
        logs = [disk.changes for disk in self.disks.values()]
        return all(log == logs[0] for log in logs)

    # ---- the world ---------------------------------------------------------------------------------------

    def _run_decisions(self, name: str) -> None:
        machine = self.replicas.get(name) or self.publishers[name]
        while True:
            if isinstance(machine, Publisher):
                machine.on_term(self.now, self.terms[name])
            decision = machine.next_decision(self.now)
            if decision is None:
                return
            self._execute(name, machine, decision)

    def _execute(self, name: str, machine: Replica | Publisher, decision: object) -> None:
        match decision:
            case Send():
                self._transmit(name, decision)
            case Persist():
                self._write(name, decision)
                machine.on_persisted(self.now, decision.number)
                for send in decision.then:
                    self._transmit(name, send)
            case Committed():
                self.committed[name] += decision.changes
            case Event():
                self.events.append((name, decision))

    def _write(self, name: str, write: Persist) -> None:
        self.disks[name] = disk_after(self.disks[name], write)

    def _transmit(self, name: str, send: Send) -> None:
        if isinstance(send.message, Published):
            self.responses.append((send.to, send.message))
        elif not {name, send.to} & self.down:
            self.sent += 1
            assert len(msgpack.encode(send.message)) <= MAX_MESSAGE_BYTES
            self.in_transit.append((name, send.to, send.message))

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        machine = self.replicas.get(to) or self.publishers[to]
        deliver(machine, self.now, sender, message)
        self._run_decisions(to)


def deliver(machine: Replica | Publisher, now: int, sender: str, message: Message) -> None:
    """Pass a message to the input of its type."""
    match message:
        case Prepare():
            machine.on_prepare(now, sender, message)
        case Fetch():
            machine.on_fetch(now, sender, message)
        case Append():
            machine.on_append(now, sender, message)
        case Prepared():
            machine.on_prepared(now, message)
        case Fetched():
            machine.on_fetched(now, message)
        case Appended():
            machine.on_appended(now, message)


def rejects_bad_value(kind: int, name: str, value: bytes) -> str:
    """Check a value: only the value `bad` is invalid."""
    return "the value is bad" if value == b"bad" else ""
