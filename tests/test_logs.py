"""Summaries of a fleet's logs, also with lines of earlier versions, and the levels of log lines."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from linenbridge.cli.commands import app
from linenbridge.cli.event_names import EVENTS, counter_name
from linenbridge.cli.sums import MAX_KINDS, Sums, kind
from linenbridge.logging.structured import is_warning, structured_log

WARNING_SUFFIXES_OF_EARLIER_VERSIONS = {"lost", "set_aside", "refused", "failed", "malformed", "end"}


def log_line(at: float, event: str, **fields: object) -> str:
    return json.dumps({"at": at, "event": event, **fields}) + "\n"


def test_lines_of_a_fleet_are_summed_by_kind_and_interval_and_unreadable_lines_are_counted(tmp_path):
    vote = "vote 1 build 7 stage 0 told 0 outcomes {} W 0.{}"
    first_gateway = [
        log_line(100.0, "started"),
        "0.7 " + log_line(101.0, "mode", text=vote.format(3, 1)),
        log_line(109.0, "counters", counts={"vote.sent": 2, "taken.look": 5}),
        log_line(110.0, "started"),
        log_line(111.0, "counters", counts={"vote.sent": 1}),
        log_line(112.0, "counters", counts={"vote.sent": 4}),
    ]
    second_gateway = [
        log_line(106.0, "mode", text=vote.format(9, 4)),
        log_line(107.0, "mode", text="shun s-1 gap 90 ms out 1"),
        '{"at": "noon", "event": "mode"}\n{"at":1\nTraceback\n\n',
    ]
    (tmp_path / "n0.log").write_text("".join(first_gateway))
    (tmp_path / "n1.log").write_text("".join(second_gateway))

    result = CliRunner().invoke(app, ["logs", str(tmp_path), "--json"])

    assert result.exit_code == 0
    sums = json.loads(result.stdout)
    rows = {row["kind"]: (row["lines"], row["gateways"], row["by"]) for row in sums["rows"]}
    assert rows["vote promote build 7 stage 0"] == (2, 2, {"0": 1, "1": 1})
    assert rows["eject"] == (1, 1, {"1": 1})
    assert rows["started"] == (2, 1, {"0": 1, "2": 1})
    assert sums["counters"] == {
        "accepted.look": 5,
        "vote.sent": 6,
    }  # of two processes: the sum of the last counters of each
    assert sums["unread"] == 3


def test_decisions_are_counted_by_kind_with_their_build_stage_method_and_statistic():
    sums = Sums(1.0)
    lines = [
        log_line(
            1.0,
            "decision",
            kind="vote",
            vote="promote",
            build=7,
            stage=0,
            reported_stage=0,
            outcomes=3,
            value=0.1,
        ),
        log_line(
            1.2,
            "decision",
            kind="vote",
            vote="promote",
            build=7,
            stage=0,
            reported_stage=0,
            outcomes=9,
            value=0.4,
        ),
        log_line(1.4, "decision", kind="eject", instance="s-1", mean_response_gap_ms=90, in_flight=1),
        log_line(
            1.5,
            "decision",
            kind="alarm",
            method="look",
            statistic="failures",
            build=7,
            value=5.2,
            threshold=5.0,
        ),
        log_line(1.6, "decision", kind="rollout", build=7, stage=1, phase="on_trial", cap=0.2),
    ]
    sums.read("n0", lines)
    rows = {row.kind: row.lines for row in sums.rows()}
    assert rows == {
        "vote promote build 7 stage 0": 2,
        "eject": 1,
        "alarm look failures build 7": 1,
        "rollout on_trial build 7 stage 1": 1,
    }


@pytest.mark.parametrize(
    ("arguments", "message"), [(["none"], "No such file"), ([".", "--every", "0"], "the interval is 0 s")]
)
def test_a_missing_folder_or_an_interval_of_zero_exits_with_status_2_and_a_message(
    tmp_path, monkeypatch, arguments, message
):
    monkeypatch.chdir(tmp_path)

    result = CliRunner().invoke(app, ["logs", *arguments])

    assert result.exit_code == 2
    assert result.stderr.startswith("linenbridge: ")
    assert message in result.stderr


def test_kinds_beyond_the_maximum_are_counted_in_one_row():
    sums = Sums(1.0)
    sums.read("n0", (log_line(1.0, f"event {n}") for n in range(MAX_KINDS + 50)))
    rows = {row.kind: row.lines for row in sums.rows()}
    assert len(rows) == MAX_KINDS + 1
    assert rows["other"] == 50


EARLIER_LOG_TEXTS = json.loads(
    (Path(__file__).parent / "compatibility" / "data" / "log_texts.json").read_text()
)["texts"]


@pytest.mark.parametrize("text", EARLIER_LOG_TEXTS)
def test_a_log_text_of_an_earlier_version_is_counted_in_the_row_of_its_decision(text):
    row = kind("mode", {"text": text})

    assert row.split()[0] in {"alarm", "alarm_cleared", "eject", "rollout", "vote"}
    assert row == kind("mode", {"text": text.replace(" W 5", " W 6").replace("gap 2", "gap 3")})


@pytest.mark.parametrize(
    ("text", "fields"),
    [
        (
            "alarm look failed much build 2 W 5.7 level 5.0 ground 0.101",
            {"kind": "alarm", "method": "look", "statistic": "failure_burst", "build": 2, "value": 5.7},
        ),
        (
            "clear look slow build 3 W 1.0 level 5.0 ground 0.073",
            {"kind": "alarm_cleared", "method": "look", "statistic": "latency", "build": 3},
        ),
        (
            "vote 3 build 2 stage 1 told 1 outcomes 9 W 2.0",
            {"kind": "vote", "vote": "roll_back", "build": 2, "stage": 1, "outcomes": 9},
        ),
        (
            "build 2 stage 0 phase 1 cap 0",
            {"kind": "rollout", "phase": "rolling_back", "build": 2, "stage": 0, "cap": 0},
        ),
        ("shun 25 gap 210 ms out 2", {"kind": "eject", "instance": 25}),
        ("hold everywhere build 2 stage 0 cap 0.2", {"kind": "rollout_freeze", "build": 2, "stage": 0}),
    ],
)
def test_log_texts_of_an_earlier_version_and_present_fields_have_the_same_row(text, fields):
    assert kind("mode", {"text": text}) == kind("decision", fields)


@pytest.mark.parametrize(("earlier", "present"), EVENTS.items())
def test_an_event_of_an_earlier_version_is_counted_under_its_present_name(earlier, present):
    sums = Sums(1.0)

    sums.read("n0", [log_line(1.0, earlier, task="t"), log_line(1.5, present, task="t")])

    assert [(row.kind, row.lines) for row in sums.rows()] == [(present, 2)]


def test_counters_of_an_earlier_version_are_added_to_those_of_the_present_names():
    sums = Sums(1.0)

    sums.read(
        "n0",
        [log_line(1.0, "counters", counts={"act.Late": 2, "link.up": 1, "actual": 1, "admitted.take": 1})],
    )
    sums.read("n1", [log_line(1.0, "counters", counts={"task_action.Late": 3, "admitted.accepted": 4})])

    assert sums.counters == {"task_action.Late": 5, "peer.connected": 1, "actual": 1, "admitted.accepted": 5}


def test_a_log_text_of_unknown_form_has_its_own_row():
    assert kind("mode", {"text": "set down 3"}) == "set down 3"


def test_processor_lines_of_an_earlier_version_are_counted_under_their_present_names():
    assert kind("mode", {"text": "set aside desk: leaves out 9 of 20 reports"}) == "proxy.distrusted"
    assert kind("refused", {"of": "may_have_run"}) == kind("refused", {"of": "maybe_executed"})


@pytest.mark.parametrize(
    ("earlier", "present"),
    [
        ("taken.look", "accepted.look"),
        ("picked.look", "attempted.look"),
        ("gone.look", "client_disconnected.look"),
        ("answered.look.pushed_back", "answered.look.rejected"),
        ("answered.look.aborted", "answered.look.failed"),
        ("answered.look.ok", "answered.look.ok"),
        ("ended.full.full", "ended.full.overloaded"),
        ("ended.look.unreached", "ended.look.connect_failed"),
        ("ended.look.broken", "ended.look.connection_lost"),
        ("ended.look.spoilt", "ended.look.malformed_response"),
        ("ended.look.unsent", "ended.look.not_sent"),
        ("client.turned_away", "client.rejected"),
        ("client.spared", "client.evicted"),
        ("client.cut_off", "client.reset"),
        ("client.too_much", "client.over_budget"),
        ("client.connected", "client.connected"),
        ("line.opened", "upstream.opened"),
        ("line.spared", "upstream.evicted"),
        ("line.spent", "upstream.unusable"),
        ("line.no_descriptor", "upstream.no_descriptor"),
        ("feed.opened", "rollout_feed.opened"),
        ("malformed.feed", "malformed.rollout_feed"),
        ("malformed.client", "malformed.client"),
        ("vote.moot", "vote.stale"),
        ("vote.status_429", "vote.status_429"),
        ("unfit", "invalid"),
    ],
)
def test_a_counter_of_an_earlier_version_is_counted_under_its_present_name(earlier, present):
    assert counter_name(earlier) == present


def test_a_source_of_an_earlier_version_is_counted_under_its_present_name():
    assert kind("malformed", {"of": "feed"}) == kind("malformed", {"source": "rollout_feed"})


@pytest.mark.parametrize(("earlier", "present"), EVENTS.items())
def test_a_renamed_event_is_written_at_the_level_of_its_earlier_name(earlier, present):
    assert is_warning(present) == (earlier.rpartition(".")[2] in WARNING_SUFFIXES_OF_EARLIER_VERSIONS)


def test_a_log_at_level_warning_contains_only_warnings():
    stream = io.BytesIO()
    log = structured_log(stream, "warning")

    log.event("peer.disconnected", peer="g2")
    log.event("peer.connected", peer="g2")

    assert [json.loads(text)["event"] for text in stream.getvalue().splitlines()] == ["peer.disconnected"]
