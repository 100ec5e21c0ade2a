"""The drill's checker finds each rule broken on purpose, and a short day on sockets keeps them all."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from linenbridge.faults import checker
from linenbridge.faults.deployment import METHODS, TERMS
from linenbridge.faults.plan import plan
from linenbridge.faults.fake_proxy import PlannedRequest, RequestRecord
from linenbridge.faults.fake_world import Execution, World

ROOT = Path(__file__).parent.parent


def day() -> tuple[World, list[RequestRecord]]:
    """Ten requests that went well."""
    world = World(None, 1, METHODS, lambda: 0.0)
    records = []
    for n in range(10):
        method = ("quote", "confirm")[n % 2]
        one = RequestRecord(PlannedRequest(f"r{n}", method, float(n), "/", "GET"))
        one.final_responses.append((n + 0.1, "ok"))
        one.sent.append((n + 0.01, "n1", 1, True))
        world.executions.append(Execution(one.planned.id, method, "n1", 1, n + 0.02))
        records.append(one)
    return world, records


def broken(world: World, records: list[RequestRecord]) -> list[str]:
    return checker.check(world, records, TERMS)


def test_a_sound_day_has_nothing_broken():
    world, records = day()
    assert broken(world, records) == []
    assert checker.utility_ratio(records, METHODS) == 1.0


def test_each_rule_broken_on_purpose_is_found():
    world, records = day()
    records[0].final_responses.append((0.2, "ok"))
    records[2].final_responses.clear()
    assert len(broken(world, records)) == 2
    world, records = day()
    world.executions.append(Execution("r1", "confirm", "n2", 1, 1.5))
    assert broken(world, records) == ["r1: run 2 times"]
    world, records = day()
    records[1].sent.append((1.5, "n2", 1, True))
    world.executions.append(Execution("r1", "confirm", "n2", 1, 1.5))
    assert len(broken(world, records)) == 2
    world, records = day()
    records[1].sent.insert(0, (1.0, "n2", 1, False))
    assert broken(world, records) == ["r1: handed out after its proxy had sent it without asking"]
    world, records = day()
    world.sent_after_drain.append(("r3", "n1", 0.7))
    records[4].unexpected_responses.append(-1)
    assert len(broken(world, records)) == 2


def test_a_cap_and_a_closed_stage_broken_on_purpose_are_found():
    world, records = day()
    world.rollout_changes.append((-10.0, 2, 0.1, "testing"))
    for one in records:
        one.sent = [(one.planned.at / 10, "n8", 2, True)]
    found = broken(world, records)
    assert any("tickets at build 2" in what for what in found)
    assert any("closed stage" in what for what in found)


def test_the_same_seed_gives_the_same_day():
    assert plan(3, 100.0, 2.0, 0.1) == plan(3, 100.0, 2.0, 0.1) != plan(4, 100.0, 2.0, 0.1)


def test_a_first_try_on_sockets_shows_one_answer_each():
    found = subprocess.run(
        [sys.executable, "-m", "linenbridge", "try"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert found.returncode == 0, found.stderr
    assert found.stdout.count("│ ok ") == 18
    assert "immediate 502" in found.stdout


def test_explain_by_command_agrees_with_the_example_settings():
    found = subprocess.run(
        [sys.executable, "-m", "linenbridge", "route", "explain", "-s", "examples/settings.xml",
         "-c", "examples/config.json", "/v1/bookings/7", "-X", "POST", "--json"],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert found.returncode == 0
    assert json.loads(found.stdout)["rpc"]["method"] == "book"
