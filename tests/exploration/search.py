"""Search through all schedules of a small simulated world with a limited number of faults.

A deviation is any choice other than the fault-free one. The search copies the world at each choice and skips
states that it has visited before. It shares no code with the code under test. A search that reaches its limit
of states is marked as truncated, so no schedule is dropped silently.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import Protocol

DIGEST_BYTES = 12  # of the digest that identifies a visited state


class World(Protocol):
    """The world to explore. It can be pickled; equal states have equal pickles as far as possible."""

    deviations_left: int  # number of deviations that may still occur

    def choices(self) -> list[str]:
        """Return the possible next steps: the fault-free one first, each other one costs a deviation."""
        ...

    def take(self, choice: str) -> None:
        """Apply a choice, then run until the next choice or until the world is over."""
        ...

    def over(self) -> bool:
        """Return whether the simulated time of the world has ended."""
        ...

    def breach(self) -> str | None:
        """Return a description of the broken property, or None."""
        ...


@dataclass(slots=True)
class SearchResult:
    """Counts and outcome of a search. `counterexample` lists the deviations that lead to the breach."""

    states: int = 0
    schedules: int = 0
    seconds: float = 0.0
    breach: str | None = None
    counterexample: list[str] = field(default_factory=list)
    truncated: bool = False

    def line(self, name: str) -> str:
        """Return a summary in one line for the test's output."""
        end = f"BREACH {self.breach} after {self.counterexample}" if self.breach else "no breach"
        truncated = ", cut off" if self.truncated else ""
        counts = f"{self.states} states, {self.schedules} schedules, {self.seconds:.1f} s"
        return f"{name}: {counts}{truncated}, {end}"


def search(make_world: Callable[[], World], max_states: int = 10_000_000) -> SearchResult:
    """Search all schedules depth first, and each world without deviations first.

    This order finds counterexamples with few deviations early.
    """
    started_at = time.monotonic()
    searcher = _Search(make_world(), max_states)
    searcher.run()
    searcher.result.seconds = time.monotonic() - started_at
    return searcher.result


class _Search:
    """One search: a stack of worlds that are still to be run, and the digests of visited states."""

    def __init__(self, world: World, max_states: int) -> None:
        self.max_states = max_states
        self.result = SearchResult()
        self.visited = set[bytes]()
        self.stack = [(_snapshot(world), list[str]())]  # with the deviations that lead to each

    def run(self) -> None:
        """Run all worlds; stop at the first breach or at the limit of states."""
        while self.stack and self.result.breach is None and not self.result.truncated:
            snapshot, path = self.stack.pop()
            self._run_world(pickle.loads(snapshot), path)

    def _run_world(self, world: World, path: list[str]) -> None:
        """Run a world without deviations, and push the world of each possible deviation on the stack."""
        result = self.result
        while True:
            result.states += 1
            if (breach := world.breach()) is not None:
                result.breach = breach
                result.counterexample = path
                return
            if world.over():
                result.schedules += 1
                return
            if result.states >= self.max_states:
                result.truncated = True
                return
            options = world.choices()
            if world.deviations_left and len(options) > 1 and not self._branch(world, options[1:], path):
                result.schedules += 1
                return
            world.take(options[0])

    def _branch(self, world: World, deviations: list[str], path: list[str]) -> bool:
        """Push the world of each deviation on the stack; return False if the state was visited before."""
        snapshot = _snapshot(world)
        state_digest = blake2b(snapshot, digest_size=DIGEST_BYTES).digest()
        if state_digest in self.visited:
            return False
        self.visited.add(state_digest)
        for deviation in deviations:
            branch = pickle.loads(snapshot)
            branch.deviations_left -= 1
            branch.take(deviation)
            self.stack.append((_snapshot(branch), [*path, deviation]))
        return True


def random_walks(
    make_world: Callable[[], World], walks: int, seed: int, deviation_probability: float
) -> SearchResult:
    """Run seeded random walks, which reach deeper than a search of all schedules.

    At each choice a walk takes a deviation with `deviation_probability`, until the world has none left.
    """
    result = SearchResult()
    started_at = time.monotonic()
    snapshot = _snapshot(make_world())
    for walk in range(walks):
        _walk(pickle.loads(snapshot), Random(f"{seed}/{walk}"), deviation_probability, result)
        if result.breach is not None:
            break
    result.seconds = time.monotonic() - started_at
    return result


def _walk(world: World, random: Random, deviation_probability: float, result: SearchResult) -> None:
    path = list[str]()
    while not world.over() and world.breach() is None:
        options = world.choices()
        result.states += 1
        choice = options[0]
        if world.deviations_left and len(options) > 1 and random.random() < deviation_probability:
            choice = random.choice(options[1:])
            world.deviations_left -= 1
            path.append(choice)
        world.take(choice)
    result.schedules += 1
    if world.breach() is not None:
        result.breach = world.breach()
        result.counterexample = path


def replay(make_world: Callable[[], World], script: list[str]) -> SearchResult:
    """Play one schedule: take each deviation that begins with the script's next line.

    No other deviation occurs. Raises ValueError if the world ends before the script.
    """
    world = make_world()
    remaining = list(script)
    result = SearchResult(schedules=1)
    while not world.over() and world.breach() is None:
        options = world.choices()
        result.states += 1
        choice = next(
            (option for option in options[1:] if remaining and option.startswith(remaining[0])), options[0]
        )
        if choice != options[0]:
            result.counterexample.append(remaining.pop(0))
        world.take(choice)
    if remaining and world.breach() is None:
        raise ValueError(f"the world ended before these lines of the script: {remaining}")
    result.breach = world.breach()
    return result


def _snapshot(world: World) -> bytes:
    return pickle.dumps(world, pickle.HIGHEST_PROTOCOL)
