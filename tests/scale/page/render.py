"""Render the generated parts of the page as Markdown: size, rows over budget, roles, families and slopes."""

from __future__ import annotations

from collections.abc import Sequence

from tests.scale.page import control, gateway
from tests.scale.page.families import Outcome, Outcomes
from tests.scale.page.figures import KNOWN_LABELS, Costs, Figure, Row
from tests.scale.page.size import MEGABYTE, Size
from tests.scale.slopes import Slope

THOUSANDS = ("", "k", "M", "G", "T")
MINUTE = 60.0
HOUR = 3_600.0
MIN_LARGE_FACTOR = 10.0  # factors from this value on are rendered with three significant digits
MIN_SEPARATED_NUMBER = 1_000.0  # numbers from this value on are rendered with separators


def all_rows(size: Size, slopes: list[Slope], outcomes: Outcomes) -> list[Row]:
    """Return the rows of every role in the order of the page."""
    costs = Costs(slopes)
    return [*gateway.rows(size, costs), *control.rows(size, costs, outcomes)]


# ---- quantities ----------------------------------------------------------------------------------------


def number(value: float) -> str:
    """Render a number with three significant digits, and with separators if it is large."""
    if value == 0.0:
        return "0"
    if value >= MIN_SEPARATED_NUMBER:
        digits = len(str(int(value))) - 3
        return f"{int(round(value / 10**digits) * 10**digits):,}"
    return f"{float(f'{value:.3g}'):g}"


def byte_count(value: float) -> str:
    """Render bytes in decimal units."""
    step = 0
    while value >= 1_000.0 and step < len(THOUSANDS) - 1:
        value /= 1_000.0
        step += 1
    return f"{float(f'{value:.3g}'):g} {THOUSANDS[step]}B"


def seconds(value: float) -> str:
    """Render a time in seconds with a unit that fits its size."""
    if value < 1e-3:
        return f"{number(value * 1e6)} us"
    if value < 1.0:
        return f"{number(value * 1e3)} ms"
    if value < 2 * MINUTE:
        return f"{number(value)} s"
    if value < 2 * HOUR:
        return f"{number(value / MINUTE)} min"
    return f"{number(value / HOUR)} h"


def quantity(value: float, unit: str) -> str:
    """Render a value with its unit."""
    match unit:
        case "bytes":
            return byte_count(value)
        case "bytes/s":
            return f"{byte_count(value)}/s"
        case "s":
            return seconds(value)
        case "core":
            return f"{number(value * 100)}% of a core"
        case "1/s":
            return f"{number(value)}/s"
    return number(value)


def figure(found: Figure | None, unit: str) -> str:
    """Render a figure with its unit, or "-" without a figure."""
    return "-" if found is None else quantity(found.value, unit)


def excess(row: Row) -> str:
    """Render by how much the largest figure of a row exceeds its budget."""
    return "-" if row.largest is None else excess_text(row.largest.value, row.budget)


def excess_text(value: float, budget: float | None) -> str:
    """Render the factor by which a value exceeds its budget, "no" within it, or "-" without one."""
    if not budget:
        return "-"
    return "no" if value <= budget else f"**{factor_text(value / budget)}**"


def factor_text(factor: float) -> str:
    """Render a factor over a budget."""
    return f"{number(factor)} times" if factor >= MIN_LARGE_FACTOR else f"{factor:.1f} times"


# ---- tables --------------------------------------------------------------------------------------------


def table(heads: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """Render a Markdown table."""
    table_rows = [heads, ["---"] * len(heads), *lines]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in table_rows) + "\n"


def _row_cells(row: Row) -> list[str]:
    burst = figure(row.burst, row.unit)
    if row.burst_is:
        burst = f"{burst} ({row.burst_is})"
    return [
        row.what,
        row.mechanism,
        figure(row.ordinary, row.unit),
        burst,
        "-" if row.budget is None else quantity(row.budget, row.unit),
        excess(row),
        row.known,
    ]


ROLE_HEADS = ("what", "mechanism", "on an ordinary second", "at a burst", "budget", "over by", "known")


def role_tables(rows: list[Row]) -> str:
    """Render a table for each role."""
    parts = []
    for role in (*gateway.ROLES, *control.ROLES):
        lines = [_row_cells(row) for row in rows if row.role == role]
        parts.append(f"### {role[0].upper()}{role[1:]}\n\n{table(ROLE_HEADS, lines)}")
    return "\n".join(parts)


def largest_excess(rows: list[Row]) -> Row:
    """Return the row with the largest factor over its budget."""
    return max((row for row in rows if row.factor is not None), key=lambda row: row.factor or 0.0)


MAX_ROWS_OVER = 12


def rows_over_budget(rows: list[Row]) -> str:
    """Render a summary of the row that exceeds its budget most, and a table of the rows over budget."""
    first = largest_excess(rows)
    value = 0.0 if first.largest is None else first.largest.value
    summary = (
        f"**What gives first: {first.what}** ({first.role}): {quantity(value, first.unit)} where "
        f"{quantity(first.budget or 0.0, first.unit)} are allowed, {factor_text(first.factor or 0.0)} "
        f"({first.known.strip('*')}). It is carried by {first.mechanism}.\n"
    )
    exceeding = [row for row in rows if row.factor is not None and row.factor > 1.0]
    exceeding.sort(key=lambda row: -(row.factor or 0.0))
    lines = [
        [row.role, row.what, factor_text(row.factor or 0.0), row.known] for row in exceeding[:MAX_ROWS_OVER]
    ]
    return f"{summary}\n{table(('role', 'what', 'over by', 'known'), lines)}"


