"""KNOWN-RED.txt: failures of the tests that it lists don't fail the run, and each is printed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).with_name("conftest.py")
TESTS = """
import pytest
def test_sound(): pass
def test_red(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_cases(n): assert n == 1
"""


def run_pytest(folder: Path, lines: str | None, *options: str) -> tuple[int, str]:
    (folder / "tests").mkdir()
    (folder / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / "tests" / "test_other.py").write_text("def test_other(): pass\n")
    (folder / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text(lines)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


RED_LINE = "tests/test_some.py::test_red | it divides | issue 9\n"
CASE_LINE = "tests/test_some.py::test_cases[2] | off by one | issue 10\n"


@pytest.mark.parametrize(
    ("lines", "exit_code"), [(None, 1), ("", 1), (RED_LINE, 1), (RED_LINE + "\n" + CASE_LINE, 0)]
)
def test_a_run_passes_only_if_all_failing_tests_are_listed(tmp_path, lines, exit_code):
    assert run_pytest(tmp_path, lines)[0] == exit_code


def test_each_listed_test_is_printed_with_its_result_cause_and_issue(tmp_path):
    exit_code, output = run_pytest(
        tmp_path, RED_LINE + CASE_LINE + "tests/test_other.py::test_other | rare | issue 3\n"
    )
    assert exit_code == 0
    assert "known red, failed: tests/test_some.py::test_red: it divides (issue 9)" in output
    assert "known red, passed this time: tests/test_other.py::test_other: rare (issue 3)" in output


def test_a_listed_test_outside_a_partial_run_is_printed_as_not_run(tmp_path):
    exit_code, output = run_pytest(tmp_path, RED_LINE, "tests/test_other.py")
    assert exit_code == 0
    assert "known red, not run: tests/test_some.py::test_red" in output


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (
            RED_LINE
            + CASE_LINE
            + "tests/test_some.py::test_sound | a | b\ntests/test_other.py::test | a | b",
            "at most",
        ),
        (RED_LINE + RED_LINE, "each test once"),
        ("tests/test_some.py::test_gone | it divides | issue 9\n", "no such test"),
        ("tests/test_gone.py::test_red | it divides | issue 9\n", "no such test"),
        ("tests/test_some.py::test_red | | issue 9\n", "not `test"),
        ("tests/test_some.py::test_red\n", "not `test"),
    ],
)
def test_an_invalid_line_fails_the_run(tmp_path, lines, reason):
    exit_code, output = run_pytest(tmp_path, lines)
    assert exit_code != 0
    assert reason in output


WORKER_OPTIONS = ("-n", "2", "--dist", "loadgroup")


def test_with_workers_listed_failures_pass_the_run_and_the_controller_prints_them(tmp_path):
    exit_code, output = run_pytest(
        tmp_path, RED_LINE + CASE_LINE + "tests/test_other.py::test_other | rare | issue 3\n", *WORKER_OPTIONS
    )
    assert exit_code == 0
    assert "known red, failed: tests/test_some.py::test_red: it divides (issue 9)" in output
    assert "known red, failed: tests/test_some.py::test_cases[2]: off by one (issue 10)" in output
    assert "known red, passed this time: tests/test_other.py::test_other: rare (issue 3)" in output


def test_with_workers_a_failing_test_that_is_not_listed_fails_the_run(tmp_path):
    assert run_pytest(tmp_path, RED_LINE, *WORKER_OPTIONS)[0] == 1


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (RED_LINE + RED_LINE, "each test once"),
        ("tests/test_some.py::test_gone | it divides | issue 9\n", "no such test"),
        ("tests/test_gone.py::test_red | it divides | issue 9\n", "no such test"),
    ],
)
def test_with_workers_an_invalid_line_fails_the_run(tmp_path, lines, reason):
    exit_code, output = run_pytest(tmp_path, lines, *WORKER_OPTIONS)
    assert exit_code == pytest.ExitCode.USAGE_ERROR
    assert reason in output
