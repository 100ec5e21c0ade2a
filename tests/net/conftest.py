"""The bench that most tests of the sockets begin with."""

from __future__ import annotations

import pytest

from tests.net.bench import Bench


@pytest.fixture
def bench() -> Bench:
    bench = Bench()
    bench.list(("s-1", 1, "active", 0))
    return bench
