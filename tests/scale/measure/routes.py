"""Costs of a gateway's route table: the time to build it, its memory, and the time of a look-up.

The limits on the length of a routes file (MAX_RULES, MAX_TEXT_LENGTH) are lifted in this process only.
"""

from __future__ import annotations

from linenbridge.interface import Idempotency, Method
from linenbridge.routes import language, table as table_module
from linenbridge.routes.table import Request, Table, table

from tests.scale.measure.costs import allocated_bytes, execution_mode, processor_time
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: routes"
MEASURED_BY = "tests.scale.measure.routes"
SIZES = (20, 200, 2_000)
VERBS = ("GET", "POST")
FIND_SIZES = (26, 260, 2_600)
RULES_A_SERVICE = 26  # 230,000 routes in 8,900 services
MAX_DEADLINE = 30_000_000  # microseconds
METHODS = [
    Method(name, Idempotency.IDEMPOTENT, "all", 0, 1_000_000, 1.0) for name in ("look", "store", "charge")
]


def lift_limits() -> None:
    """Allow a routes text of any length in this process."""
    language.MAX_RULES = language.MAX_TEXT_LENGTH = 1 << 40


def text(rules: int) -> str:
    """Return a routes text with 26 rules per service, which differ in path, verb and method."""
    lines = []
    for number in range(rules):
        service, resource = divmod(number, RULES_A_SERVICE)
        lines.append(
            f'route s{service}-r{resource} {{ when authority is "service-{service:04d}.internal"'
            f' and path starts "/v1/resource-{resource:02d}/" and verb is "{VERBS[resource % 2]}"'
            f' method "{METHODS[resource % 3].name}" soft 200ms tenant header("x-tenant") }}'
        )
    return "\n".join(lines) + "\n"


def make_time(rules: int) -> float:
    """Return the microseconds to parse, check and compile a routes text."""
    routes_text = text(rules)
    return processor_time(lambda: table(routes_text, METHODS, MAX_DEADLINE), 1, 3 if rules < 1_000 else 1)


def unchecked_table(rules: int) -> Table:
    """Return a table with that many rules, compiled without the checks of rules against each other."""
    return Table(language.parse(text(rules)), METHODS, MAX_DEADLINE)


def find_time(rules: int) -> float:
    """Return the microseconds to find the rule in the middle of the table."""
    unchecked = unchecked_table(rules)
    service, resource = divmod(rules // 2, RULES_A_SERVICE)

    def find() -> None:
        request = Request(
            f"service-{service:04d}.internal", f"/v1/resource-{resource:02d}/7", VERBS[resource % 2]
        )
        assert unchecked.find(request) is not None

    return processor_time(find, max(10, 10_000 // rules))


def rows() -> list[Slope]:
    """Measure the route table at all sizes."""
    lift_limits()
    common = dict(role=ROLE, size="routes", measured_by=MEASURED_BY, text=execution_mode(table_module))
    return [
        slope(
            "proportional",
            [(n, len(text(n))) for n in SIZES],
            what="bytes of the text",
            unit="bytes",
            **common,
        ),
        slope(
            "quadratic",
            [(n, make_time(n)) for n in SIZES],
            what="a table made, one change being a whole one",
            unit="us",
            **common,
        ),
        slope(
            "linear",
            [(n, allocated_bytes(lambda n=n: unchecked_table(n))) for n in SIZES],
            what="memory of the table",
            unit="bytes",
            **common,
        ),
        slope("linear", [(n, find_time(n)) for n in FIND_SIZES], what="one look-up", unit="us", **common),
    ]


if __name__ == "__main__":
    record(rows())
