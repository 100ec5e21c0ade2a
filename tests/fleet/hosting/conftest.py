"""Fixtures: an in-memory reactor, and a log whose lines a test can read."""

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
