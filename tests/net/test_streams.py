"""The watch streams of discovery and the platform, and votes."""

from __future__ import annotations

import json
from itertools import pairwise
from random import Random

import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from linenbridge.decisions import CastVote
from linenbridge.interface import RolloutPhase, Vote
from linenbridge.net.discovery import KEEPALIVE_INTERVAL, MISSED_UPDATE_DEADLINE
from linenbridge.net.watch_stream import MAX_RETRY_FACTOR

from tests.net.bench import HEAD, STAGE, chunk


def test_a_list_with_an_invalid_entry_ends_its_stream_and_is_requested_again(harness):
    harness.discovery.start()
    stream = harness.connect_next()
    row = dict(name="s-2", address="10.0.0.2:6379", status="active", release=2, since_ms=12)
    stream.protocol.dataReceived(HEAD + chunk(dict(index=8, snapshot=False, endpoints=[row])))
    for bad in ({"name": "s-9"}, row | {"address": "nowhere"}, row | {"status": "act\0ve"}):
        stream.protocol.dataReceived(chunk(dict(index=9, snapshot=True, endpoints=[row, bad])))
        assert not stream.connected
        assert harness.discovery.index == 8
        harness.advance()
        stream = harness.connect_next()
        assert stream.take_output().startswith(b"GET /catalog/members?follow=1&since=8 HTTP/1.1\r\n")
        stream.protocol.dataReceived(HEAD + chunk(dict(index=8, snapshot=False, endpoints=[row])))
    harness.advance()
    stream.protocol.dataReceived(b"junk\r\n")
    harness.advance()
    harness.connect_next().protocol.dataReceived(b"noise from the first byte on\r\n\r\n")
    harness.advance(0.1)
    assert harness.dial_count == len(harness.reactor.tcpClients)
    harness.advance(0.2)
    harness.connect_next()
    lists = [recorded for recorded in harness.module.inputs if recorded[0] == "on_endpoint_list"][1:]
    assert [(recorded[2], [entry.started_at for entry in recorded[1]]) for recorded in lists] == [
        (False, [13_000])
    ] * 4
    assert harness.log.counts["malformed", "discovery"] == 5


def test_a_silent_stream_stays_open_until_a_second_one_delivers_which_is_reopened_after_its_end(harness):
    harness.discovery.start()
    first = harness.connect_next()
    assert first.take_output().startswith(b"GET /catalog/members?follow=1&since=7 HTTP/1.1\r\n")
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    first.protocol.dataReceived(head + b"1\r\n\n\r\n")
    harness.advance(MISSED_UPDATE_DEADLINE - KEEPALIVE_INTERVAL / 2 - 0.3)  # the connection may take 0.2 s
    assert len(harness.reactor.tcpClients) == 1
    harness.advance(0.2)
    second = harness.connect_next()
    assert first.connected
    second.protocol.dataReceived(head + b"1\r\n\n\r\n")
    assert not first.connected
    assert second.connected
    second.lose()
    harness.advance(0.3)
    assert len(harness.reactor.tcpClients) == 3


def change(index: int, name: str) -> bytes:
    row = dict(name=name, address="10.0.0.3:6379", status="active", release=1)
    return chunk(dict(index=index, snapshot=False, endpoints=[row]))


def test_a_stream_that_moves_is_read_at_the_old_address_until_the_new_one_delivers(harness):
    harness.discovery.start()
    old = harness.connect_next()
    old.protocol.dataReceived(HEAD + change(8, "s-8"))
    harness.discovery.move(("10.0.0.8", 81))
    harness.discovery.move(("10.0.0.8", 81))
    assert harness.reactor.tcpClients[-1][:2] == ("10.0.0.8", 81)
    assert len(harness.reactor.tcpClients) == 2
    old.protocol.dataReceived(change(9, "s-9"))
    new = harness.connect_next()
    assert old.connected
    assert b"since=9 HTTP/1.1\r\nHost: 10.0.0.8:81\r\n" in new.take_output()
    old.unread = change(10, "s-10")
    new.protocol.dataReceived(HEAD + change(9, "s-9"))
    assert not old.connected
    assert new.connected
    harness.advance(0.5)
    instances = [
        entries[0].instance for name, entries, *_ in harness.module.inputs[1:] if name == "on_endpoint_list"
    ]
    assert instances == ["s-8", "s-9", "s-10"]
    assert len(harness.reactor.tcpClients) == 2


def test_an_old_address_that_closes_first_is_not_connected_to_again(harness):
    harness.platform.start()
    old = harness.connect_next()
    old.protocol.dataReceived(HEAD + chunk({}))
    harness.platform.move(("10.0.0.8", 81))
    harness.platform.move(("10.0.0.8", 82))
    connecting = harness.reactor.tcpClients[1:]
    assert [dial[:2] for dial in connecting] == [("10.0.0.8", 81), ("10.0.0.8", 82)]
    old.lose()
    harness.dial_count += 1
    new = harness.connect_next()
    new.protocol.dataReceived(HEAD + chunk(dict(type="stage", object=STAGE)))
    harness.decide(CastVote(2, 0, Vote.ROLL_BACK))
    harness.advance(0.5)
    assert [dial[:2] for dial in harness.reactor.tcpClients[3:]] == [("10.0.0.8", 82)]
    assert new.connected


