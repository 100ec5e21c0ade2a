"""A reactor in memory and a log whose lines can be read."""

from __future__ import annotations

import io

import pytest
from twisted.internet.testing import MemoryReactorClock

from linenbridge.logging.event_log import Log


@pytest.fixture
def reactor() -> MemoryReactorClock:
    return MemoryReactorClock()


@pytest.fixture
def log() -> Log:
    return Log(io.BytesIO())
