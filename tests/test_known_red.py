"""The reading of KNOWN-RED.txt: it passes over just the tests it names, and prints them."""

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


def played(folder: Path, reds: str | None, *more: str) -> tuple[int, str]:
    (folder / "tests").mkdir()
    (folder / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / "tests" / "test_other.py").write_text("def test_other(): pass\n")
    (folder / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    if reds is not None:
        (folder / "KNOWN-RED.txt").write_text(reds)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *more], cwd=folder,
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    return run.returncode, run.stdout + run.stderr


RED = "tests/test_some.py::test_red | it divides | issue 9\n"
CASE = "tests/test_some.py::test_cases[2] | off by one | issue 10\n"


@pytest.mark.parametrize(("reds", "code"), [(None, 1), ("", 1), (RED, 1), (RED + "\n" + CASE, 0)])
def test_just_the_tests_named_are_passed_over(tmp_path, reds, code):
    assert played(tmp_path, reds)[0] == code


def test_each_is_printed_with_its_cause_and_what_became_of_it(tmp_path):
    code, said = played(tmp_path, RED + CASE + "tests/test_other.py::test_other | rare | issue 3\n")
    assert code == 0
    assert "known red, failed: tests/test_some.py::test_red: it divides (issue 9)" in said
    assert "known red, passed this time: tests/test_other.py::test_other: rare (issue 3)" in said


def test_a_run_of_some_tests_says_which_known_ones_it_did_not_run(tmp_path):
    code, said = played(tmp_path, RED, "tests/test_other.py")
    assert code == 0
    assert "known red, not run: tests/test_some.py::test_red" in said


@pytest.mark.parametrize(
    ("reds", "why"),
    [
        (RED + CASE + "tests/test_some.py::test_sound | a | b\ntests/test_other.py::test | a | b", "at most"),
        (RED + RED, "each test once"),
        ("tests/test_some.py::test_gone | it divides | issue 9\n", "no such test"),
        ("tests/test_gone.py::test_red | it divides | issue 9\n", "no such test"),
        ("tests/test_some.py::test_red | | issue 9\n", "not `test"),
        ("tests/test_some.py::test_red\n", "not `test"),
    ],
)
def test_what_it_may_not_say_fails_the_run(tmp_path, reds, why):
    code, said = played(tmp_path, reds)
    assert code != 0
    assert why in said


WORKERS = ("-n", "2", "--dist", "loadgroup")


def test_workers_pass_over_the_same_tests_and_the_controller_prints_them(tmp_path):
    code, output = played(
        tmp_path, RED + CASE + "tests/test_other.py::test_other | rare | issue 3\n", *WORKERS
    )
    assert code == 0
    assert "known red, failed: tests/test_some.py::test_red: it divides (issue 9)" in output
    assert "known red, failed: tests/test_some.py::test_cases[2]: off by one (issue 10)" in output
    assert "known red, passed this time: tests/test_other.py::test_other: rare (issue 3)" in output


def test_workers_fail_the_run_for_a_test_that_is_not_named(tmp_path):
    assert played(tmp_path, RED, *WORKERS)[0] == 1


@pytest.mark.parametrize(
    ("reds", "reason"),
    [
        (RED + RED, "each test once"),
        ("tests/test_some.py::test_gone | it divides | issue 9\n", "no such test"),
        ("tests/test_gone.py::test_red | it divides | issue 9\n", "no such test"),
    ],
)
def test_a_wrong_line_fails_the_run_with_workers_too(tmp_path, reds, reason):
    code, output = played(tmp_path, reds, *WORKERS)
    assert code == pytest.ExitCode.USAGE_ERROR
    assert reason in output
