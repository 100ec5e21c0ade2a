"""Every schedule of a small world with at most so many deviations from prompt and faultless running.

Owns the search: worlds are copied at each choice, and states met before are not gone through again. It shares
no code with what it explores. No schedule is dropped silently: a search that a limit ended says so.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import Protocol

MARK_BYTES = 12  # of the digest by which a state is known again


class World(Protocol):
    """What is explored. It can be pickled, and equal states have equal pickles as far as possible."""

    left: int  # deviations that may still happen

    def choices(self) -> list[str]:
        """Return what may happen next, the first at no cost, every other one for one deviation."""
        ...

    def take(self, choice: str) -> None:
        """Let a choice happen, and run on until there is a choice again or the world is over."""
        ...

    def over(self) -> bool:
        """Return whether the time that is watched has passed."""
        ...

    def breach(self) -> str | None:
        """Return the property that was broken, None if none was."""
        ...


@dataclass(slots=True)
class Found:
    """What a search has seen. `trail` has the deviations that lead to the breach."""

    states: int = 0
    schedules: int = 0
    seconds: float = 0.0
    breach: str | None = None
    trail: list[str] = field(default_factory=list)
    truncated: bool = False

    def line(self, name: str) -> str:
        """Return one line for the test's output."""
        end = f"BREACH {self.breach} after {self.trail}" if self.breach else "no breach"
        truncated = ", cut off" if self.truncated else ""
        counts = f"{self.states} states, {self.schedules} schedules, {self.seconds:.1f} s"
        return f"{name}: {counts}{truncated}, {end}"


def search(make: Callable[[], World], max_states: int = 10_000_000) -> Found:
    """Go through all schedules, depth first and deviations last.

    Counterexamples with few deviations come up early that way.
    """
    started_at = time.monotonic()
    running = _Search(make(), max_states)
    running.run()
    running.found.seconds = time.monotonic() - started_at
    return running.found


class _Search:
    """One search: the worlds that it is still to go through, and the states that it has met."""

    def __init__(self, world: World, max_states: int) -> None:
        self.max_states = max_states
        self.found = Found()
        self.seen = set[bytes]()
        self.stack = [(_image(world), list[str]())]  # each with the deviations that lead to it

    def run(self) -> None:
        """Go through all worlds, or to the first breach, or up to the limit."""
        while self.stack and self.found.breach is None and not self.found.truncated:
            image, trail = self.stack.pop()
            self._run_on(pickle.loads(image), trail)

    def _run_on(self, world: World, trail: list[str]) -> None:
        """Run a world on without deviations, and put the worlds of all deviations on the stack."""
        found = self.found
        while True:
            found.states += 1
            if (breach := world.breach()) is not None:
                found.breach = breach
                found.trail = trail
                return
            if world.over():
                found.schedules += 1
                return
            if found.states >= self.max_states:
                found.truncated = True
                return
            options = world.choices()
            if world.left and len(options) > 1 and not self._branch(world, options[1:], trail):
                found.schedules += 1
                return
            world.take(options[0])

    def _branch(self, world: World, deviations: list[str], trail: list[str]) -> bool:
        """Put the world of each deviation on the stack; return False if the state was met before."""
        image = _image(world)
        mark = blake2b(image, digest_size=MARK_BYTES).digest()
        if mark in self.seen:
            return False
        self.seen.add(mark)
        for deviation in deviations:
            other = pickle.loads(image)
            other.left -= 1
            other.take(deviation)
            self.stack.append((_image(other), [*trail, deviation]))
        return True


def wander(make: Callable[[], World], walks: int, seed: int, odds: float) -> Found:
    """Take seeded walks through the same choices, to what lies deeper than a search of all schedules can go.

    Each walk has as many deviations as the world has left, each taken with the probability `odds`.
    """
    found = Found()
    started_at = time.monotonic()
    image = _image(make())
    for walk in range(walks):
        _walk(pickle.loads(image), Random(f"{seed}/{walk}"), odds, found)
        if found.breach is not None:
            break
    found.seconds = time.monotonic() - started_at
    return found


def _walk(world: World, random: Random, odds: float, found: Found) -> None:
    trail = list[str]()
    while not world.over() and world.breach() is None:
        options = world.choices()
        found.states += 1
        choice = options[0]
        if world.left and len(options) > 1 and random.random() < odds:
            choice = random.choice(options[1:])
            world.left -= 1
            trail.append(choice)
        world.take(choice)
    found.schedules += 1
    if world.breach() is not None:
        found.breach = world.breach()
        found.trail = trail


def follow(make: Callable[[], World], script: list[str]) -> Found:
    """Play one schedule: the first choice that begins as the script's next line does is taken.

    Nothing else goes wrong. ValueError if the world is over before the script is.
    """
    world = make()
    lines = list(script)
    found = Found(schedules=1)
    while not world.over() and world.breach() is None:
        options = world.choices()
        found.states += 1
        choice = next((option for option in options[1:] if lines and option.startswith(lines[0])), options[0])
        if choice != options[0]:
            found.trail.append(lines.pop(0))
        world.take(choice)
    if lines and world.breach() is None:
        raise ValueError(f"the schedule never came to {lines}")
    found.breach = world.breach()
    return found


def _image(world: World) -> bytes:
    return pickle.dumps(world, pickle.HIGHEST_PROTOCOL)
