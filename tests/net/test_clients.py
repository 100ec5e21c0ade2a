"""Client connections: invalid, incomplete and malformed commands."""

from __future__ import annotations

import json
from random import Random

import pytest

from linenbridge.decisions import Fail, Reject, SendAttempt
from linenbridge.net import resp
from linenbridge.net.downstream import IDLE_TIMEOUT

from tests.net.bench import GatewayHarness


@pytest.mark.parametrize(
    "arguments",
    [
        [b"GET", b"x"],
        [b"SVC.QUERY", b"k", b"i"],
        [b"SVC.QUERY", b"k", b"i", b"c=none,d=1"],
        [b"SVC.QUERY", b"k", b"i", b"d=1"],
        [b"SVC.QUERY", b"k", b"i", b"c=look"],
        [b"SVC.QUERY", b"k", b"i", b"c=charge,d=1"],
        [b"SVC.QUERY", b"k", b"", b"c=look,d=1"],
        [b"SVC.QUERY", b"k", b"i", b"odd"],
        [b"SVC.QUERY", b"k", b"i", b"c=look,d=9,h=-4"],
    ],
)
def test_an_invalid_command_gets_an_error_and_its_connection_stays_open(harness, arguments):
    client, input_count = harness.connect_client(), len(harness.module.inputs)
    client.protocol.dataReceived(resp.command(arguments) + resp.command([b"PING"]))
    harness.advance()
    response = client.take_output()
    assert response.startswith(b"-ERR ")
    assert response.endswith(b"\r\n+PONG\r\n")
    assert client.connected
    assert len(harness.module.inputs) == input_count


@pytest.mark.parametrize(
    ("tenant", "decoded"), [("rederi-öst".encode(), "rederi-öst"), (b"\xff\xfe", "\ufffd\ufffd")]
)
def test_a_tenant_name_is_decoded_from_utf_8_and_invalid_bytes_are_replaced(harness, tenant, decoded):
    harness.connect_client().protocol.dataReceived(
        resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,d=900,t=" + tenant])
    )
    harness.advance()
    assert next(call for call in harness.module.inputs if call[0] == "on_request")[5] == decoded


def test_malformed_resp_closes_the_connection_after_its_pending_responses(harness):
    client = harness.connect_client()
    client.protocol.dataReceived(
        resp.command([b"SVC.QUERY", b"k", b"a", b"c=look,d=9"]) + b"GET / HTTP/1.1\r\n"
    )
    harness.advance()
    assert client.connected
    harness.decide(Reject("a", 0))
    assert client.take_output().startswith(b"-BUSY\r\n-ERR ")
    assert not client.connected


def test_connections_without_a_complete_command_are_closed_after_the_idle_timeout_and_others_stay(harness):
    silent, incomplete, active, idle = (harness.connect_client() for _ in range(4))
    harness.send_request(active, "id1")
    idle.protocol.dataReceived(resp.command([b"PING"]))
    for _ in range(9):  # A command that arrives byte by byte does not extend the timeout.
        incomplete.protocol.dataReceived(b"*" if not incomplete.protocol.reader.size else b"1")
        harness.advance(IDLE_TIMEOUT / 9e6)
    for client in (silent, incomplete):
        assert client.take_output().startswith(b"-ERR ")
        assert not client.connected
    harness.advance(3)
    assert active.connected
    assert idle.connected
    harness.decide(Fail("id1"))
    active.protocol.dataReceived(b"*2\r\n")
    harness.advance(1.9)
    assert active.connected
    harness.advance(0.2)
    assert not active.connected
    assert idle.connected
    assert not harness.clients.silent
    assert not harness.clients.lingering


def test_a_client_that_does_not_close_after_an_error_is_reset_after_the_idle_timeout(harness):
    client = harness.connect_client()
    client.keeps_open = True
    client.protocol.dataReceived(b"GET / HTTP/1.1\r\n\r\n")
    client.protocol.dataReceived(resp.command([b"SVC.QUERY", b"k", b"a", b"c=look,d=9"]))
    assert client.take_output().count(b"\r\n") == 1
    assert not harness.loop.open
    harness.advance(1.9)
    assert client.connected
    harness.advance(0.2)
    assert not client.connected
    assert harness.clients.descriptors.open == 0


def test_incomplete_commands_over_the_total_limit_close_the_connection_with_the_largest(harness):
    small, large = harness.connect_client(), harness.connect_client()
    small.protocol.dataReceived(b"*2\r\n$4\r\nPING\r\n")
    for sender in [large, harness.connect_client()]:
        sender.protocol.dataReceived(b"*5\r\n" + 3 * (b"$30000\r\n%b\r\n" % bytes(30_000)))
    assert large.take_output().startswith(b"-ERR ")
    assert not large.connected
    assert small.connected
    assert harness.clients.buffered == sum(client.reader.size for client in harness.clients.open) <= 100_000


@pytest.mark.parametrize("seed", range(10))
def test_a_corrupted_command_in_random_pieces_gets_an_error_or_a_close_and_affects_no_other_client(seed):
    rng, harness = Random(seed), GatewayHarness()
    valid = resp.command([b"SVC.QUERY", b"key", b"ID", b"c=look,t=a,d=900"])
    other = harness.connect_client()
    for n in range(40):
        corrupted = bytearray(valid.replace(b"ID", b"%d" % n).replace(b"$1\r", b"$%d\r" % len(str(n))))
        offset = rng.randrange(len(corrupted))
        match rng.randrange(5):
            case 0:
                del corrupted[offset:]
            case 1:
                corrupted[offset : offset + 1] = rng.randbytes(rng.randint(1, 9))
            case 2:
                corrupted = bytearray(valid.replace(b"d=900", rng.choice((b"d=-1", b"d=x", b"d=", b"d=1e3"))))
            case 3:
                corrupted[offset:offset] = b"$%d\r\n" % rng.choice((-1, -7, 60_000_000, 10**12))
            case 4:
                corrupted = bytearray(b"*2\r\n$4\r\nPING\r\n$-1\r\n" * rng.randint(1, 200))
        client = harness.connect_client()
        while corrupted and client.connected:
            size = rng.randint(1, 40)
            client.protocol.dataReceived(bytes(corrupted[:size]))
            del corrupted[:size]
        harness.send_request(other, f"other{n}")
        harness.decide(Reject(f"other{n}", 0))
        assert other.take_output() == b"-BUSY\r\n"
        harness.advance(IDLE_TIMEOUT / 1e6 + 0.1)
        if not client.protocol.pending:
            assert client.value().startswith(b"-ERR ") or not client.connected
        for rpc in [rpc.id for rpc in harness.loop.open.values() if not rpc.ended]:
            harness.decide(Fail(rpc))
    assert not harness.loop.open
    assert ("failed",) not in harness.log.counts


def test_a_failing_input_or_decision_is_logged_and_the_rest_of_the_turn_is_executed(harness):
    harness.loop.enqueue(lambda now: 1 / 0)
    harness.send_request(harness.connect_client(), "id1")
    harness.decide(SendAttempt("no such id", "s-1", 1), Fail("id1"))
    events = [json.loads(line) for line in harness.log_output.getvalue().splitlines()]
    assert [e["where"] for e in events if e["event"] == "failed"] == ["input", "executing SendAttempt"]
    assert "ZeroDivisionError" in next(e["trace"] for e in events if e["event"] == "failed")
