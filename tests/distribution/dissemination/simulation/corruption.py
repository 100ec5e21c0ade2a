"""A relay whose messages are changed, lost, reordered or repeated on their way."""

from __future__ import annotations

from random import Random

import msgspec

from linenbridge.distribution.messages import Batch, Whole
from tests.distribution.dissemination.simulation.faults import (
    publish_over,
)
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World

KINDS = ("spoilt", "cut", "lost", "reordered", "repeated", "older", "renumbered", "digest")


class Spoiler:
    """What one relay does to its messages, by chance: nothing of it may come into force."""

    def __init__(self, relay: str, kind: str, dice: Random) -> None:
        self.relay, self.kind, self.dice = relay, kind, dice
        self.earlier: list[Batch | Whole] = []
        self.held: list[Batch | Whole] = []
        self.done = 0

    def __call__(self, sender: str, to: str, message):
        if sender != self.relay or not isinstance(message, Batch | Whole):
            return [message]
        self.earlier.append(message)
        if self.dice.random() > 0.3:
            held, self.held = self.held, []
            return [message, *held]
        self.done += 1
        return getattr(self, self.kind)(message)

    def spoilt(self, message):
        if not message.changes:
            return [message]
        place = self.dice.randrange(len(message.changes))
        changes = list(message.changes)
        changes[place] = msgspec.structs.replace(changes[place], value=b"spoilt")
        return [msgspec.structs.replace(message, changes=changes)]

    def cut(self, message):
        return [msgspec.structs.replace(message, changes=message.changes[:-1])]

    def lost(self, message):
        return []

    def reordered(self, message):
        """It comes behind the next one, which may be another follower's: then it is lost to this one."""
        self.held.append(message)
        return []

    def repeated(self, message):
        return [message, message]

    def older(self, message):
        return [self.dice.choice(self.earlier), message]

    def renumbered(self, message):
        """An older message that claims to be the next."""
        older = self.dice.choice(self.earlier)
        return [msgspec.structs.replace(older, session=message.session, number=message.number), message]

    def digest(self, message):
        if isinstance(message, Whole) or message.digest is None:
            return [message]
        return [msgspec.structs.replace(message, digest=message.digest ^ 1)]


def spoilt_world(kind: str, seed: int, shape: Shape) -> World:
    world = World(shape, seed)
    relay = world.places[seed % len(world.places)].name
    spoiler = world.spoil = Spoiler(relay, kind, Random(f"spoiler {seed}"))
    world.run(2)
    publish_over(world, 15, 60)
    world.at(world.now + 8 * SECOND, world.cut_some)
    world.run(25)
    assert spoiler.done
    world.spoil = None
    world.run(45)
    return world
