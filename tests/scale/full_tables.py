"""Measures one real process with the tables of a whole installation: memory, look-ups, changes, restart.

`python -m tests.scale.full_tables` measures at a hundredth, a tenth and all of the size and writes its rows
to docs/capacity/slopes.json; `--small` measures at a hundredth and writes nothing. Times are processor time
of the process's own thread, as other processes share the machine; the time of a restart is wall-clock time.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from pathlib import Path

from linenbridge.distribution.changes import RANGES, Change, Version, range_of
from linenbridge.distribution.decisions import Apply, ReplaceRange
from tests.scale.slopes import Slope, merge, slope
from tests.scale.tables.content import EPOCH, REGIONS, SEED, Content, Size
from tests.scale.tables.process import FILL, Frame, write_frame

SMALL = 0.01
SHARES = (0.01, 0.1, 1.0)
CHANGES = 3_000
SET_CHANGES = 100
ZONE_CHANGES = 20
RULES = 26  # rules of a changed set
ROLE = "gateway: view of all tables"
MEASURED_BY = "tests.scale.full_tables"
MODULE = "tests.scale.tables.process"
ROOT = Path(__file__).parents[2]
MEGABYTE = 1e6
CHANGED = {"tenant": "tenants", "instance": "instances", "routes": "services", "zone": "instances"}
LOOKED_UP = {
    "tenant": "tenants",
    "routes compiled": "services",
    "routes cold": "services",
    "instance in use": "instances",
    "service cold": "services",
}


def ranges(content: Content) -> Iterator[ReplaceRange]:
    """Yield the whole content range by range, as a gateway without a store receives it from its relay."""
    changes_by_range: dict[tuple[str, int], list[Change]] = defaultdict(list)
    for change in (*content.tenants(), *content.all_instances(), *content.routes()):
        changes_by_range[change.region, range_of(change.kind, change.name)].append(change)
    for region in REGIONS:
        upto = Version(EPOCH, content.sequences[region])
        for number in range(RANGES):
            changes = changes_by_range.pop((region, number), [])
            yield ReplaceRange(region, upto, number, changes, final=number == RANGES - 1)


def frames(content: Content) -> Iterator[Frame]:
    """Yield the frames of the whole content, then those of single changes of each kind."""
    for found in ranges(content):
        yield Frame(FILL, content=found)
    makers: tuple[tuple[str, Callable[[], Change], int], ...] = (
        ("tenant", content.another_tenant, CHANGES),
        ("instance", content.another_instance, CHANGES),
        ("routes", lambda: content.another_route_set(RULES), SET_CHANGES),
        ("zone", content.zone_changed, ZONE_CHANGES),
    )
    for what, make, count in makers:
        for _ in range(count):
            change = make()
            yield Frame(what, Apply(change.region, change.version, [change]))


def fill(path: str, content: Content) -> dict:
    """Run a process that is filled from a stream and return its figures.

    Raises SystemExit if its view differs from the content.
    """
    command = [sys.executable, "-m", MODULE, "fill", path]
    with subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        for frame in frames(content):
            write_frame(process.stdin, frame)
        process.stdin.close()
        figures = json.loads(process.stdout.read())
    if figures["digests"] != content.digests:
        raise SystemExit("the digests of the filled view differ from those of the published content")
    return figures


def restart(path: str, share: float, digests: dict[str, int]) -> dict:
    """Run a process that serves from the store and return its figures.

    `first_answer_ms` is the time from its exec to its first answer. Raises SystemExit if its view differs
    from the content.
    """
    began = time.monotonic_ns()
    command = [sys.executable, "-m", MODULE, "restart", path, str(share)]
    figures = json.loads(subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, check=True).stdout)
    if figures["digests"] != digests:
        raise SystemExit("the digests of the restarted view differ from those of the published content")
    figures["first_answer_ms"] = (figures["answered_at"] - began) / 1e6
    return figures


def measured(share: float) -> dict:
    """Return all figures at one share of the size."""
    content = Content(Size().scaled(share), SEED)
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "view.db")
        filled = fill(path, content)
        return {"size": content.size, "fill": filled, "restart": restart(path, share, content.digests)}


# ---- lines and rows ----------------------------------------------------------------------------------


def lines(found: dict) -> Iterator[str]:
    """Yield the figures of one size as lines for a terminal."""
    size = found["size"]
    fill = found["fill"]
    again = found["restart"]
    yield (
        f"{size.routes} routes in {size.services} sets, {size.tenants} tenants, {size.instances} instances: "
        f"filled in {fill['fill_s']:.1f} s of processor time"
    )
    yield (
        f"  memory in MB: interpreter and modules {_mb(fill['base'])}, filled {_mb(fill['filled'])}, "
        f"after changes {_mb(fill['resident'])}, at most {_mb(fill['highest'])}"
    )
    yield (
        f"  after a restart: first answer {again['first_answer_ms']:.0f} ms after exec; memory in MB: "
        f"{_mb(again['restored'])}, after look-ups {_mb(again['after_lookups'])}, "
        f"at most {_mb(again['highest'])}; pages {again['pages']}"
    )
    for title, figures in (
        ("change", fill["change"]),
        ("store", fill["store"]),
        ("look-up", again["lookup"]),
    ):
        for what, spread in figures.items():
            yield f"  {title} {what}: p50 {spread['p50']:.1f} us, p99 {spread['p99']:.1f} us of {spread['n']}"


def _mb(size: int) -> str:
    return f"{size / MEGABYTE:.1f}"


def rows(found: list[dict]) -> list[Slope]:
    """Return the rows for docs/capacity/slopes.json."""

    def row(form: str, what: str, unit: str, size: str, cost: Callable[[dict], float]) -> Slope:
        points = [(getattr(one["size"], size), cost(one)) for one in found]
        return slope(
            form,
            points,
            role=ROLE,
            what=what,
            unit=unit,
            size=size,
            measured_by=MEASURED_BY,
            text="interpreted",
            state="after",
        )

    made = [
        row(
            "linear",
            "memory of a process that was filled",
            "bytes",
            "tenants",
            lambda one: one["fill"]["filled"],
        ),
        row(
            "linear",
            "most memory of a process that was filled",
            "bytes",
            "tenants",
            lambda one: one["fill"]["highest"],
        ),
        row(
            "linear",
            "memory of a process after a restart",
            "bytes",
            "tenants",
            lambda one: one["restart"]["after_lookups"],
        ),
        row(
            "linear",
            "most memory of a process after a restart",
            "bytes",
            "tenants",
            lambda one: one["restart"]["highest"],
        ),
        row(
            "linear",
            "from exec to the first answer after a restart",
            "ms",
            "tenants",
            lambda one: one["restart"]["first_answer_ms"],
        ),
        row("linear", "all changes, checked and stored", "s", "routes", lambda one: one["fill"]["fill_s"]),
    ]
    for table in ("tenants", "routes", "instances"):
        made.append(
            row(
                "linear",
                f"packed pages of the {table}",
                "bytes",
                table,
                lambda one, table=table: one["restart"]["pages"][table],
            )
        )
    for what, size in CHANGED.items():
        for title, part in (("one change", "change"), ("one change stored", "store")):
            made += spreads(row, f"{title}, {what}", size, "fill", part, what)
    for what, size in LOOKED_UP.items():
        made += spreads(row, f"look-up, {what}", size, "restart", "lookup", what)
    return made


def spreads(row: Callable[..., Slope], what: str, size: str, run: str, table: str, name: str) -> list[Slope]:
    """Return the rows for the median and the 99th percentile of the cost at `run`, `table`, `name`."""
    return [
        row("constant", f"{what}, {part}", "us", size, lambda one, part=part: one[run][table][name][part])
        for part in ("p50", "p99")
    ]


def main(small: bool) -> None:
    found = []
    for share in (SMALL,) if small else SHARES:
        found.append(measured(share))
        print("\n".join(lines(found[-1])), flush=True)
    if not small:
        merge(rows(found))


if __name__ == "__main__":
    main("--small" in sys.argv[1:])
