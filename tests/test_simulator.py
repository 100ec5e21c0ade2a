"""The adapter alone: batches written here, replies read back."""

from __future__ import annotations

import io
import json

from linenbridge.simulator.adapter import serve

INFO = {
    "discovery": "push", "a_new_table": {},
    "profiles": [{"name": "look", "aim": 1.0, "give_up": 4.0, "worth": 1.0, "idempotency": "repeatable"}],
    "family_info": {
        "gate_mode": "share", "style": "beside", "shares": [0.1, 1.0], "caps": [0.12, 1.0], "per": "all",
        "closed_stages": 0, "spare_tries": 2.0, "forward_only": False, "vote_stands": 6.0, "answer_wait": 1.0,
        "a_new_key": 1,
    },
    "permissions": {
        "max_attempts": 3, "second_copies": True, "may_cancel": True, "retry_after": True,
        "max_retry_after": 1.0, "idle_close": 15.0, "connect_timeout": 0.2,
    },
    "rules": {"cold_from": 0.3, "cold": 4.0, "fall_multiple": 2.0},
}  # fmt: skip
ATTACH = {"attach": {"gateway_id": 3, "random_seed": 1, "info": INFO}}
ROSTER = {"roster": {"bank": 0, "rows": [{"instance": 9, "edition": 1, "health": 1, "power_hint": 1}]}}
LIST = {"announce": {"gateway_id": 3, "form": 0, "bank": 0, "serial": 1}}


def request(handle: str, profile: str = "look") -> dict:
    return {"new_request": {"gateway_id": 3, "handle": handle, "ttl": 2.0, "profile": profile}}


def run(*batches: list[dict]) -> tuple[int, list[list[dict]]]:
    lines = [json.dumps({"clock": 1.0 + n, "news": news}) for n, news in enumerate(batches)]
    replies = io.BytesIO()
    code = serve(io.BytesIO("\n".join(lines).encode()), replies)
    return code, [json.loads(line)["steps"] for line in replies.getvalue().splitlines()]


def names(steps: list[dict]) -> list[str]:
    return [next(iter(step)) for step in steps]


def test_empty_batches_get_empty_replies_and_the_end_of_input_is_clean():
    assert run([], []) == (0, [[], []])


def test_a_request_is_issued_answered_and_a_late_expiry_is_harmless():
    fields = {"hop": 0, "outcome": "S", "final": True, "delay_seen": 0.1, "instance": 9}
    load = {"rif": 1, "unheard_of": 2}
    reply = {"reply": {"gateway_id": 3, "handle": "r-a", **fields, "feedback": load}}
    expired = {"expired": {"gateway_id": 3, "handle": "r-a"}}
    code, steps = run([ATTACH, ROSTER, LIST, request("r-a")], [reply], [expired])
    assert code == 0 and "issue" in names(steps[0])
    assert next(s["issue"] for s in steps[0] if "issue" in s)["instance"] == 9
    assert not {"issue", "say_no", "abort"} & set(names(steps[1] + steps[2]))


def test_down_and_attach_in_one_batch_start_anew():
    down = {"down": {"gateway_id": 3}}
    _, steps = run(
        [ATTACH, ROSTER, LIST, request("r-a")], [down, ATTACH, ROSTER, LIST, request("r-b")], [down]
    )
    assert [s["issue"]["handle"] for s in steps[1] if "issue" in s] == ["r-b"] and steps[2] == []


def test_an_unknown_method_is_an_error_of_that_gateway_alone():
    _, steps = run([ATTACH, ROSTER, LIST, request("r-a", profile="nothing")])
    assert "profile 'nothing'" in steps[0][-1]["internal_error"]["what"]


def test_what_cannot_be_read_ends_with_a_message_naming_the_field(capsys):
    bad = {"new_request": {"gateway_id": 3, "handle": "r-a", "ttl": "soon", "profile": "look"}}
    for news, field in (([bad], "ttl"), ([{"unheard_of": {}}], "unheard_of")):
        code, steps = run(news)
        assert code == 2 and steps == [] and field in capsys.readouterr().err
