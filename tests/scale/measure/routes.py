"""A gateway's route table: the time to make one, its memory, and the time of a look-up.

The limits on the length of a routes file (MAX_RULES, MAX_TEXT_LENGTH) are lifted in this program only.
"""

from __future__ import annotations

from linenbridge.interface import Idempotency, Method
from linenbridge.routes import language, table as table_module
from linenbridge.routes.table import Request, Table, table

from tests.scale.measure.costs import allocated_bytes, processor_time, text_of
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: routes"
MEASURED_BY = "tests.scale.measure.routes"
SIZES = (20, 200, 2_000)
VERBS = ("GET", "POST")
FIND_SIZES = (26, 260, 2_600)
RULES_A_SERVICE = 26  # 230,000 routes over 8,900 services
LONGEST = 30_000_000
METHODS = [
    Method(name, Idempotency.IDEMPOTENT, "all", 0, 1_000_000, 1.0) for name in ("look", "store", "charge")
]


def lift_limits() -> None:
    """Lets a text of any length through, in this process."""
    language.MAX_RULES = language.MAX_TEXT_LENGTH = 1 << 40


def text(rules: int) -> str:
    """Routes in sets of 26 a service: each by a path and a verb of its own; their methods differ in turn."""
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
    """Microseconds to read, check and compile a whole text."""
    written = text(rules)
    return processor_time(lambda: table(written, METHODS, LONGEST), 1, 3 if rules < 1_000 else 1)


def unchecked(rules: int) -> Table:
    return Table(language.parse(text(rules)), METHODS, LONGEST)


def find_time(rules: int) -> float:
    """Microseconds to find the rule in the middle of the table."""
    made = unchecked(rules)
    service, resource = divmod(rules // 2, RULES_A_SERVICE)

    def find() -> None:
        request = Request(
            f"service-{service:04d}.internal", f"/v1/resource-{resource:02d}/7", VERBS[resource % 2]
        )
        assert made.find(request) is not None

    return processor_time(find, max(10, 10_000 // rules))


def rows() -> list[Slope]:
    lift_limits()
    common = dict(role=ROLE, size="routes", measured_by=MEASURED_BY, text=text_of(table_module))
    return [
        slope("proportional", [(n, len(text(n))) for n in SIZES],
              what="bytes of the text", unit="bytes", **common),
        slope("quadratic", [(n, make_time(n)) for n in SIZES],
              what="a table made, one change being a whole one", unit="us", **common),
        slope("linear", [(n, allocated_bytes(lambda n=n: unchecked(n))) for n in SIZES],
              what="memory of the table", unit="bytes", **common),
        slope("linear", [(n, find_time(n)) for n in FIND_SIZES], what="one look-up", unit="us", **common),
    ]  # fmt: skip


if __name__ == "__main__":
    record(rows())
