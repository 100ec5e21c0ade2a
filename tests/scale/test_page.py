"""The capacity page matches the slopes and the size, and the fit of each slope matches its points."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

import msgspec
import pytest

from tests.scale import families, slopes as slopes_file
from tests.scale.fits import FORMS, fitted
from tests.scale.installation import Scale
from tests.scale.page import control, gateway, render
from tests.scale.page.__main__ import PAGE, MissingPartError, filled, parts
from tests.scale.page.families import Outcome, Outcomes
from tests.scale.page.figures import Costs, Figure, Known, Row, cost_at
from tests.scale.page.size import load_installation_size

SLOPES = slopes_file.load()
TENFOLD = 10.0


def test_the_page_equals_the_output_of_the_program() -> None:
    page = PAGE.read_text()
    assert filled(page, parts()) == page, "run `python -m tests.scale.page --write`"


def test_every_file_that_the_page_names_exists() -> None:
    root = PAGE.parents[1]

    named = set(re.findall(r"`([a-z0-9_/]+(?:\.py|/))`", PAGE.read_text()))

    missing = [
        name for name in named if not any((folder / name).exists() for folder in (root / "linenbridge", root))
    ]
    assert len(named) > 20
    assert missing == []


def test_filling_a_page_with_a_changed_figure_restores_the_page() -> None:
    page = PAGE.read_text()

    changed = page.replace("3,200", "3,201", 1)

    assert changed != page
    assert filled(changed, parts()) == page


def test_filling_a_page_without_the_markers_of_a_part_raises_an_error() -> None:
    with pytest.raises(MissingPartError, match="roles"):
        filled("<!-- size: begin -->\n<!-- size: end -->", {"size": "x\n", "roles": "y\n"})


@pytest.mark.parametrize("slope", SLOPES, ids=lambda slope: " - ".join(slope.key))
def test_the_stored_fit_equals_the_fit_of_the_points(slope: slopes_file.Slope) -> None:
    assert fitted(slope.fit.form, slope.points) == slope.fit


@pytest.mark.parametrize("slope", SLOPES, ids=lambda slope: " - ".join(slope.key))
def test_a_slope_has_three_sizes_that_differ_tenfold_and_a_program_that_measured_it(
    slope: slopes_file.Slope,
) -> None:
    sizes = sorted(size for size, _ in slope.points if size > 0)
    assert len(sizes) >= 3
    assert all(larger / smaller >= TENFOLD for smaller, larger in zip(sizes, sizes[1:], strict=False))
    assert importlib.util.find_spec(slope.measured_by) is not None
    assert slope.state in slopes_file.STATES


def all_rows(slopes: list[slopes_file.Slope]) -> list[Row]:
    """Return the rows of the page for these slopes, without outcomes."""
    size = load_installation_size()
    return render.all_rows(size, slopes, Outcomes([], size))


def test_the_rows_have_exactly_the_known_roles() -> None:
    rows = all_rows(SLOPES)
    assert {row.role for row in rows} == {*gateway.ROLES, *control.ROLES}


def test_without_slopes_every_row_stays_and_is_marked_as_not_measured() -> None:
    with_slopes = all_rows(SLOPES)

    without = all_rows([])

    assert [(row.role, row.what) for row in without] == [(row.role, row.what) for row in with_slopes]
    unmeasured = [row for row in without if row.ordinary is None and row.burst is None]
    assert unmeasured
    assert all(row.known == "**not measured**" for row in unmeasured)


@pytest.mark.parametrize(
    ("form", "coefficients"),
    [
        ("constant", (5.0,)),
        ("proportional", (2.5,)),
        ("linear", (3.0, 0.5)),
        ("n log n", (2.0, 0.25)),
        ("quadratic", (4.0, 0.125)),
    ],
)
def test_a_fit_finds_the_coefficients_of_exact_points(form: str, coefficients: tuple[float, ...]) -> None:
    points = [
        (size, sum(c * term(size) for c, term in zip(coefficients, FORMS[form], strict=True)))
        for size in (20.0, 200.0, 2_000.0, 20_000.0)
    ]

    found = fitted(form, points)

    assert found.coefficients == pytest.approx(coefficients, rel=1e-5)
    assert found.worst_error == 0.0


def test_a_cost_is_measured_at_a_point_interpolated_between_points_and_extrapolated_beyond() -> None:
    points = [(10.0, 100.0), (100.0, 1_000.0), (1_000.0, 10_000.0)]
    slope = slopes_file.slope(
        "proportional", points, role="r", what="w", size="s", unit="us", measured_by="m", text="compiled"
    )

    between = cost_at(slope, 50)
    beyond = cost_at(slope, 100_000)

    assert cost_at(slope, 100) == Figure(1_000.0, Known.MEASURED)
    assert (between.known, beyond.known) == (Known.BETWEEN, Known.EXTRAPOLATED)
    assert (between.value, beyond.value) == pytest.approx((500.0, 1_000_000.0))
    assert Costs([slope]).at("r", "nothing", 10) is None


def test_a_row_has_the_factor_of_its_larger_figure_and_the_least_certain_label() -> None:
    row = Row(
        role="r",
        what="w",
        unit="s",
        mechanism="m",
        ordinary=Figure(1.0, Known.MEASURED),
        burst=Figure(12.0, Known.EXTRAPOLATED),
        budget=4.0,
    )

    unmeasured = msgspec.structs.replace(row, ordinary=None, burst=None)

    assert row.factor == 3.0
    assert row.known == "**extrapolated**"
    assert unmeasured.factor is None
    assert unmeasured.known == "**not measured**"


def test_merging_replaces_only_rows_with_the_same_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.json"
    common = dict(role="r", size="s", unit="us", measured_by="m", text="compiled")
    points = [(10.0, 1.0), (100.0, 2.0), (1_000.0, 3.0)]
    first, second = (slopes_file.slope("linear", points, what=what, **common) for what in ("a", "b"))
    slopes_file.merge([first, second], path)
    slower = slopes_file.slope("linear", [(size, 2 * cost) for size, cost in points], what="a", **common)

    slopes_file.merge([slower], path)

    assert slopes_file.load(path) == [slower, second]
    assert "r | a" in capsys.readouterr().out


def test_outcomes_use_only_runs_at_the_full_size() -> None:
    size = load_installation_size()
    small = Outcome(
        family="steady",
        gateways=60,
        relays=6,
        regions=2,
        seed=1,
        changes=10,
        pairs=600,
        p50_ms=300.0,
        p99_ms=600.0,
        max_ms=900.0,
        bytes_in=500.0,
        bytes_out=90.0,
        gateway_share=0.001,
        relay_share=0.1,
        publisher_share=0.02,
        gateway_mb=30.0,
        relay_mb=60.0,
        equal=True,
        breaches=0,
    )
    full = msgspec.structs.replace(
        small, gateways=size.fleet.gateways, relays=size.budget.relays, max_ms=1_900.0
    )
    killed = msgspec.structs.replace(full, family="relay-killed", max_ms=3_700.0)

    outcomes = Outcomes([small, full, killed], size)

    assert Outcomes([small], size).steady("max_ms") is None
    assert outcomes.steady("max_ms") == Figure(1_900.0, Known.MEASURED)
    assert outcomes.faulty("max_ms", 2.0) == Figure(7_400.0, Known.MEASURED)
    assert render.families([small]).count("\n") == 3


def test_the_page_reads_the_rows_of_a_family_outcome() -> None:
    outcome = families.Outcome("steady", Scale(3_200, 24, 6), 1, changes=10, notes={"made good": 1.5})

    read = msgspec.convert(outcome.row(), Outcome)

    assert msgspec.structs.asdict(read) == outcome.row()
