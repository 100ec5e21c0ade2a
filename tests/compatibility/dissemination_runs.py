"""Seeded runs of relays and followers in simulated time, each recorded as one digest.

The digest covers every message that a core sends (time, sender, receiver and bytes, in order), and every key
that comes into force at a gateway. The module imports nothing from linenbridge and runs unchanged on the base
and on any later commit; an `Installation` adapts it to the names of one commit.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

SECOND = 1_000_000  # microseconds
FAULTS_SECONDS = 24  # simulated seconds over which changes and faults are spread
FAULTS = 14
MALFORMED_KINDS = ("spoilt", "cut", "lost", "reordered", "repeated", "older", "renumbered", "digest")


class Recorder:
    """Computes the digest of one run."""

    def __init__(self) -> None:
        self.messages = 0
        self._hash = hashlib.sha256()

    def sent(self, at: int, sender: str, receiver: str, data: bytes) -> None:
        """Add a message that was sent, whether or not it is delivered."""
        self.messages += 1
        self._hash.update(f"{at} {sender} {receiver} {data.hex()}\n".encode())

    def in_force(self, lines: Iterable[Any]) -> None:
        """Add the record of the keys that came into force at the simulated gateways."""
        for line in lines:
            version = "gone" if line.version is None else f"{line.version.epoch}.{line.version.sequence}"
            key = f"{line.region} {int(line.kind)} {line.name}"
            self._hash.update(f"{line.at} {line.gateway} {key} {version} {line.value.hex()}\n".encode())

    def summary(self) -> str:
        """Return the digest and the number of messages."""
        return f"{self._hash.hexdigest()} {self.messages}"


@dataclass(frozen=True)
class Installation:
    """Adapter to the simulated world of one commit.

    `world` creates a world from the name of a shape and a seed, and passes its messages to the recorder. The
    other functions act on that world.
    """

    world: Callable[[str, int, Recorder], Any]
    publish_over: Callable[[Any, int, int], None]  # seconds, number of changes in each region
    random_fault: Callable[[Any, Random], None]
    break_connection: Callable[[Any], None]
    corrupt_messages: Callable[[Any, str, int], None]  # kind, seed; from now on, at one relay
    stop_corruption: Callable[[Any], None]


def run_with_faults(installation: Installation, shape: str, seed: int) -> str:
    """Return the summary of a run with random faults of processes, connections and regions."""
    recorder = Recorder()
    world = installation.world(shape, seed, recorder)
    random = Random(f"record {seed}")
    world.run(2)
    installation.publish_over(world, FAULTS_SECONDS, 60)
    for _ in range(FAULTS):
        at = world.now + random.randrange(FAULTS_SECONDS * SECOND)
        world.at(at, installation.random_fault, world, random)
    world.run(50)
    recorder.in_force(world.record)
    return recorder.summary()


def run_with_corruption(installation: Installation, shape: str, seed: int, kind: str) -> str:
    """Return the summary of a run with corruption of kind `kind` in the messages of one relay."""
    recorder = Recorder()
    world = installation.world(shape, seed, recorder)
    installation.corrupt_messages(world, kind, seed)
    world.run(2)
    installation.publish_over(world, 15, 60)
    world.at(world.now + 8 * SECOND, installation.break_connection, world)
    world.run(25)
    installation.stop_corruption(world)
    world.run(15)
    recorder.in_force(world.record)
    return recorder.summary()


def all_runs(installation: Installation) -> dict[str, Callable[[], str]]:
    """Return every run by its name, as a function that returns its summary."""
    runs: dict[str, Callable[[], str]] = {}
    for shape in ("plain", "few tombstones", "bounded relays", "six regions"):
        for seed in range(2):
            runs[f"faults, {shape}, {seed}"] = lambda shape=shape, seed=seed: run_with_faults(
                installation, shape, seed
            )
    for seed, shape in enumerate(("plain", "few tombstones")):
        for kind in MALFORMED_KINDS:
            runs[f"{kind}, {shape}, {seed}"] = lambda shape=shape, seed=seed, kind=kind: run_with_corruption(
                installation, shape, seed, kind
            )
    return runs
