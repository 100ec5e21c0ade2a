"""Tests that the checker of fault runs reports planted breaches, and tests of commands on the examples."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from linenbridge.faults import checker
from linenbridge.faults.deployment import METHODS, RULE_LIMITS
from linenbridge.faults.plan import plan
from linenbridge.faults.fake_proxy import PlannedRequest, RequestRecord
from linenbridge.faults.fake_world import Execution, World

ROOT = Path(__file__).parent.parent


def day() -> tuple[World, list[RequestRecord]]:
    """Return a world with ten successful requests, and their records."""
    world = World(None, 1, METHODS, lambda: 0.0)
    records = []
    for n in range(10):
        method = ("quote", "confirm")[n % 2]
        record = RequestRecord(PlannedRequest(f"r{n}", method, float(n), "/", "GET"))
        record.final_responses.append((n + 0.1, "ok"))
        record.sent.append((n + 0.01, "n1", 1, True))
        world.executions.append(Execution(record.planned.id, method, "n1", 1, n + 0.02))
        records.append(record)
    return world, records


def violations(world: World, records: list[RequestRecord]) -> list[str]:
    return checker.check(world, records, RULE_LIMITS)


def test_a_day_without_violations_passes_every_rule():
    world, records = day()
    assert violations(world, records) == []
    assert checker.utility_ratio(records, METHODS) == 1.0


def test_each_planted_breach_of_a_rule_is_reported():
    world, records = day()
    records[0].final_responses.append((0.2, "ok"))
    records[2].final_responses.clear()
    assert len(violations(world, records)) == 2
    world, records = day()
    world.executions.append(Execution("r1", "confirm", "n2", 1, 1.5))
    assert violations(world, records) == ["r1: run 2 times"]
    world, records = day()
    records[1].sent.append((1.5, "n2", 1, True))
    world.executions.append(Execution("r1", "confirm", "n2", 1, 1.5))
    assert len(violations(world, records)) == 2
    world, records = day()
    records[1].sent.insert(0, (1.0, "n2", 1, False))
    assert violations(world, records) == ["r1: dispatched after its proxy had sent it without the processor"]
    world, records = day()
    world.sent_after_drain.append(("r3", "n1", 0.7))
    records[4].unexpected_responses.append(-1)
    assert len(violations(world, records)) == 2


def test_planted_breaches_of_a_cap_and_a_closed_stage_are_reported():
    world, records = day()
    world.rollout_changes.append((-10.0, 2, 0.1, "testing"))
    for record in records:
        record.sent = [(record.planned.at / 10, "n8", 2, True)]
    found_violations = violations(world, records)
    assert any("reservations at build 2" in violation for violation in found_violations)
    assert any("closed stage" in violation for violation in found_violations)


def test_equal_seeds_give_equal_days_and_other_seeds_give_others():
    assert plan(3, 100.0, 2.0, 0.1) == plan(3, 100.0, 2.0, 0.1) != plan(4, 100.0, 2.0, 0.1)


def test_try_command_prints_one_response_for_each_request():
    command = subprocess.run(
        [sys.executable, "-m", "linenbridge", "try"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert command.returncode == 0, command.stderr
    assert command.stdout.count("│ ok ") == 18
    assert "immediate 502" in command.stdout


def test_route_explain_matches_the_route_of_the_example_settings():
    command = subprocess.run(
        [
            sys.executable,
            "-m",
            "linenbridge",
            "route",
            "explain",
            "-s",
            "examples/settings.xml",
            "-c",
            "examples/config.json",
            "/v1/bookings/7",
            "-X",
            "POST",
            "--json",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert command.returncode == 0
    assert json.loads(command.stdout)["rpc"]["method"] == "book"
