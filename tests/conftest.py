"""Scheduling of tests that can't run beside others, and tests that are known to fail because of a real fault.

Tests that start processes or measure time are in one group with the tests that would slow them down: with
`--dist loadgroup` a group runs on one worker, one test after the other. `GROUPS` assigns the groups in place
of marks, which xdist 3.8 can't pass to its scheduler with pytest 9.2. The tests of groups and of `SLOW` are
marked `slow`.

KNOWN-RED.txt at the root lists the tests that are known to fail, one line each: `test | cause | issue`. They
run, their failures don't fail the run, and the closing lines print each with its result. No other failure is
accepted: a fourth line, a line that names no test, or a line without a cause or an issue fails the whole run.
With xdist the workers check the names, since only workers collect tests, and the controller fails the run.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import pytest

MAX_KNOWN_FAILURES = 3
KNOWN_FAILURES = pytest.StashKey[list["KnownFailure"]]()
WORKER_ERROR = "known_red_fault"  # the key under which a worker reports an invalid line to the controller
GROUPS = {
    "tests/fleet/procs/": "fleet",
    "tests/distribution/hosting/test_processes.py": "distribution",
    "tests/scale/test_families.py": "scale",
    "tests/scale/test_full_tables.py": "scale",
    "tests/scale/test_measure.py": "scale",
    "tests/net/test_command_backlog.py": "gateway",
    "tests/net/test_crossings.py": "gateway",
    "tests/net/test_ends.py": "gateway",
    "tests/net/test_process.py": "gateway",
    "tests/net/test_clock.py": "gateway",
    "tests/net/test_serve_stops.py": "gateway",
    "tests/net/test_soak.py": "gateway",
    "tests/net/test_starts.py": "gateway",
    "tests/test_configuration.py": "processor",
    "tests/test_faults.py": "processor",
    "tests/test_interop.py": "processor",
}  # by the prefix of a test's id
ALONE = (
    "tests/net/test_crossings.py::test_a_ping_and_a_request_get_their_responses_during_a_flood_of_silent_connections",
    "tests/distribution/hosting/test_processes.py::test_a_change_reaches_the_gateways_of_another_region",
)  # these fail beside ten busy workers: a gateway starts too slowly, or leaves a relay that answers late
SLOW = (
    "tests/fleet/explore/",
    "tests/test_groups.py",
    "tests/test_known_red.py",
)  # long searches, and tests that run pytest themselves; they need no group


class KnownFailure(NamedTuple):
    """A line of KNOWN-RED.txt: the test's id as pytest prints it, why it fails, and the issue for it."""

    test: str
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the lines of the file, none where it is absent or empty; UsageError if the file is invalid."""
    if not path.exists():
        return []
    known_failures = []
    for line in filter(str.strip, path.read_text().splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not `test | cause | issue`: {line!r}")
        known_failures.append(KnownFailure(*parts))
    if len(known_failures) > MAX_KNOWN_FAILURES or len({known.test for known in known_failures}) < len(
        known_failures
    ):
        raise pytest.UsageError(
            f"{path.name}: {len(known_failures)} lines; {MAX_KNOWN_FAILURES} at most, each test once"
        )
    return known_failures


def check_names(known_failures: list[KnownFailure], tests: set[str], root: Path) -> None:
    """Raise UsageError if a line names no test; in files that this run does not collect any name passes."""
    files = {test.partition("::")[0] for test in tests}
    for known in known_failures:
        file = known.test.partition("::")[0]
        if known.test not in tests and (file in files or not (root / file).is_file()):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {known.test}")


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", "alone: runs after the others, in one process")
    config.addinivalue_line("markers", "slow: starts processes, measures time or searches for long")
    config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath / "KNOWN-RED.txt")


def group_of(test: str) -> str:
    """Return the group of a test by its id; "" for a test that can run beside any other."""
    return next((group for start, group in GROUPS.items() if test.startswith(start)), "")


def pytest_itemcollected(item: pytest.Item) -> None:
    """Mark the tests that a short run leaves out, and those that run alone."""
    if group_of(item.nodeid) or item.nodeid.startswith(SLOW):
        item.add_marker(pytest.mark.slow)
    if item.nodeid.startswith(ALONE):
        item.add_marker(pytest.mark.alone)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: Any) -> Any:
    """With `--dist loadgroup`, assign each group to one worker and all other tests one by one."""
    if config.getoption("dist") != "loadgroup":
        return None
    from xdist.scheduler import LoadScopeScheduling  # not at the top: tests also run without xdist

    class GroupScheduling(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            return group_of(nodeid) or nodeid

    return GroupScheduling(config, log)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known_failures = config.stash[KNOWN_FAILURES]
    by_name = {item.nodeid: item for item in items}
    try:
        check_names(known_failures, set(by_name), config.rootpath)
    except pytest.UsageError as error:
        if not hasattr(config, "workeroutput"):
            raise
        config.workeroutput[WORKER_ERROR] = str(error)
        items.clear()
        return
    for known in known_failures:
        if known.test in by_name:
            by_name[known.test].add_marker(
                pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=False)
            )


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any, error: object) -> None:
    """Fail the run if a worker found an invalid line: the controller of xdist collects no tests itself."""
    if message := getattr(node, "workeroutput", {}).get(WORKER_ERROR):
        raise pytest.UsageError(message)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known_failures = config.stash.get(KNOWN_FAILURES, [])
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", ())}
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", ())}
    for known in known_failures:
        result = (
            "failed" if known.test in failed else "passed this time" if known.test in passed else "not run"
        )
        terminalreporter.write_line(f"known red, {result}: {known.test}: {known.cause} ({known.issue})")
