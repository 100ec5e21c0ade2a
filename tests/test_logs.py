"""A fleet's logs added up."""

from __future__ import annotations

import json

from typer.testing import CliRunner

from linenbridge.cli.commands import app
from linenbridge.cli.sums import KINDS_MOST, Sums


def line(at: float, event: str, **fields: object) -> str:
    return json.dumps({"at": at, "event": event, **fields}) + "\n"


def test_a_fleet_s_lines_are_added_up_by_kind_and_stretch_whatever_else_lies_in_the_files(tmp_path):
    vote = "vote 1 build 7 stage 0 told 0 outcomes {} W 0.{}"
    (tmp_path / "n0.log").write_text(
        line(100.0, "started") + "0.7 " + line(101.0, "mode", text=vote.format(3, 1))
        + line(109.0, "counters", counts={"vote.sent": 2, "taken.look": 5}) + line(110.0, "started")
        + line(111.0, "counters", counts={"vote.sent": 1}) + line(112.0, "counters", counts={"vote.sent": 4})
    )  # fmt: skip
    (tmp_path / "n1.log").write_text(
        line(106.0, "mode", text=vote.format(9, 4)) + line(107.0, "mode", text="shun s-1 gap 90 ms out 1")
        + '{"at": "noon", "event": "mode"}\n{"at":1\nTraceback\n\n'
    )  # fmt: skip
    told = CliRunner().invoke(app, ["logs", str(tmp_path), "--json"])
    assert told.exit_code == 0
    sums = json.loads(told.stdout)
    rows = {row["kind"]: (row["lines"], row["gateways"], row["by"]) for row in sums["rows"]}
    assert rows["vote 1 build 7 stage 0"] == (2, 2, {"0": 1, "1": 1})
    assert rows["shun"] == (1, 1, {"1": 1}) and rows["started"] == (2, 1, {"0": 1, "2": 1})
    assert sums["counters"] == {"taken.look": 5, "vote.sent": 6}  # Two processes, the last word of each.
    assert sums["unread"] == 3


def test_decisions_are_counted_by_kind_and_by_what_they_are_about():
    sums = Sums(1.0)
    lines = [
        line(
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
        line(
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
        line(1.4, "decision", kind="eject", instance="s-1", mean_response_gap_ms=90, in_flight=1),
        line(
            1.5,
            "decision",
            kind="alarm",
            method="look",
            statistic="failures",
            build=7,
            value=5.2,
            threshold=5.0,
        ),
        line(1.6, "decision", kind="rollout", build=7, stage=1, phase="on_trial", cap=0.2),
    ]
    sums.read("n0", lines)
    rows = {name: count for name, count, _, _ in sums.rows()}
    assert rows == {
        "vote promote build 7 stage 0": 2,
        "eject": 1,
        "alarm look failures build 7": 1,
        "rollout on_trial build 7 stage 1": 1,
    }


def test_a_folder_that_is_not_there_and_a_stretch_of_nothing_are_refused_in_a_line(tmp_path):
    cases = (([str(tmp_path / "none")], "No such file"), ([str(tmp_path), "--every", "0"], "stretch"))
    for words, said in cases:
        told = CliRunner().invoke(app, ["logs", *words])
        assert told.exit_code == 2 and told.stderr.startswith("linenbridge: ") and said in told.stderr


def test_kinds_beyond_the_bound_share_a_row():
    sums = Sums(1.0)
    sums.read("n0", (line(1.0, f"event {n}") for n in range(KINDS_MOST + 50)))
    rows = {name: count for name, count, _, _ in sums.rows()}
    assert len(rows) == KINDS_MOST + 1 and rows["other"] == 50
