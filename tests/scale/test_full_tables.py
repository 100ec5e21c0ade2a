"""The tables at a hundredth of the size in one real process: a restart restores the filled tables."""

from __future__ import annotations

from tests.scale.full_tables import SMALL, lines, measured, rows
from tests.scale.tables.content import Size

MAX_TABLES = (
    12_000_000  # bytes at this size without the interpreter, with compiled sets and allocator overhead
)


def test_filling_and_restarting_at_a_hundredth_of_the_size_gives_all_figures_within_the_memory_limit():
    found = measured(SMALL)
    fill = found["fill"]
    again = found["restart"]
    assert fill["filled"] - fill["base"] < MAX_TABLES
    assert again["restored"] - again["base"] < MAX_TABLES
    assert set(again["lookup"]) == {
        "tenant",
        "routes compiled",
        "routes cold",
        "instance in use",
        "service cold",
    }
    assert set(fill["change"]) == set(fill["store"]) == {"tenant", "instance", "routes", "zone"}
    assert len(list(lines(found))) == 3 + 2 * 4 + 5
    another = {**found, "size": Size().scaled(2 * SMALL)}
    assert all(cost > 0 for row in rows([found, another]) for _, cost in row.points)
