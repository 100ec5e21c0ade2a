"""Fixtures for tests of a region's log."""

from __future__ import annotations

from collections.abc import Iterator
from unittest.mock import patch

import pytest

from linenbridge.distribution.log.region_log import Log
from tests.distribution.log.world import Region


@pytest.fixture
def region() -> Region:
    """Three relays; p is their publisher, under term 1."""
    found = Region()
    found.publisher("p", 1)
    return found


@pytest.fixture
def few_tombstones() -> Iterator[None]:
    """Lower the limit at which a log purges tombstones to four."""
    with patch.object(Log, "max_tombstones", 4):
        yield
