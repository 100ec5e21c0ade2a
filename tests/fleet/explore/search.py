"""Every schedule of a small world with at most so many deviations from prompt and faultless running.

Owns the search: worlds are copied at each choice, states met before are not gone through again. It shares no
code with what it explores, and must never drop a schedule silently: what a limit cut off is counted.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import Protocol


class World(Protocol):
    """What is explored. `choices` names what may happen next, the first at no cost, every other one for one
    deviation; `take` lets one happen, and runs on until there is a choice again or the world is over."""

    left: int

    def choices(self) -> list[str]: ...
    def take(self, choice: str) -> None: ...
    def over(self) -> bool: ...
    def breach(self) -> str | None: ...


@dataclass
class Found:
    """What a search saw. `trail` leads to the breach."""

    states: int = 0
    schedules: int = 0
    seconds: float = 0.0
    breach: str | None = None
    trail: list[str] = field(default_factory=list)
    cut: bool = False

    def line(self, name: str) -> str:
        end = f"BREACH {self.breach} after {self.trail}" if self.breach else "no breach"
        return (
            f"{name}: {self.states} states, {self.schedules} schedules, {self.seconds:.1f} s"
            f"{', cut off' if self.cut else ''}, {end}"
        )


def wander(make: Callable[[], World], walks: int, seed: int, odds: float) -> Found:
    """Seeded walks through the same choices, with as many deviations as the world has left, each taken by
    chance: what lies deeper than a search of all schedules can go."""
    found, began, image = Found(), time.monotonic(), pickle.dumps(make(), -1)
    for walk in range(walks):
        dice, world, trail = Random(f"{seed}/{walk}"), pickle.loads(image), list[str]()
        while not world.over() and world.breach() is None:
            options = world.choices()
            found.states += 1
            choice = options[0]
            if world.left and len(options) > 1 and dice.random() < odds:
                choice = dice.choice(options[1:])
                world.left -= 1
                trail.append(choice)
            world.take(choice)
        found.schedules += 1
        if world.breach() is not None:
            found.breach, found.trail = world.breach(), trail
            break
    found.seconds = time.monotonic() - began
    return found


def follow(make: Callable[[], World], script: list[str]) -> Found:
    """One schedule: each choice that begins as the script's next line does is taken, nothing else goes
    wrong."""
    world, lines, found = make(), list(script), Found(schedules=1)
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


def search(make: Callable[[], World], most_states: int = 10_000_000) -> Found:
    """Depth first, deviations last: counterexamples with few deviations come up early enough."""
    found, began, seen = Found(), time.monotonic(), set[bytes]()
    stack: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(make(), -1), ())]
    while stack:
        image, trail = stack.pop()
        world = pickle.loads(image)
        while True:
            found.states += 1
            if (breach := world.breach()) is not None:
                found.breach, found.trail = breach, list(trail)
                found.seconds = time.monotonic() - began
                return found
            if world.over():
                found.schedules += 1
                break
            if found.states >= most_states:
                found.cut = True
                break
            options = world.choices()
            if world.left and len(options) > 1:
                image = pickle.dumps(world, -1)
                mark = blake2b(image, digest_size=12).digest()
                if mark in seen:
                    found.schedules += 1
                    break
                seen.add(mark)
                for option in options[1:]:
                    other = pickle.loads(image)
                    other.left -= 1
                    other.take(option)
                    stack.append((pickle.dumps(other, -1), (*trail, option)))
            world.take(options[0])
        if found.cut:
            break
    found.seconds = time.monotonic() - began
    return found
