"""A relay whose messages are changed, lost, reordered or repeated on the way to its followers."""

from __future__ import annotations

from random import Random

import msgspec

from linenbridge.distribution.messages import Batch, RangeSnapshot
from tests.distribution.dissemination.simulation.faults import publish_over
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World

CORRUPTIONS = ("changed", "shortened", "lost", "reordered", "repeated", "older", "renumbered", "digest")


class Corruption:
    """Random corruption of the messages of one relay. `kind` is the name of the method that corrupts a
    message, `done` the number of corrupted messages."""

    def __init__(self, relay: str, kind: str, random: Random) -> None:
        self.relay = relay
        self.kind = kind
        self.random = random
        self.earlier: list[Batch | RangeSnapshot] = []
        self.deferred: list[Batch | RangeSnapshot] = []
        self.done = 0

    def __call__(self, sender: str, to: str, message):  # noqa: ARG002  # signature of `World.corrupt`
        if sender != self.relay or not isinstance(message, Batch | RangeSnapshot):
            return [message]
        self.earlier.append(message)
        if self.random.random() > 0.3:
            deferred = self.deferred
            self.deferred = []
            return [message, *deferred]
        self.done += 1
        return getattr(self, self.kind)(message)

    def changed(self, message):
        if not message.changes:
            return [message]
        place = self.random.randrange(len(message.changes))
        changes = list(message.changes)
        changes[place] = msgspec.structs.replace(changes[place], value=b"spoilt")
        return [msgspec.structs.replace(message, changes=changes)]

    def shortened(self, message):
        return [msgspec.structs.replace(message, changes=message.changes[:-1])]

    def lost(self, message):  # noqa: ARG002  # signature of all kinds
        return []

    def reordered(self, message):
        """Send the message after the relay's next one. If that one is for another follower, the message is
        lost to its own receiver."""
        self.deferred.append(message)
        return []

    def repeated(self, message):
        return [message, message]

    def older(self, message):
        return [self.random.choice(self.earlier), message]

    def renumbered(self, message):
        """Send an older message with the session and number of the next one before that one."""
        older = self.random.choice(self.earlier)
        return [msgspec.structs.replace(older, session=message.session, number=message.number), message]

    def digest(self, message):
        if isinstance(message, RangeSnapshot) or message.digest is None:
            return [message]
        return [msgspec.structs.replace(message, digest=message.digest ^ 1)]


def corrupted_world(kind: str, seed: int, shape: Shape) -> World:
    world = World(shape, seed)
    relay = world.locations[seed % len(world.locations)].name
    corruption = world.corrupt = Corruption(relay, kind, Random(f"spoiler {seed}"))
    world.run(2)
    publish_over(world, 15, 60)
    world.at(world.now + 8 * SECOND, world.break_random_link)
    world.run(25)
    assert corruption.done
    world.corrupt = None
    world.run(45)
    return world
