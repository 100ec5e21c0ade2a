"""What all parts of the decision module know alike: settings, instances, open RPCs, the platform's news.

Keeps state without I/O. It counts and remembers, in the units of `linenbridge.interface`; it must never weigh
anything up, nor hold a tuned value: how fast figures are forgotten is told to it.
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.interface import RolloutPhase, Id, Startup
from linenbridge.state.counters import CapBucket, Counts
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import OpenRpcs, Pick


class Known:
    """The ground that the module's parts stand on, one above the other."""

    def __init__(self, start: Startup, seed: int, now: int) -> None:
        self.start, self.plan, self.allow, self.methods = start, start.plan, start.allowances, start.methods
        self.row = {method.name: m for m, method in enumerate(start.methods)}
        self.random, self.born = Random(seed), now
        self.fleet = Fleet(self.allow.gateway_number, now)
        self.near: dict[int, list[int]] = {}
        self.rpcs = OpenRpcs()
        self.notes: deque[str] = deque()
        self.taken = [0] * (len(self.methods) + 1)  # RPCs by method, and in all
        self.work = 0.0  # the mean work of an RPC, where RPCs tell theirs
        # The platform's news, the build judged, keys that the new build has answered, (build, row)'s buckets.
        self.build, self.stage, self.phase, self.cap, self.lowest = -1, 0, RolloutPhase.WITHDRAWN, 0.0, -1
        self.judged, self.withdrawn = -1, set[int]()
        self.moved: dict[Id | None, int] = {}
        self.buckets: dict[tuple[int, int], CapBucket] = {}
        self.held: frozenset[str] | None = None
        self.held_caps: dict[int, float] = {}
        # Own outcomes since the start, by (build, method), and whether there are new ones to tell.
        self.told: dict[tuple[int, int], Counts] = {}
        self.news = False

    def on_rollout_freeze(self, now: int, zones: frozenset[str] | None) -> None:
        """Releases are held in these zones from now on, everywhere where none is named; None: not any more.
        The caps as they are when a hold begins are kept."""
        if self.held is None and zones is not None:
            self.held_caps = {self.build: self.cap}
        if zones != self.held:
            where = "over" if zones is None else " ".join(sorted(zones)) or "everywhere"
            self.notes.append(f"hold {where} build {self.build} stage {self.stage} cap {self.cap:g}")
        self.held = zones

    def on_client_disconnected(self, now: int, rpc: str) -> None:
        """The client of an RPC has left; its picks that are out go on to their end."""
        if rpc in self.rpcs:
            self.rpcs.end(self.rpcs[rpc])

    def on_response_started(self, now: int, rpc: str, pick: int) -> None:
        """The answer of an RPC has begun to go to its client."""
        if rpc in self.rpcs:
            self.rpcs[rpc].streaming = True

    def count(self, m: int, work: int | None, weight: float) -> float:
        """One RPC of a method arrives; its cost in mean RPCs, 1.0 where it tells no work."""
        self.taken[m] += 1
        self.taken[-1] += 1
        if not work:
            return 1.0
        self.work += (work - self.work) * (weight if self.work else 1.0)
        return work / self.work

    def tell_apart(self, key: tuple[int, int], counts: Counts) -> None:
        """Own outcomes at (build, method), for peers."""
        self.told[key] = self.told.get(key, Counts()).plus(counts)
        self.news = self.news or key[0] == self.judged

    def moves(self, key: Id | None, build: int) -> None:
        """A build has answered a key's RPC: where releases only go forward, the key stays with it."""
        binds = self.plan.forward_only and build >= self.build and build not in self.withdrawn
        if binds and key is not None:
            self.moved[key] = max(build, self.moved.get(key, 0))

    def takes_news(self, build: int, stage: int, phase: RolloutPhase, cap: float, rising: bool) -> None:
        """The platform's news of a build; `rising` where the build is on its way or there."""
        if self.build >= 0 and (build, stage, phase) != (self.build, self.stage, self.phase):
            self.notes.append(f"build {build} stage {stage} phase {phase} cap {cap:g}")
        self.build, self.stage, self.phase, self.cap = build, stage, phase, cap
        (self.withdrawn.discard if rising else self.withdrawn.add)(build)
        self.moved = {key: b for key, b in self.moved.items() if b >= build and b not in self.withdrawn}

    def bucket(self, build: int, row: int, share: float) -> CapBucket:
        """The cap's tokens for a build and a row of methods, with what has been earned by now."""
        if (build, row) not in self.buckets:
            self.buckets[build, row] = CapBucket(self.plan.burst_attempts, self.taken[row], share)
        self.buckets[build, row].settle(self.taken[row])
        return self.buckets[build, row]

    def silent(self, pick: Pick) -> bool:
        """Whether its instance has said nothing to this gateway since it was sent."""
        return self.fleet.last_reply[pick.instance] < pick.sent
