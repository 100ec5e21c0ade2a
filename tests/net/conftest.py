"""The gateway harness of most tests of sockets."""

from __future__ import annotations

import pytest

from tests.net.bench import GatewayHarness


@pytest.fixture
def harness() -> GatewayHarness:
    harness = GatewayHarness()
    harness.update_endpoints(("s-1", 1, "active", 0))
    return harness