def test_feed_messages_are_passed_to_the_module_in_its_units(harness):
    harness.advance(3)
    tally = dict(version=2, kind="look", requests=57, failures=2, avgMs=18.5, observedAgoMs=900)
    lines = [
        dict(type="stage", object=STAGE),
        dict(type="tally", object=tally),
        {},
        dict(type="flag", object=dict(pod="s-1", kind="look", observedAgoMs=3)),
        dict(type="flag", object=dict(pod="s-1", kind="nothing")),
    ]
    for line in lines:
        harness.platform.on_message(memoryview(json.dumps(line).encode()))
    harness.advance()
    assert (
        "on_rollout_update",
        2,
        0,
        RolloutPhase.ON_TRIAL,
        0.2,
        False,
        True,
        False,
    ) in harness.module.inputs
    assert ("on_tally", 2, "look", 57, 2, 18_500, 2_100_000) in harness.module.inputs
    flags = [recorded for recorded in harness.module.inputs if recorded[0] == "on_flag"]
    assert flags == [("on_flag", "s-1", "look", 2_997_000)]


@pytest.mark.parametrize(
    "line",
    [
        b"{}}",
        b'{"type":"stxge","object":{}}',
        b'{"type":"stage","object":{"version":2,"step":0,"status":"testxng","maxWeight":1,"observedAgoMs":1}}',
        b'{"type":"tally","object":{}}',
        b'{"type":"flag","object":{"pod":7,"kind":"look"}}',
    ],
)
def test_a_malformed_feed_line_ends_the_stream_and_it_is_reopened_at_once(harness, line):
    harness.platform.start()
    feed, inputs_before = harness.connect_next(), len(harness.module.inputs)
    feed.protocol.dataReceived(HEAD + chunk({}) + b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
    assert not feed.connected
    harness.advance()
    harness.connect_next().protocol.dataReceived(HEAD + chunk(dict(type="stage", object=STAGE)))
    harness.advance()
    assert [recorded[0] for recorded in harness.module.inputs[inputs_before:]] == ["on_rollout_update"]
    assert harness.log.counts["malformed", "rollout_feed"] == 1


@pytest.mark.parametrize(
    ("scenario", "is_valid", "is_stale"),
    [
        ("200", True, False),
        ("409", False, True),
        ("429", False, False),
        ("500", False, False),
        ("garbage", False, False),
        ("409 malformed", False, False),
        ("endless", False, False),
        ("broken", False, False),
        ("refused", False, False),
        ("silent", False, False),
    ],
)
def test_a_vote_is_sent_once_and_its_result_is_reported_once(harness, scenario, is_valid, is_stale):
    harness.decide(CastVote(2, 0, Vote.ROLL_BACK))
    if scenario == "refused":
        harness.next_connection_factory().clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    else:
        call = harness.connect_next()
        head, body = call.take_output().split(b"\r\n\r\n")
        assert head.startswith(b"POST /api/ballots HTTP/1.1\r\n")
        assert json.loads(body) == {"version": 2, "step": 0, "vote": "back"}
    errors = {"409": "moot", "429": "limit", "500": "error", "409 malformed": "mxxt"}
    body = json.dumps({"error": errors[scenario]} if scenario in errors else STAGE).encode()
    match scenario:
        case "endless":
            call.protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 999999\r\n\r\n" + bytes(70_000))
        case "200" | "409" | "429" | "500" | "409 malformed":
            call.protocol.dataReceived(
                b"HTTP/1.1 %b X\r\nContent-Length: %d\r\n\r\n%b" % (scenario[:3].encode(), len(body), body)
            )
        case "garbage":
            call.protocol.dataReceived(b"what?\r\n\r\n")
        case "broken":
            call.lose(ConnectionLost())
        case "silent":
            harness.advance(1.1)
    harness.advance()
    harness.advance(5)
    votes = [
        recorded for recorded in harness.module.inputs if recorded[0] == "on_rollout_update" and recorded[5]
    ]
    assert [recorded[6:] for recorded in votes] == [(is_valid, is_stale)]
    assert len(harness.reactor.tcpClients) == 1


CLOCK_STEP = 0.02  # seconds of the clock in memory
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def dial_times_while_rejected(harness, random: Random, seconds: float) -> list[float]:
    """Return the times at which a discovery that rejects each request was dialled."""
    harness.discovery.stream.random, dial_times = random, []
    for _ in range(int(seconds / CLOCK_STEP)):
        if harness.dial_count < len(harness.reactor.tcpClients):
            dial_times.append(harness.reactor.seconds())
            harness.connect_next().protocol.dataReceived(SERVICE_UNAVAILABLE)
        harness.advance(CLOCK_STEP)
    return dial_times


def test_a_discovery_that_rejects_requests_is_retried_after_random_and_growing_delays(harness):
    """In the simulator (grain-scales, herd+mass) 140 restarted gateways sent four requests a second each to
    an overloaded discovery. They had no list for the rest of the day, and 274 attempts went to removed
    instances.
    """
    harness.discovery.start()
    dial_times = dial_times_while_rejected(harness, Random(1), 20.0)
    waits = [after - before for before, after in pairwise(dial_times)]
    assert min(waits) >= 0.2 - CLOCK_STEP
    assert max(waits) <= 0.2 * MAX_RETRY_FACTOR + 2 * CLOCK_STEP
    assert 8 <= len(dial_times) <= 25, (
        "a fleet's requests stay below the rate that is rejected, and each gateway goes on"
    )
    assert len({round(wait, 2) for wait in waits[5:]}) > 3
    stream = harness.connect_next() if harness.dial_count < len(harness.reactor.tcpClients) else None
    while stream is None:
        harness.advance(CLOCK_STEP)
        stream = harness.connect_next() if harness.dial_count < len(harness.reactor.tcpClients) else None
    stream.protocol.dataReceived(HEAD + b"1\r\n\n\r\n")
    stream.lose()
    harness.advance(CLOCK_STEP)
    harness.connect_next().protocol.dataReceived(SERVICE_UNAVAILABLE)
    harness.advance(0.2 + CLOCK_STEP)
    assert harness.dial_count < len(harness.reactor.tcpClients), (
        "after a stream that has delivered, the first delay is short again"
    )
