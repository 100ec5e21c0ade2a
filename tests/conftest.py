"""Tests known to fail for a real fault: KNOWN-RED.txt at the root, one line each: `test | cause | issue`.

They run and are passed over, and the closing lines print each with what became of it. It must never hide
another test: a fourth line, one that names no test, or one without a cause or an issue fails the whole run.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

MOST = 3
REDS = pytest.StashKey[list["Red"]]()


class Red(NamedTuple):
    """One line: the test's full name as pytest prints it, why it fails, and the issue that will mend it."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Red]:
    """The lines of the file; none where it is absent or empty."""
    if not path.exists():
        return []
    reds = []
    for line in filter(str.strip, path.read_text().splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not `test | cause | issue`: {line!r}")
        reds.append(Red(*parts))
    if len(reds) > MOST or len({red.test for red in reds}) < len(reds):
        raise pytest.UsageError(f"{path.name}: {len(reds)} lines; {MOST} at most, each test once")
    return reds


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = config.stash[REDS] = read(config.rootpath / "KNOWN-RED.txt")
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for red in reds:
        file = red.test.partition("::")[0]
        if red.test in by_name:
            by_name[red.test].add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=False))
        elif file in files or not (config.rootpath / file).is_file():
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {red.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    became = {
        report.nodeid: kind
        for kind, word in (("failed", "xfailed"), ("passed this time", "xpassed"))
        for report in terminalreporter.stats.get(word, ())
    }
    for red in config.stash.get(REDS, []):
        what = became.get(red.test, "not run")
        terminalreporter.write_line(f"known red, {what}: {red.test}: {red.cause} ({red.issue})")
