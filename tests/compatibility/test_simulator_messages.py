"""Messages to and from the simulator equal those of commit 4d24a08 byte for byte.

The text of a `trace` message is a log line whose event and fields have been renamed, so the tests only check
that the message is present.
"""

from __future__ import annotations

import gzip
import io
import json
import re
from itertools import groupby
from pathlib import Path

import msgspec
import pytest

from linenbridge.simulator.adapter import serve

DATA = Path(__file__).with_name("data") / "simulator.jsonl.gz"
ROWS = [json.loads(line) for line in gzip.decompress(DATA.read_bytes()).splitlines()][1:]
DAYS = {name: list(rows) for name, rows in groupby(ROWS, lambda row: row["name"]) if name.startswith("day")}
UNREADABLE = [row for row in ROWS if row["name"].startswith("unreadable")]
TRACE = re.compile(rb'(\{"trace":\{"gateway_id":\d+,"what":)"(?:[^"\\]|\\.)*"')
KINDS = {"abort", "arm", "ballot", "internal_error", "issue", "listen", "post", "revoke", "say_no", "trace"}


def without_texts(reply: bytes) -> bytes:
    return TRACE.sub(rb'\1""', reply)


@pytest.mark.parametrize("name", DAYS)
def test_a_day_of_batches_gets_the_same_replies(name):
    rows, replies = DAYS[name], io.BytesIO()

    code = serve(io.BytesIO("\n".join(row["batch"] for row in rows).encode()), replies)

    found = replies.getvalue().splitlines()
    assert code == 0
    assert len(found) == len(rows)
    for row, reply in zip(rows, found, strict=True):
        assert without_texts(reply) == without_texts(row["reply"].encode()), row["batch"]


@pytest.mark.parametrize("row", UNREADABLE, ids=lambda row: row["name"])
def test_an_unreadable_batch_ends_the_process_with_the_same_code_and_words(row, capsys):
    replies = io.BytesIO()

    code = serve(io.BytesIO(row["batch"].encode()), replies)

    assert (code, replies.getvalue().decode()) == (row["code"], row["reply"])
    assert capsys.readouterr().err.partition(": ")[2] == row["error"]


def test_the_record_holds_every_kind_of_message():
    batches = [msgspec.json.decode(row["batch"]) for rows in DAYS.values() for row in rows]
    replies = [msgspec.json.decode(row["reply"]) for rows in DAYS.values() for row in rows]

    assert {name for reply in replies for step in reply["steps"] for name in step} == KINDS
    assert {name for batch in batches for event in batch["news"] for name in event} == {
        "attach",
        "roster",
        "announce",
        "new_request",
        "expired",
        "release_state",
        "metrics",
        "down",
        "first",
        "reply",
        "inbox",
        "checked",
        "objection",
        "elapsed",
    }
