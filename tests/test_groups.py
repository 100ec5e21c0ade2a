"""Tests of a group run on one worker, all other tests on any worker."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.conftest import ALONE, GROUPS, SLOW

ROOT = Path(__file__).parents[1]
TESTS = """
import os, pathlib, pytest, time
@pytest.mark.parametrize("number", range(8))
def test_one(number):
    with open(f"ran-{pathlib.Path(__file__).stem}", "a") as file:
        file.write(os.environ["PYTEST_XDIST_WORKER"] + chr(10))
    time.sleep(0.05)
"""


def test_with_loadgroup_a_group_runs_on_one_worker_and_other_tests_on_several(tmp_path):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    for name in ("test_faults", "test_interop", "test_any"):
        (tmp_path / "tests" / f"{name}.py").write_text(TESTS)
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        "-n",
        "3",
        "--dist",
        "loadgroup",
    ]

    run = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=120)

    assert run.returncode == 0, run.stdout
    workers = {path.name[4:]: path.read_text().split() for path in tmp_path.glob("ran-*")}
    assert len(set(workers["test_faults"] + workers["test_interop"])) == 1
    assert len(set(workers["test_any"])) >= 2
    assert sum(map(len, workers.values())) == 24


def test_every_path_and_test_id_in_the_tables_exists():
    for prefix in (*GROUPS, *SLOW):
        assert (ROOT / prefix).exists(), prefix
    for test in ALONE:
        file, _, name = test.partition("::")
        assert f"def {name}(" in (ROOT / file).read_text(), test
