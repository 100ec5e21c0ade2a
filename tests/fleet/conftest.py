"""Options for the number of seeded schedules that each family of tests plays, and for their first seed."""

from __future__ import annotations

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--schedules", type=int, default=1, help="Seeded schedules to play in each family.")
    parser.addoption("--seed", type=int, default=1, help="The first schedule's seed.")


@pytest.fixture
def schedules(request: pytest.FixtureRequest) -> range:
    """Return the seeds to play; seed 1 without options, and in a run of all tests, which defines none."""
    first = request.config.getoption("seed", 1)
    return range(first, first + request.config.getoption("schedules", 1))
