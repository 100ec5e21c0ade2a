"""Tests of the simulator's adapter: the replies to given batches."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from linenbridge.simulator.adapter import serve

Messages = list[dict[str, Any]]

SETTINGS = {
    "discovery": "push",
    "a_new_table": {},
    "profiles": [{"name": "look", "aim": 1.0, "give_up": 4.0, "worth": 1.0, "idempotency": "repeatable"}],
    "family_info": {
        "gate_mode": "share",
        "style": "beside",
        "shares": [0.1, 1.0],
        "caps": [0.12, 1.0],
        "per": "all",
        "closed_stages": 0,
        "spare_tries": 2.0,
        "forward_only": False,
        "vote_stands": 6.0,
        "answer_wait": 1.0,
        "a_new_key": 1,
    },
    "permissions": {
        "max_attempts": 3,
        "second_copies": True,
        "may_cancel": True,
        "retry_after": True,
        "max_retry_after": 1.0,
        "idle_close": 15.0,
        "connect_timeout": 0.2,
    },
    "rules": {"cold_from": 0.3, "cold": 4.0, "fall_multiple": 2.0},
}
ATTACH = {"attach": {"gateway_id": 3, "random_seed": 1, "info": SETTINGS}}
ROSTER = {"roster": {"bank": 0, "rows": [{"instance": 9, "edition": 1, "health": 1, "power_hint": 1}]}}
ANNOUNCE = {"announce": {"gateway_id": 3, "form": 0, "bank": 0, "serial": 1}}
DOWN = {"down": {"gateway_id": 3}}


def request(handle: str, profile: str = "look") -> dict[str, Any]:
    return {"new_request": {"gateway_id": 3, "handle": handle, "ttl": 2.0, "profile": profile}}


def run(*batches: Messages) -> tuple[int, list[Messages]]:
    """Return the exit code and the messages in reply to each batch; batches are 1 s apart."""
    lines = [json.dumps({"clock": 1.0 + n, "news": events}) for n, events in enumerate(batches)]
    replies = io.BytesIO()
    code = serve(io.BytesIO("\n".join(lines).encode()), replies)
    return code, [json.loads(line)["steps"] for line in replies.getvalue().splitlines()]


def named(steps: Messages, name: str) -> Messages:
    """Return the fields of each message called `name`."""
    return [step[name] for step in steps if name in step]


def test_empty_batches_get_empty_replies_and_the_end_of_input_gives_exit_code_0():
    assert run([], []) == (0, [[], []])


def test_a_client_disconnect_after_the_response_causes_no_further_attempt_or_response():
    fields = {"hop": 0, "outcome": "S", "final": True, "delay_seen": 0.1, "instance": 9}
    load = {"rif": 1, "unheard_of": 2}
    reply = {"reply": {"gateway_id": 3, "handle": "r-a", **fields, "feedback": load}}
    expired = {"expired": {"gateway_id": 3, "handle": "r-a"}}

    code, steps = run([ATTACH, ROSTER, ANNOUNCE, request("r-a")], [reply], [expired])

    assert code == 0
    assert named(steps[0], "issue")[0]["instance"] == 9
    later = steps[1] + steps[2]
    for name in ("issue", "say_no", "abort"):
        assert named(later, name) == []


def test_a_gateway_that_restarts_within_a_batch_has_no_earlier_requests():
    first = [ATTACH, ROSTER, ANNOUNCE, request("r-a")]
    second = [DOWN, ATTACH, ROSTER, ANNOUNCE, request("r-b")]

    _, steps = run(first, second, [DOWN])

    assert [fields["handle"] for fields in named(steps[1], "issue")] == ["r-b"]
    assert steps[2] == []


def test_an_unknown_method_gets_an_internal_error_that_names_it():
    _, steps = run([ATTACH, ROSTER, ANNOUNCE, request("r-a", profile="nothing")])

    assert "profile 'nothing'" in steps[0][-1]["internal_error"]["what"]


@pytest.mark.parametrize(
    ("event", "field"),
    [
        ({"new_request": {"gateway_id": 3, "handle": "r-a", "ttl": "soon", "profile": "look"}}, "ttl"),
        ({"unheard_of": {}}, "unheard_of"),
    ],
)
def test_an_unreadable_batch_ends_the_process_with_a_message_that_names_the_field(event, field, capsys):
    code, steps = run([event])

    assert code == 2
    assert steps == []
    assert field in capsys.readouterr().err
