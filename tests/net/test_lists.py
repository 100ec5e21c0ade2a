"""Endpoint lists in any format: on one line, indented, split into chunks, with null fields."""

from __future__ import annotations

import json
from random import Random

import pytest

from linenbridge.net import http, resp

from linenbridge.startup import LONG_AGO
from tests.net.bench import HEAD, GatewayHarness

NAME = 's {"}[\\'
ROW = dict(name=NAME, address="10.0.0.3:6379", status="active", release=1, zone="a", group=3)


def list_update(index: int) -> dict:
    return dict(index=index, snapshot=False, endpoints=[ROW | dict(since_ms=index)])


def start_times(harness: GatewayHarness) -> list[int]:
    lists = [recorded[1] for recorded in harness.module.inputs if recorded[0] == "on_endpoint_list"]
    return [entries[0].started_at for entries in lists if entries[0].instance == NAME]


@pytest.mark.parametrize("ending", [b"\n", b"\r\n"])
@pytest.mark.parametrize("indent", [None, 0, 1, 2, "\t"])
@pytest.mark.parametrize("seed", range(4))
def test_a_list_is_read_at_any_indentation_line_ending_and_chunk_size(harness, seed, indent, ending):
    random = Random(seed)
    harness.discovery.start()
    stream, updates = harness.connect_next(), [list_update(n) for n in range(8, 16)]
    stream.protocol.dataReceived(HEAD)
    body = b""
    for update in updates:
        text = json.dumps(update, indent=indent).encode().replace(b"\n", ending)
        body += text + ending + random.choice((b"", ending, b"  " + ending))
    while body:
        size = random.choice((1, 2, 30, 700))
        stream.protocol.dataReceived(b"%x\r\n%b\r\n" % (len(body[:size]), body[:size]))
        body = body[size:]
    harness.advance()
    assert start_times(harness) == [n * 1000 + 1_000 for n in range(8, 16)]
    assert stream.connected
    assert harness.discovery.index == 15
    assert ("malformed", "discovery") not in harness.log.counts


def test_a_list_without_a_final_newline_is_read_at_once(harness):
    harness.discovery.start()
    stream, text = harness.connect_next(), json.dumps(list_update(8), indent=2).encode()
    stream.protocol.dataReceived(HEAD + b"%x\r\n%b\r\n" % (len(text), text))
    harness.advance()
    assert start_times(harness) == [9_000]
    stream.protocol.dataReceived(b"1\r\n\n\r\n")
    stream.protocol.dataReceived(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.replace(b"8", b"9")))
    harness.advance()
    assert start_times(harness) == [9_000, 10_000]
    assert stream.connected


def test_a_truncated_list_does_not_count_as_a_message_and_another_stream_is_opened(harness):
    harness.discovery.start()
    stream, text = harness.connect_next(), json.dumps(list_update(8), indent=2).encode()[:-1] + b"\n"
    stream.protocol.dataReceived(HEAD + b"%x\r\n%b\r\n" % (len(text), text))
    for _ in range(4):
        harness.advance(2)
        stream.protocol.dataReceived(b"1\r\n\n\r\n")
    assert len(harness.reactor.tcpClients) == 2
    assert start_times(harness) == []
    text = json.dumps(list_update(8)).encode() + b"\n"
    harness.connect_next().protocol.dataReceived(HEAD + b"%x\r\n%b\r\n" % (len(text), text))
    harness.advance()
    assert start_times(harness) == [9_000]
    assert not stream.connected


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (dict(zone=None, group=None, weight=None, since_ms=None), ("", 0, 1.0, LONG_AGO)),
        (dict(group="rack-9", weight=0), ("a", "rack-9", 0, 9_000)),
        (dict(zone="südost", weight=2), ("südost", 3, 2.0, 9_000)),
    ],
)
def test_null_fields_and_fields_of_other_types_are_read(harness, fields, expected):
    text = json.dumps(list_update(8) | dict(endpoints=[ROW | dict(since_ms=8) | fields])).encode()
    harness.discovery.on_message(memoryview(text))
    harness.advance()
    entry = harness.module.inputs[-1][1][0]
    assert (entry.zone, entry.cell, entry.size, entry.started_at) == expected


@pytest.mark.parametrize("text", [b'{"a": "b\n"}\n', b"{" + b"[\n" * 60, b"x" * 101])
def test_malformed_or_oversized_json_raises_malformed_error(text):
    with pytest.raises(resp.MalformedError):
        list(http.ObjectSplitter(100).feed(memoryview(text)))


def test_a_restarted_discovery_is_followed_from_its_snapshot_and_older_changes_are_ignored(harness):
    """The index begins anew: a snapshot is applied whatever its index, and changes before it are ignored."""
    harness.discovery.on_message(memoryview(json.dumps(list_update(8)).encode()))
    full_list = dict(index=1, snapshot=True, endpoints=[ROW | dict(since_ms=1)])
    harness.discovery.on_message(memoryview(json.dumps(full_list).encode()))
    harness.discovery.on_message(memoryview(json.dumps(list_update(0)).encode()))
    harness.discovery.on_message(memoryview(json.dumps(list_update(2)).encode()))
    harness.advance()
    assert start_times(harness) == [9_000, 2_000, 3_000]
    assert harness.discovery.index == 2
