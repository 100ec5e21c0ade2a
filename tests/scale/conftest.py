"""How large the installation of a scale test is, and by which seed it is played."""

from __future__ import annotations

import contextlib

import pytest

from tests.scale.families import Times
from tests.scale.installation import Scale
from tests.scale.traffic import Shape

LARGE = 500  # gateways from which on the times and tables are those of the size


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--gateways", type=int, default=12, help="Hollow gateways of a scale test.")
    parser.addoption("--relays", type=int, default=6, help="Relays of a scale test.")
    with contextlib.suppress(ValueError):  # The fleet's tests have the same option.
        parser.addoption("--seed", type=int, default=1, help="The first schedule's seed.")


def scale_of(gateways: int, relays: int) -> Scale:
    """Small installations have short times, so that their tests are; large ones those of the settings."""
    if gateways < LARGE:
        return Scale(gateways, relays)
    return Scale(
        gateways, relays, regions=6, processes=12, stored=0.1, gather=200, heartbeat=1_000, silence=2_500,
        lease=10_000, beat=2_000,
    )  # fmt: skip


@pytest.fixture
def scale(request: pytest.FixtureRequest) -> Scale:
    """Without options, and where the whole of the tests is run, the small one."""
    option = request.config.getoption
    return scale_of(option("gateways", 12), option("relays", 6))


@pytest.fixture
def seed(request: pytest.FixtureRequest) -> int:
    return request.config.getoption("seed", 1)


@pytest.fixture
def shape(scale: Scale) -> Shape:
    return (
        Shape() if scale.gateways < LARGE else Shape(services=30, instances=4, tenants=200, zones=3, rules=4)
    )


@pytest.fixture
def times(scale: Scale) -> Times:
    return Times() if scale.gateways < LARGE else Times(steady=30.0, burst=10.0, stopped=10.0, after=3.0)
