"""Options of the scale tests: the size of the installation and the seed of its schedules."""

from __future__ import annotations

import contextlib

import pytest

from tests.scale.families import Outcome, Times, run_families
from tests.scale.installation import Scale
from tests.scale.traffic import Shape

LARGE_TIMES = Times(steady=15.0, burst=5.0, stopped=10.0, after=2.0, factor=1.0)
LARGE = 500  # gateways; from this number on times and tables are those of the full size


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--gateways", type=int, default=12, help="Hollow gateways of a scale test.")
    parser.addoption("--relays", type=int, default=6, help="Relays of a scale test.")
    with contextlib.suppress(ValueError):  # The fleet tests may have added the same option.
        parser.addoption("--seed", type=int, default=1, help="The first schedule's seed.")


def scale_of(gateways: int, relays: int) -> Scale:
    """Return the scale for so many gateways and relays.

    Small installations have short times so that their tests are short; large ones have the times of the
    default settings.
    """
    if gateways < LARGE:
        return Scale(gateways, relays)
    return Scale(
        gateways,
        relays,
        regions=6,
        processes=12,
        stored=0.1,
        batch_delay=200,
        heartbeat=1_000,
        silence=2_500,
        lease=10_000,
        beat=2_000,
        poll_interval=0.5,
    )


def shape_of(scale: Scale) -> Shape:
    """Return the size of the tables: small, as many gateways share a machine."""
    return Shape() if scale.gateways < LARGE else Shape(services=4, instances=4, tenants=20, rules=3)


def times_of(scale: Scale) -> Times:
    return Times() if scale.gateways < LARGE else LARGE_TIMES


@pytest.fixture(scope="session")
def outcomes(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> dict[str, Outcome]:
    """Run the families that are to be tested on one installation and return their outcomes by family.

    The installation is small without the options, as in a run of all tests.
    """
    option = request.config.getoption
    scale = scale_of(option("gateways", 12), option("relays", 6))
    wanted = [
        item.callspec.params["family"]
        for item in request.session.items
        if "outcomes" in getattr(item, "fixturenames", ())
    ]
    folder = tmp_path_factory.mktemp("scale")
    found = run_families(wanted, folder, scale, option("seed", 1), shape_of(scale), times_of(scale))
    return {outcome.family: outcome for outcome in found}
