"""A seeded run of relays and followers sends the same bytes in the same order as at the base.

`record_dissemination_at_base.py` has written `dissemination_runs.json` with commit 4d24a08.
"""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

import msgspec
import pytest

from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.compatibility.dissemination_runs import Installation, Recorder, all_runs
from tests.distribution.dissemination.simulation.corruption import Corruption
from tests.distribution.dissemination.simulation.faults import publish_over, random_fault
from tests.distribution.dissemination.simulation.shape import Shape
from tests.distribution.dissemination.simulation.world import World

SHAPES = {
    "plain": Shape(),
    "few tombstones": Shape(feed=FeedSettings(max_tombstones=3)),
    "bounded relays": Shape(relays=2, gateways=10, feed=FeedSettings(max_followers=7)),
    "six regions": Shape(regions=6, relays=2, gateways=2, keys=200),
}
RECORD: dict[str, str] = json.loads((Path(__file__).parent / "dissemination_runs.json").read_text())


class RecordedWorld(World):
    """Reports each message to a recorder."""

    def __init__(self, shape: Shape, seed: int, recorder: Recorder) -> None:
        self._recorder = recorder
        super().__init__(shape, seed)

    def _send(self, core, to, message) -> None:
        self._recorder.sent(self.now, core, to, msgspec.msgpack.encode(message))
        super()._send(core, to, message)


PRESENT_KINDS = {"spoilt": "changed", "cut": "shortened"}  # kind of corruption at the base -> present name


def corrupt_messages(world: World, kind: str, seed: int) -> None:
    relay = world.locations[seed % len(world.locations)].name
    world.corrupt = Corruption(relay, PRESENT_KINDS.get(kind, kind), Random(f"spoiler {seed}"))


def stop_corruption(world: World) -> None:
    world.corrupt = None


RUNS = all_runs(
    Installation(
        world=lambda shape, seed, recorder: RecordedWorld(SHAPES[shape], seed, recorder),
        publish_over=publish_over,
        random_fault=random_fault,
        break_connection=World.break_random_link,
        corrupt_messages=corrupt_messages,
        stop_corruption=stop_corruption,
    )
)


def test_the_record_names_every_run():
    assert list(RECORD) == list(RUNS)


@pytest.mark.parametrize("name", RUNS)
def test_a_seeded_run_sends_the_same_messages_as_at_the_base(name):
    assert RUNS[name]() == RECORD[name]
