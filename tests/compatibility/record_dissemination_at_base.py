"""Writes the record of the seeded dissemination runs at the base, commit 4d24a08.

Run the script from the root of a checkout of that commit, with its interpreter: `.venv/bin/python
FOLDER/record_dissemination_at_base.py > FOLDER/dissemination_runs.json`, where FOLDER is the folder of this
file. The script uses the names of that commit and does not run on a later one.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from random import Random
from typing import Any

sys.path[:0] = [".", str(Path(__file__).parent)]

from dissemination_runs import Installation, Recorder, all_runs  # type: ignore[import-not-found]  # noqa: E402
from linenbridge.distribution.feed import FeedSettings  # type: ignore[import-not-found]  # noqa: E402

from tests.distribution.feed.test_simulation import (  # type: ignore[import-not-found]  # noqa: E402
    Spoiler,
    publish_over,
    random_fault,
)
from tests.distribution.feed.world import Shape, World, _encode  # type: ignore[import-not-found]  # noqa: E402

SHAPES = {
    "plain": Shape(),
    "few tombstones": Shape(feed=FeedSettings(tombstones_most=3)),
    "bounded relays": Shape(relays=2, gateways=10, feed=FeedSettings(followers_most=7)),
    "six regions": Shape(regions=6, relays=2, gateways=2, keys=200),
}


class RecordedWorld(World):
    """Reports each message to a recorder."""

    def __init__(self, shape: Shape, seed: int, recorder: Recorder) -> None:
        self._recorder = recorder
        super().__init__(shape, seed)

    def _send(self, core: str, to: str, message: Any) -> None:
        self._recorder.sent(self.now, core, to, _encode(message))
        super()._send(core, to, message)


def corrupt_messages(world: World, kind: str, seed: int) -> None:
    relay = world.places[seed % len(world.places)].name
    world.spoil = Spoiler(relay, kind, Random(f"spoiler {seed}"))


def stop_corruption(world: World) -> None:
    world.spoil = None


INSTALLATION = Installation(
    world=lambda shape, seed, recorder: RecordedWorld(SHAPES[shape], seed, recorder),
    publish_over=publish_over,
    random_fault=random_fault,
    break_connection=World.cut_some,
    corrupt_messages=corrupt_messages,
    stop_corruption=stop_corruption,
)

if __name__ == "__main__":
    print(json.dumps({name: run() for name, run in all_runs(INSTALLATION).items()}, indent=1))
