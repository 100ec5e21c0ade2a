"""A simulated installation: real feeds and followers, simulated time, links that lose messages in flight.

The module has the queue of events, the links and the faults. Every message is encoded and decoded. The same
seed gives the same run. The log of a region is a plain list that its relays read, and the tables of a gateway
are plain dicts. The rules are checked in `checker.py`, on the record of the run.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import msgspec

from linenbridge.distribution.changes import (
    START,
    Change,
    Kind,
    Position,
    Version,
    sealed,
)
from linenbridge.distribution.decisions import (
    Apply,
    Dial,
    Event,
    Disconnect,
    ReplaceRange,
    Send,
    SubtreeProgress,
)
from linenbridge.distribution.dissemination.feed import Feed
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.dissemination.relay_selection import RelayLocation
from linenbridge.distribution.dissemination.settings import FollowerSettings
from linenbridge.distribution.messages import (
    Batch,
    Digests,
    Follow,
    Message,
    Progress,
    FollowRejected,
    RangeSnapshot,
)
from tests.distribution.dissemination.simulation.gateway_tables import InForce, Tables
from tests.distribution.dissemination.simulation.shape import MILLISECOND, SECOND, Shape

CONNECT_DELAY = 3 * MILLISECOND
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class World:
    """The processes of one installation, their links and the queue of future events.

    All times are in microseconds. A core is a feed, named after its relay, or a follower, named after its
    gateway or "relay:region".
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.random = Random(f"feed {seed}")
        self.now = 0
        self._count = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.regions = [f"r{n}" for n in range(shape.regions)]
        self.locations = [
            RelayLocation(f"{r}-relay{n}", r) for r in self.regions for n in range(shape.relays)
        ]
        self.logs: dict[str, list[Change]] = {region: [] for region in self.regions}
        self.published_at: dict[tuple[str, int], int] = {}
        self.feeds: dict[str, Feed] = {}
        self.followers: dict[str, Follower] = {}  # by gateway or "relay:region"
        self.tables: dict[str, Tables] = {}
        self.home: dict[str, str] = {location.name: location.region for location in self.locations}
        self.links: dict[tuple[str, str], int] = {}  # (core, relay) -> number of the connection
        self.requested_links: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.stopped: set[str] = set()
        self.partitioned: set[frozenset[str]] = set()
        self.deferred_inputs: dict[str, list[tuple[Callable[..., None], tuple[Any, ...]]]] = defaultdict(list)
        self.record: list[InForce] = []
        self.bytes_to: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.reports: list[tuple[int, str, Progress]] = []  # by relays, to their region's publisher
        self.reached: list[tuple[int, str, str, int]] = []  # time, gateway, region, sequence in force
        self.events: list[tuple[int, str, Event]] = []
        self.corrupt: Callable[[str, str, Message], list[Message]] | None = None
        self._wakes: dict[str, int] = {}
        for location in self.locations:
            self.start_relay(location.name)
        for region in self.regions:
            for n in range(shape.gateways):
                self.start_gateway(f"{region}-gateway{n}", region)

    # ---- time ------------------------------------------------------------------------------------------

    def at(self, at: int, call: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self.queue, (at, self._count, call, args))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = end

    # ---- processes -------------------------------------------------------------------------------------

    def start_relay(self, name: str) -> None:
        """Start a relay. It has the log of its own region on its disk and nothing of other regions."""
        self.down.discard(name)
        region = self.home[name]
        relays = frozenset(location.name for location in self.locations)
        feed = self.feeds[name] = Feed(
            name, region, self.regions, self.shape.feed, self._random(), self.now, relays
        )
        feed.on_publisher(self.now, f"{region}-publisher")
        for other in self.regions:
            if other != region:
                upstream = [location for location in self.locations if location.region == other]
                follower = Follower(
                    name,
                    other,
                    upstream,
                    [other],
                    [],
                    self._relay_settings(),
                    self._random(),
                    self.now,
                    feed.range_digests,
                )
                self.followers[f"{name}:{other}"] = follower
                self.execute_decisions(f"{name}:{other}")
        self._commit(name)
        self.execute_decisions(name)

    def _relay_settings(self) -> FollowerSettings:
        return replace(self.shape.follower, rate=0)

    def start_gateway(self, name: str, region: str) -> None:
        """Start a gateway with an empty store."""
        self.home[name] = region
        self._clear_store(name)
        self.restart_gateway(name)

    def restart_gateway(self, name: str) -> None:
        """Start a gateway with the store of its previous process."""
        self.down.discard(name)
        region = self.home[name]
        tables = self.tables[name]
        positions = [Position(each, at.epoch, at.sequence) for each, at in tables.at.items()]
        self.followers[name] = Follower(
            name,
            region,
            self.locations,
            self.regions,
            positions,
            self.shape.follower,
            self._random(),
            self.now,
            tables.range_digests,
        )
        self.execute_decisions(name)

    def _clear_store(self, name: str) -> None:
        self.record.append(InForce(self.now, name, "", 0, "", None, b""))
        self.tables[name] = Tables()

    def kill(self, name: str) -> None:
        """End a process, which resets its links at once."""
        self.down.add(name)
        for core in [core for core in self.followers if core.partition(":")[0] == name]:
            self._wakes.pop(core, None)
        self._wakes.pop(name, None)
        self.requested_links = {pair for pair in self.requested_links if pair[0].partition(":")[0] != name}
        for pair in [pair for pair in self.links if name in (pair[0].partition(":")[0], pair[1])]:
            self._break_link(pair)

    def stop(self, name: str, seconds: float) -> None:
        """Stop a process, which resumes later. Its links stay connected."""
        self.stopped.add(name)
        self.at(self.now + int(seconds * SECOND), self._resume, name)

    def _resume(self, name: str) -> None:
        self.stopped.discard(name)
        for call, args in self.deferred_inputs.pop(name, []):
            call(*args)
        for core in [name, *(core for core in self.followers if core.partition(":")[0] == name)]:
            self.execute_decisions(core)

    def partition(self, one: str, other: str) -> None:
        """Break all links between two regions until `heal` is called."""
        self.partitioned.add(frozenset((one, other)))
        for pair in list(self.links):
            if self._is_partitioned(*pair):
                self._break_link(pair)

    def heal(self) -> None:
        self.partitioned.clear()

    def _is_partitioned(self, one: str, other: str) -> bool:
        regions = frozenset((self.home[one.partition(":")[0]], self.home[other.partition(":")[0]]))
        return regions in self.partitioned

    def _random(self) -> Random:
        return Random(self.random.random())

    # ---- the logs --------------------------------------------------------------------------------------

    def publish(self, region: str, kind: int, name: str, value: bytes, epoch: int = 1) -> Change:
        log = self.logs[region]
        change = sealed(region, Version(epoch, len(log) + 1), kind, name, value)
        log.append(change)
        self.published_at[region, change.sequence] = self.now
        for location in self.locations:
            if location.region == region:
                self.at(self.now + self.random.randrange(1, 30 * MILLISECOND), self._commit, location.name)
        return change

    def publish_some(self, region: str, number: int) -> None:
        """Publish changes of random keys, of which a tenth are deletions."""
        for _ in range(number):
            key = self.random.randrange(self.shape.keys)
            kind = (Kind.ROUTES, Kind.TENANT, Kind.INSTANCE)[key % 3]
            name = f"s{key % 7}/i{key}" if kind == Kind.INSTANCE else f"k{key}"
            value = b"" if self.random.random() < 0.1 else self.random.randbytes(self.random.randrange(8, 80))
            self.publish(region, kind, name, value)

    def _commit(self, relay: str) -> None:
        """Commit the new changes of a relay's own region log to its feed, if the relay is running."""
        if relay in self.down:
            return
        if relay in self.stopped:
            self.deferred_inputs[relay].append((self._commit, (relay,)))
            return
        region = self.home[relay]
        feed = self.feeds[relay]
        new = self.logs[region][feed.logs[region].head.sequence :]
        feed.on_committed(self.now, region, new)
        self.execute_decisions(relay)

    # ---- links -----------------------------------------------------------------------------------------

    def _dial(self, core: str, relay: str) -> None:
        self.requested_links.add((core, relay))
        self.at(self.now + CONNECT_DELAY, self._connect, core, relay)

    def _connect(self, core: str, relay: str) -> None:
        pair = (core, relay)
        process = core.partition(":")[0]
        if pair not in self.requested_links or pair in self.links:
            return
        if process in self.down or relay in self.down or self._is_partitioned(core, relay):
            self.at(
                self.now + self.random.randrange(100 * MILLISECOND, 500 * MILLISECOND),
                self._connect,
                core,
                relay,
            )
            return
        self._count += 1
        self.links[pair] = self._count
        self._input(core, self._on_link, core, relay, True)

    def _break_link(self, pair: tuple[str, str]) -> None:
        """Break a connection. Its messages in flight are lost."""
        del self.links[pair]
        core, relay = pair
        self._input(core, self._on_link, core, relay, False)
        self._input(relay, self._on_lost, relay, core.partition(":")[0])
        if pair in self.requested_links:
            self.at(
                self.now + self.random.randrange(100 * MILLISECOND, 500 * MILLISECOND),
                self._connect,
                core,
                relay,
            )

    def break_random_link(self) -> None:
        """Break a random connection."""
        if self.links:
            self._break_link(self.random.choice(sorted(self.links)))

    def _on_link(self, core: str, relay: str, connected: bool) -> None:
        self.followers[core].on_link(self.now, relay, connected=connected)
        self.execute_decisions(core)

    def _on_lost(self, relay: str, follower: str) -> None:
        self.feeds[relay].on_lost(self.now, follower)
        self.execute_decisions(relay)

    def _input(self, core: str, call: Callable[..., None], *args: Any) -> None:
        """Pass an input to a core: not at all if its process is down, and later if the process is stopped."""
        process = core.partition(":")[0]
        if process in self.stopped:
            self.deferred_inputs[process].append((call, args))
        elif process not in self.down:
            call(*args)

    def _send(self, core: str, to: str, message: Any) -> None:
        """Send a message over the connection between a follower and a relay. It is lost if the connection
        breaks before the delivery."""
        data = _encode(message)
        assert len(data) <= 60_000
        if to.endswith("-publisher"):
            self.reports.append((self.now, core, _decode(data)))
            return
        pair = (core, to) if core in self.followers else self._pair_to(to, core)
        if pair is None or pair not in self.links:
            return
        if core in self.feeds and core not in self.followers:
            self.bytes_to[to].append((self.now, len(data)))
        messages = [_decode(data)]
        if self.corrupt is not None:
            messages = self.corrupt(core, to, messages[0])
        is_remote = self.home[core.partition(":")[0]] != self.home[to.partition(":")[0]]
        delay = self.shape.delay * (10 if is_remote else 1)
        for each in messages:
            self.at(self.now + delay, self._deliver, pair, self.links[pair], core, to, each)

    def _pair_to(self, follower: str, relay: str) -> tuple[str, str] | None:
        """Return the connection between a relay's feed and a follower by its name, None if there is none."""
        cores = [follower, f"{follower}:{self.home[relay]}"]
        return next(((core, relay) for core in cores if (core, relay) in self.links), None)

    def _deliver(self, pair: tuple[str, str], number: int, core: str, to: str, message: Any) -> None:
        if self.links.get(pair) != number:
            return
        if pair[1] == core:  # from the relay to the follower
            self._input(pair[0], self._on_relay_message, pair[0], core, message)
        else:
            self._input(to, self._on_follower_message, to, core.partition(":")[0], message)

    def _on_relay_message(self, core: str, relay: str, message: Any) -> None:
        follower = self.followers[core]
        if isinstance(message, Batch):
            follower.on_batch(self.now, relay, message)
        elif isinstance(message, RangeSnapshot):
            follower.on_range_snapshot(self.now, relay, message)
        elif isinstance(message, FollowRejected):
            follower.on_rejected(self.now, relay, message)
        self.execute_decisions(core)

    def _on_follower_message(self, relay: str, follower: str, message: Any) -> None:
        feed = self.feeds[relay]
        if isinstance(message, Follow):
            feed.on_follow(self.now, message)
        elif isinstance(message, Progress):
            feed.on_progress(self.now, message)
        elif isinstance(message, Digests):
            feed.on_digests(self.now, follower, message)
        self.execute_decisions(relay)

    # ---- cores -----------------------------------------------------------------------------------------

    def execute_decisions(self, core_name: str) -> None:
        core: Any = self.followers.get(core_name) or self.feeds[core_name]
        process = core_name.partition(":")[0]
        if process in self.down or process in self.stopped:
            return
        while (decision := core.next_decision(self.now)) is not None:
            self._execute(core_name, core, decision)
        wake = max(core.wake_at(), self.now + 1)
        if self._wakes.get(core_name) != wake:
            self._wakes[core_name] = wake
            self.at(wake, self._wake, core_name, wake)

    def _wake(self, core_name: str, wake: int) -> None:
        if self._wakes.get(core_name) == wake:
            self._wakes.pop(core_name)
            self.execute_decisions(core_name)

    def _execute(self, core_name: str, core: Any, decision: Any) -> None:
        if isinstance(decision, Send):
            self._send(core_name, decision.to, decision.message)
        elif isinstance(decision, Dial):
            self._dial(core_name, decision.relay)
        elif isinstance(decision, Disconnect):
            self.requested_links.discard((core_name, decision.relay))
            if (core_name, decision.relay) in self.links:
                self._break_link((core_name, decision.relay))
        elif isinstance(decision, Event):
            self.events.append((self.now, core_name, decision))
        elif isinstance(decision, SubtreeProgress):
            for other in self.regions:
                if other != self.home[core_name]:
                    self.followers[f"{core_name}:{other}"].on_progress_below(self.now, decision.summaries)
                    self.execute_decisions(f"{core_name}:{other}")
        elif ":" in core_name:
            self._apply_at_relay(core_name, core, decision)
        else:
            self._apply_at_gateway(core_name, core, decision)

    def _apply_at_relay(self, core_name: str, core: Follower, decision: Apply | ReplaceRange) -> None:
        relay = core_name.partition(":")[0]
        feed = self.feeds[relay]
        apply = feed.on_apply if isinstance(decision, Apply) else feed.on_range
        core.on_applied(self.now, decision.region, decision.upto, apply(self.now, decision))
        self.execute_decisions(relay)

    def _apply_at_gateway(self, gateway: str, core: Follower, decision: Apply | ReplaceRange) -> None:
        tables = self.tables[gateway]
        region = decision.region
        if isinstance(decision, ReplaceRange):
            for key in tables.remove_absent(decision):
                self.record.append(InForce(self.now, gateway, region, *key, None, b""))
        for change in decision.changes:
            if tables.put(change):
                self.record.append(
                    InForce(self.now, gateway, region, change.kind, change.name, change.version, change.value)
                )
        if isinstance(decision, Apply) or decision.final:
            tables.at[region] = max(tables.at.get(region, START), decision.upto)
            self.reached.append((self.now, gateway, region, decision.upto.sequence))
        core.on_applied(self.now, region, decision.upto, tables.region_digests[region])
