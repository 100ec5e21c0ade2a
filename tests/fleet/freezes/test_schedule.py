"""What is held now, and what the decision module makes of it: no 'on', no larger share, 'back' as ever."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from zoneinfo import ZoneInfo

import pytest

from linenbridge.decisions import CastVote, SendAttempt
from linenbridge.interface import Outcome, RolloutPhase, SECOND, Vote
from linenbridge.policy import DecisionModule
from linenbridge.configuration.read import ConfigurationError
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.fleet.freezes.schedule import FreezeSchedule
from linenbridge.fleet.freezes.windows import Window
from tests.policy.helpers import fail_trial, outcome
from tests.helpers import MS, entry, pull, running, startup

START = datetime(2026, 12, 8, 2)
NOW = int(START.replace(tzinfo=UTC).timestamp()) * SECOND
MINUTE = 60 * SECOND


def hold(name: str, begin: int, end: int, *zones: str, **more) -> Window:
    """From and until so many minutes after the start."""
    first, last = (START + timedelta(minutes=at) for at in (begin, end))
    return Window(name, "hold", first, last, ZoneInfo("UTC"), frozenset(zones), **more)


def said(core: FreezeSchedule, now: int) -> list:
    """Zones held, as told; log lines by their window."""
    found = iter(lambda: core.next_decision(now), None)
    return [row[1] if row[0] == "hold" else f"{row[1]} {row[2]['window']}" for row in found]


def test_holds_begin_overlap_and_end_by_the_clock_alone():
    core = FreezeSchedule((hold("a", 10, 30, "west"), hold("b", 20, 40, "east"), hold("c", 25, 26)), NOW)
    assert said(core, NOW) == [] and core.wake_at() == NOW + 10 * MINUTE
    assert said(core, NOW + 10 * MINUTE) == ["hold.open a", frozenset({"west"})]
    assert said(core, NOW + 20 * MINUTE) == ["hold.open b", frozenset({"west", "east"})]
    assert said(core, NOW + 25 * MINUTE) == ["hold.open c", frozenset()]
    assert said(core, NOW + 26 * MINUTE) == ["hold.over c", frozenset({"west", "east"})]
    assert said(core, NOW + 45 * MINUTE) == ["hold.over a", "hold.over b", None] and core.wake_at() is None


def test_a_window_is_extended_ended_early_cancelled_or_begins_in_the_past():
    core = FreezeSchedule((hold("a", -30, 10),), NOW)
    assert said(core, NOW) == ["hold.open a", frozenset()]
    core.on_windows(NOW + MINUTE, (hold("a", -30, 60),))
    assert said(core, NOW + MINUTE) == [] and said(core, NOW + 10 * MINUTE) == []
    core.on_windows(NOW + 20 * MINUTE, (hold("a", -30, 60, cancelled=True),))
    assert said(core, NOW + 20 * MINUTE) == ["hold.over a", None]


def on_votes(gateway, now: int, steps: int = 100) -> set[int]:
    """Verdicts of all votes within so many tenths of a second, each accepted by the platform."""
    found = set[int]()
    for step in range(steps):
        at = now + step * 100 * MS
        for decision in pull(gateway, at):
            if isinstance(decision, CastVote):
                found.add(decision.vote)
                gateway.on_rollout_update(
                    at, 2, 1, RolloutPhase.ON_TRIAL, gateway.cap, is_vote_response=True, is_valid=True
                )
    return found


@pytest.mark.parametrize("zones", [frozenset(), frozenset({"a"})])
def test_a_hold_takes_an_on_back_and_keeps_from_casting_one(zones):
    gateway = running()
    for n in range(200):
        outcome(gateway, n * 10 * MS, f"r{n}", Outcome.OK)
    assert on_votes(gateway, 3 * SECOND) == {Vote.PROMOTE}
    gateway.on_rollout_freeze(20 * SECOND, zones)
    assert on_votes(gateway, 20 * SECOND) == {Vote.NONE}
    gateway.on_rollout_freeze(40 * SECOND, None)
    assert on_votes(gateway, 40 * SECOND) == {Vote.PROMOTE}


def test_a_hold_elsewhere_changes_nothing():
    gateway = running()
    for n in range(200):
        outcome(gateway, n * 10 * MS, f"r{n}", Outcome.OK)
    gateway.on_rollout_freeze(2 * SECOND, frozenset({"elsewhere"}))
    assert on_votes(gateway, 3 * SECOND) == {Vote.PROMOTE}


def test_going_back_is_free_under_a_hold():
    gateway = running()
    gateway.on_rollout_freeze(0, frozenset())
    now = fail_trial(gateway, 0, 8)
    assert gateway.sums.alarms and Vote.ROLL_BACK in on_votes(gateway, now)


def test_where_votes_are_scarce_a_held_on_is_taken_back_and_not_left_to_lapse():
    gateway = running(calls_per_second=0.5, gateway_count=200)
    for n in range(200):
        outcome(gateway, n * 10 * MS, f"r{n}", Outcome.OK)
    assert Vote.PROMOTE in on_votes(gateway, 3 * SECOND)
    gateway.on_rollout_freeze(20 * SECOND, frozenset())
    assert on_votes(gateway, 20 * SECOND, steps=5) == {Vote.NONE}


def picks_at_trial(gateway, now: int, count: int) -> int:
    sent = 0
    for n in range(count):
        at = now + n * 10 * MS
        gateway.on_request(at, f"p{at}", "look", 4 * SECOND, None, "", None)
        for decision in pull(gateway, at):
            if isinstance(decision, SendAttempt):
                sent += gateway.fleet.build[gateway.fleet.index[decision.instance]] == 2
                gateway.on_attempt_finished(at + MS, decision.rpc_id, 0, Outcome.OK, True, MS, {})
                gateway.on_client_disconnected(at + MS, decision.rpc_id)
    return sent


def test_the_share_does_not_grow_under_a_hold_whatever_the_platform_says():
    gateway = running()
    gateway.on_rollout_update(0, 2, 0, RolloutPhase.ON_TRIAL, 0.1, is_vote_response=False, is_valid=True)
    gateway.on_rollout_freeze(SECOND, frozenset())
    gateway.on_rollout_update(SECOND, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)
    assert 0 < picks_at_trial(gateway, SECOND, 400) <= 0.1 * 400 + 4
    gateway.on_rollout_freeze(6 * SECOND, None)
    assert picks_at_trial(gateway, 6 * SECOND, 400) > 60


def test_a_build_that_comes_under_a_hold_gets_nothing_while_an_earlier_one_is_there():
    gateway = DecisionModule(startup(), seed=7, now=0)
    gateway.on_endpoint_list(
        0, [entry(1), entry(2), entry(3, zone="b")], is_snapshot=True, is_poll_response=True
    )
    gateway.on_rollout_update(0, 1, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    gateway.on_rollout_freeze(SECOND, frozenset())
    gateway.on_endpoint_list(SECOND, [entry(4, build=2)], is_snapshot=False, is_poll_response=True)
    gateway.on_rollout_update(SECOND, 2, 0, RolloutPhase.ON_TRIAL, 0.2, is_vote_response=False, is_valid=True)
    assert picks_at_trial(gateway, SECOND, 200) == 0
    gateway.on_endpoint_list(4 * SECOND, [entry(4, build=2)], is_snapshot=True, is_poll_response=True)
    assert picks_at_trial(gateway, 4 * SECOND, 100) > 0, "serving goes on where nothing else is left"


HEAD = '<freezes xmlns="urn:linenbridge:premises:1">\n'


def file(tmp_path, inside: str):
    path = tmp_path / "freezes.xml"
    path.write_text(f"{HEAD}{inside}\n</freezes>")
    return windows(str(path))


def test_the_file_of_freezes(tmp_path):
    found = file(
        tmp_path,
        '<window name="move" kind="hold" from="2026-12-08T02:00" until="2026-12-08T04:30" in="Asia/Seoul" '
        'every="2 weeks"/>'
        '<window name="west" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" zones="w1 w2"/>',
    )
    assert (found[0].every, found[0].step, found[0].zone.key) == (2, "week", "Asia/Seoul")
    assert found[1].end - found[1].begin == timedelta(hours=1) and found[1].zones == {"w1", "w2"}


@pytest.mark.parametrize(
    ("inside", "line"),
    [
        (
            '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="Mars"/>',
            ":2:1: no time zone 'Mars'; write",
        ),
        ('<window name="a" kind="hold" from="2026-12-08T02:00" in="UTC"/>', "one of the two; write one"),
        (
            '<window name="a" kind="hold" from="2026-12-08T02:00" until="2026-12-08T01:00" in="UTC"/>',
            "before it begins",
        ),
        (
            '<window name="a" kind="hold" from="2026-13-08T02:00" for="1h" in="UTC"/>',
            ":2:1: month must be in 1..12",
        ),
        ('<window name="a" kind="stop" from="2026-12-08T02:00" for="1h" in="UTC"/>', "attribute 'kind'"),
        (
            2 * '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC"/>',
            ":2:73: two windows are named a",
        ),
    ],
)
def test_what_is_wrong_in_it_is_named_with_its_place(tmp_path, inside, line):
    with pytest.raises(ConfigurationError) as error:
        file(tmp_path, inside)
    assert line in str(error.value)
