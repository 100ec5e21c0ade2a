"""The drill's checker finds each rule broken on purpose, and a short day on sockets keeps them all."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from linenbridge.faults import checker
from linenbridge.faults.deployment import KINDS, TERMS
from linenbridge.faults.plan import plan
from linenbridge.faults.fake_proxy import Ask, Told
from linenbridge.faults.fake_world import Ran, World

ROOT = Path(__file__).parent.parent


def day() -> tuple[World, list[Told]]:
    """Ten requests that went well."""
    world = World(None, 1, KINDS, lambda: 0.0)
    told = []
    for n in range(10):
        method = ("quote", "confirm")[n % 2]
        one = Told(Ask(f"r{n}", method, float(n), "/", "GET"))
        one.finals.append((n + 0.1, "ok"))
        one.sent.append((n + 0.01, "n1", 1, True))
        world.ran.append(Ran(one.ask.id, method, "n1", 1, n + 0.02))
        told.append(one)
    return world, told


def broken(world: World, told: list[Told]) -> list[str]:
    return checker.check(world, told, TERMS)


def test_a_sound_day_has_nothing_broken():
    world, told = day()
    assert broken(world, told) == []
    assert checker.g(told, KINDS) == 1.0


def test_each_rule_broken_on_purpose_is_found():
    world, told = day()
    told[0].finals.append((0.2, "ok"))
    told[2].finals.clear()
    assert len(broken(world, told)) == 2
    world, told = day()
    world.ran.append(Ran("r1", "confirm", "n2", 1, 1.5))
    assert broken(world, told) == ["r1: run 2 times"]
    world, told = day()
    told[1].sent.append((1.5, "n2", 1, True))
    world.ran.append(Ran("r1", "confirm", "n2", 1, 1.5))
    assert len(broken(world, told)) == 2
    world, told = day()
    told[1].sent.insert(0, (1.0, "n2", 1, False))
    assert broken(world, told) == ["r1: handed out after its proxy had sent it without asking"]
    world, told = day()
    world.late.append(("r3", "n1", 0.7))
    told[4].answers.append(-1)
    assert len(broken(world, told)) == 2


def test_a_cap_and_a_closed_stage_broken_on_purpose_are_found():
    world, told = day()
    world.news_at.append((-10.0, 2, 0.1, "testing"))
    for one in told:
        one.sent = [(one.ask.at / 10, "n8", 2, True)]
    found = broken(world, told)
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
