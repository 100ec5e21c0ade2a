"""Fixtures of a region's log."""

from __future__ import annotations

from collections.abc import Iterator
from unittest.mock import patch

import pytest

from linenbridge.distribution.log.region_log import Log
from tests.distribution.log.world import Region


@pytest.fixture
def region() -> Region:
    """Three relays whose log publisher p leads, under term 1."""
    found = Region()
    found.publisher("p", 1)
    return found


@pytest.fixture
def few_tombstones() -> Iterator[None]:
    """A log purges tombstones once it holds more than four."""
    with patch.object(Log, "max_tombstones", 4):
        yield