COMPARISON_HEADS = ("role", "what", "before", "now", "new tables", "budget", "over by", "known")


def comparison(rows: list[Row]) -> str:
    """Render the rows that have a figure from before a change, or one of the tables that are off in `run`."""
    lines = [_comparison_cells(row) for row in rows if row.before is not None or row.after is not None]
    return table(COMPARISON_HEADS, lines) if lines else "Not measured yet.\n"


def _comparison_cells(row: Row) -> list[str]:
    newest = row.after or row.largest
    return [
        row.role,
        row.what,
        figure(row.before, row.unit),
        figure(row.largest, row.unit),
        figure(row.after, row.unit),
        "-" if row.budget is None else quantity(row.budget, row.unit),
        "-" if newest is None else excess_text(newest.value, row.budget),
        "**not measured**" if newest is None else KNOWN_LABELS[newest.known],
    ]


STATE_LABELS = {"before": " (before)", "now": "", "after": " (new tables)"}


def slope_table(slopes: list[Slope]) -> str:
    """Render every measured slope with its points and its fit."""
    lines = [
        [
            slope.role,
            slope.what + STATE_LABELS[slope.state],
            f"{slope.unit} by {slope.size}",
            ", ".join(f"{number(size)}: {number(cost)}" for size, cost in slope.points),
            f"{slope.fit.form}, off by {slope.fit.worst_error:.0%} at most",
            slope.text,
            f"`{slope.measured_by}`",
        ]
        for slope in sorted(slopes, key=lambda slope: slope.key)
    ]
    return table(("role", "what", "unit", "size: cost", "fit", "text", "measured by"), lines)


def size_table(size: Size) -> str:
    """Render the stated size and the figures derived from it."""
    fleet = size.fleet
    budget = size.budget
    lines = [
        ["gateways", number(fleet.gateways)],
        ["instances, services", f"{number(fleet.instances)}, {number(fleet.services)}"],
        ["regions, zones", f"{fleet.regions}, {fleet.zones}"],
        [
            "requests a second, of all and of a gateway",
            f"{number(size.load.requests_a_second)}, {number(size.requests_a_gateway)}",
        ],
        ["routes, of a service", f"{number(size.configuration.routes)}, {number(size.routes_a_service)}"],
        ["tenants", number(size.configuration.tenants)],
        [
            "changes of configuration a day, a second",
            f"{number(size.configuration.changes_a_day)}, {number(size.configuration_changes_a_second)}",
        ],
        [
            "restarts a day, list changes a second",
            f"{number(size.failures.restarts_a_day)}, {number(size.list_changes_a_second)}",
        ],
        ["machines that fail on an ordinary day", number(size.failures.machines_failing_a_day)],
        ["instances of a zone", number(size.instances_a_zone)],
        ["gateways that restart together", number(size.gateways_restarting)],
        [
            "control at a gateway, at most",
            f"{quantity(budget.core_share, 'core')}, {byte_count(size.memory)}, "
            f"{quantity(budget.bytes_a_second, 'bytes/s')}",
        ],
        [
            "machines for control: relays, seats of the quorum",
            f"{budget.machines}: {budget.relays}, {budget.quorum_members}",
        ],
    ]
    return table(("", ""), lines)


FAMILY_HEADS = (
    "family",
    "gateways, relays, regions",
    "seed",
    "changes",
    "in force p50, p99, most",
    "a gateway: bytes in, out",
    "a gateway: core, memory",
    "a relay: core, memory",
    "a publisher: core",
    "notes",
    "digests",
    "breaches",
)


def families(outcomes: list[Outcome]) -> str:
    """Render the outcomes of the scale tests' families."""
    if not outcomes:
        return "No family has been run yet.\n"
    return table(FAMILY_HEADS, [_family_cells(outcome) for outcome in outcomes])


def _family_cells(outcome: Outcome) -> list[str]:
    times = (outcome.p50_ms, outcome.p99_ms, outcome.max_ms)
    return [
        outcome.family,
        f"{number(outcome.gateways)}, {outcome.relays}, {outcome.regions}",
        str(outcome.seed),
        number(outcome.changes),
        ", ".join(seconds(time / 1000) for time in times),
        f"{byte_count(outcome.bytes_in)}/s, {byte_count(outcome.bytes_out)}/s",
        f"{number(outcome.gateway_share * 100)}%, {byte_count(outcome.gateway_mb * MEGABYTE)}",
        f"{number(outcome.relay_share * 100)}%, {byte_count(outcome.relay_mb * MEGABYTE)}",
        f"{number(outcome.publisher_share * 100)}%",
        ", ".join(f"{name} {seconds(value)}" for name, value in outcome.notes.items()) or "-",
        "equal" if outcome.equal else "**unequal**",
        str(outcome.breaches),
    ]
