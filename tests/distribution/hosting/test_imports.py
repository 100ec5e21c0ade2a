"""Processes without a distribution do not import its package, and each role imports only what it needs."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tests.fleet.procs.installation import ROOT

DISTRIBUTION = "linenbridge.distribution"
CASES = [
    ("linenbridge.process.gateway", DISTRIBUTION),
    ("linenbridge.processor.server", DISTRIBUTION),
    ("linenbridge.cli.commands", DISTRIBUTION),
    ("linenbridge.simulator.adapter", DISTRIBUTION),
    ("linenbridge.fleet.hosting.quorum_member", DISTRIBUTION),
    ("linenbridge.distribution.hosting.relay", f"{DISTRIBUTION}.view"),
    ("linenbridge.distribution.hosting.gateway", f"{DISTRIBUTION}.log"),
]


@pytest.mark.parametrize(("module", "absent"), CASES)
def test_importing_a_module_loads_no_package_that_it_does_not_need(module, absent):
    program = f"import sys, {module}; print([name for name in sys.modules if name.startswith({absent!r})])"
    run = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert run.stdout.strip() == "[]", run.stdout + run.stderr
