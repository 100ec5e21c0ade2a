"""Clients of any manners: what each costs, and whom."""

from __future__ import annotations

import json
from random import Random

import pytest

from linenbridge.decisions import Fail, Reject, SendAttempt
from linenbridge.net import resp
from linenbridge.net.downstream import BATCH, LAST_COMMANDS, LAST_CONNECTIONS, IDLE_TIMEOUT

from tests.net.bench import GatewayHarness


@pytest.mark.parametrize(
    "words",
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
def test_an_unfit_command_gets_a_reason_and_the_connection_stays(harness, words):
    client, before = harness.connect_client(), len(harness.module.inputs)
    client.protocol.dataReceived(resp.command(words) + resp.command([b"PING"]))
    harness.advance()
    answer = client.take_output()
    assert answer.startswith(b"-ERR ")
    assert answer.endswith(b"\r\n+PONG\r\n")
    assert client.connected
    assert len(harness.module.inputs) == before


@pytest.mark.parametrize(
    ("tenant", "known"), [("rederi-öst".encode(), "rederi-öst"), (b"\xff\xfe", "\ufffd\ufffd")]
)
def test_a_tenant_is_known_by_its_name_in_the_settings_whatever_its_letters(harness, tenant, known):
    harness.connect_client().protocol.dataReceived(
        resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,d=900,t=" + tenant])
    )
    harness.advance()
    assert next(told for told in harness.module.inputs if told[0] == "on_request")[5] == known


def test_what_is_no_resp_ends_the_connection_after_the_answers_owed_on_it(harness):
    client = harness.connect_client()
    client.protocol.dataReceived(
        resp.command([b"SVC.QUERY", b"k", b"a", b"c=look,d=9"]) + b"GET / HTTP/1.1\r\n"
    )
    harness.advance()
    assert client.connected
    harness.decide(Reject("a", 0))
    assert client.take_output().startswith(b"-BUSY\r\n-ERR ")
    assert not client.connected


def test_silence_or_half_a_command_ends_in_time_and_those_that_ask_stay(harness):
    silent, half, asks, other = (harness.connect_client() for _ in range(4))
    harness.send_request(asks, "id1")
    other.protocol.dataReceived(resp.command([b"PING"]))
    for _ in range(9):  # Drop by drop is no more than silence.
        half.protocol.dataReceived(b"*" if not half.protocol.reader.size else b"1")
        harness.advance(IDLE_TIMEOUT / 9e6)
    for wire in (silent, half):
        assert wire.take_output().startswith(b"-ERR ")
        assert not wire.connected
    harness.advance(3)
    assert asks.connected
    assert other.connected
    harness.decide(Fail("id1"))
    asks.protocol.dataReceived(b"*2\r\n")
    harness.advance(1.9)
    assert asks.connected
    harness.advance(0.2)
    assert not asks.connected
    assert other.connected
    assert not harness.clients.silent
    assert not harness.clients.closing_clients


def test_a_client_that_reads_nothing_is_cut_off_in_time(harness):
    client = harness.connect_client()
    client.loseWriteConnection = lambda: None
    client.protocol.dataReceived(b"GET / HTTP/1.1\r\n\r\n")
    client.protocol.dataReceived(resp.command([b"SVC.QUERY", b"k", b"a", b"c=look,d=9"]))
    assert client.take_output().count(b"\r\n") == 1
    assert not harness.loop.open
    harness.advance(1.9)
    assert client.connected
    harness.advance(0.2)
    assert not client.connected
    assert harness.clients.descriptors.open == 0


def test_half_read_commands_are_bounded_over_all_clients_and_the_largest_goes(harness):
    small, large = harness.connect_client(), harness.connect_client()
    small.protocol.dataReceived(b"*2\r\n$4\r\nPING\r\n")
    for wire in [large, harness.connect_client()]:
        wire.protocol.dataReceived(b"*5\r\n" + 3 * (b"$30000\r\n%b\r\n" % bytes(30_000)))
    assert large.take_output().startswith(b"-ERR ")
    assert not large.connected
    assert small.connected
    assert harness.clients.buffered == sum(client.reader.size for client in harness.clients.open) <= 100_000


def test_clients_that_ask_once_and_stay_leave_room_in_the_pool_for_those_that_come():
    harness = GatewayHarness(descriptors=90, pool=30)
    harness.update_endpoints(("s-1", 1, "active", 0))
    busy = harness.connect_client()
    harness.send_request(busy, "id1")
    for n in range(60):
        wire = harness.connect_client()
        harness.send_request(wire, f"once{n}")
        harness.decide(Fail(f"once{n}"))
        assert wire.take_output() == b"-ERR aborted\r\n"
        assert len(harness.clients.open) <= 30 - BATCH
    assert busy.connected
    assert not harness.clients.paused


def test_a_command_that_crosses_the_close_of_an_idle_connection_is_not_taken(harness):
    """It would be lost with the connection; unread, its client sends it once more."""
    client = harness.connect_client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    client.loseWriteConnection = lambda: None  # The end is sent in a later iteration.
    client.protocol.leave()
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    client.doRead()
    harness.advance()
    assert not harness.loop.open
    assert client.unread
    assert client.producerState == "paused"
    harness.advance(IDLE_TIMEOUT / 1e6 + 0.1)
    assert not client.connected
    assert harness.clients.descriptors.open == 0


def test_connections_that_ask_nothing_make_room_but_never_one_with_something_unread():
    harness = GatewayHarness(descriptors=26)
    harness.update_endpoints(("s-1", 1, "active", 0))
    asks, unread, silent, asked = (harness.connect_client() for _ in range(4))
    harness.send_request(asks, "id1")
    unread.unread = b"*"
    asked.protocol.dataReceived(resp.command([b"PING"]))
    late = harness.connect_client()
    assert not silent.connected
    assert all(w.connected for w in (asks, unread, asked, late))
    late.protocol.dataReceived(b"*5\r\n")
    newest = harness.connect_client()
    assert asked.take_output() == b"+PONG\r\n"
    assert not asked.connected
    assert late.connected
    assert asks.connected
    assert newest.connected
    assert harness.clients.paused is False
    assert ("client.rejected",) not in harness.log.counts


@pytest.mark.parametrize("seed", range(10))
def test_whatever_a_client_sends_in_whatever_pieces_it_has_its_error_or_its_close(seed):
    dice, harness = Random(seed), GatewayHarness()
    good = resp.command([b"SVC.QUERY", b"key", b"ID", b"c=look,t=a,d=900"])
    usual = harness.connect_client()
    for n in range(40):
        spoilt = bytearray(good.replace(b"ID", b"%d" % n).replace(b"$1\r", b"$%d\r" % len(str(n))))
        at = dice.randrange(len(spoilt))
        match dice.randrange(5):
            case 0:
                del spoilt[at:]
            case 1:
                spoilt[at : at + 1] = dice.randbytes(dice.randint(1, 9))
            case 2:
                spoilt = bytearray(good.replace(b"d=900", dice.choice((b"d=-1", b"d=x", b"d=", b"d=1e3"))))
            case 3:
                spoilt[at:at] = b"$%d\r\n" % dice.choice((-1, -7, 60_000_000, 10**12))
            case 4:
                spoilt = bytearray(b"*2\r\n$4\r\nPING\r\n$-1\r\n" * dice.randint(1, 200))
        wire = harness.connect_client()
        while spoilt and wire.connected:
            size = dice.randint(1, 40)
            wire.protocol.dataReceived(bytes(spoilt[:size]))
            del spoilt[:size]
        harness.send_request(usual, f"usual{n}")
        harness.decide(Reject(f"usual{n}", 0))
        assert usual.take_output() == b"-BUSY\r\n"
        harness.advance(IDLE_TIMEOUT / 1e6 + 0.1)
        if not wire.protocol.pending:
            assert wire.value().startswith(b"-ERR ") or not wire.connected
        for rpc in [rpc.id for rpc in harness.loop.open.values() if not rpc.ended]:
            harness.decide(Fail(rpc))
    assert not harness.loop.open
    assert ("failed",) not in harness.log.counts


def test_the_stop_serves_on_first_and_ends_once_nothing_is_owed(harness):
    stopped, idle, busy = [], harness.connect_client(), harness.connect_client()
    idle.protocol.dataReceived(resp.command([b"PING"]))
    harness.send_request(busy, "id1")
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    harness.clients.stop(harness.reactor, lambda: stopped.append(-1))
    harness.advance(LAST_CONNECTIONS - 0.1)
    late, silent = harness.connect_client(), harness.connect_client()
    assert idle.connected
    assert not harness.clients.closing
    harness.advance(0.2)
    assert not idle.connected
    assert busy.connected
    assert not stopped
    # Its first command was on the way: taken, answered, and the connection ends with that.
    harness.send_request(late, "id2")
    harness.decide(Reject("id2", 0))
    assert late.take_output() == b"-BUSY\r\n"
    assert not late.connected
    assert silent.connected
    harness.advance(LAST_COMMANDS - LAST_CONNECTIONS)
    assert not silent.connected
    assert busy.connected
    assert not stopped
    harness.decide(Fail("id1"))
    assert busy.take_output() == b"-ERR aborted\r\n"
    assert not busy.connected
    assert len(stopped) == 1
    assert stopped[0] > 0


def test_the_stop_takes_what_lies_unread_on_an_idle_connection_and_nothing_after_its_last_answer(harness):
    stopped, client = [], harness.connect_client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    harness.advance(LAST_CONNECTIONS)
    assert "id1" in harness.loop.open
    assert client.connected
    # What it sends on behind that is left unread: it was not taken, and keeps nothing open.
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id2", b"c=look,t=a,d=900"])
    client.doRead()
    harness.advance(1)
    assert "id2" not in harness.loop.open
    assert client.unread
    harness.decide(Fail("id1"))
    assert client.take_output() == b"+PONG\r\n-ERR aborted\r\n"
    assert not client.connected
    assert stopped


def test_the_stop_waits_for_the_other_half_of_a_command(harness):
    stopped, client = [], harness.connect_client()
    command = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    client.protocol.dataReceived(resp.command([b"PING"]) + command[:-9])
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    harness.advance(LAST_CONNECTIONS)
    client.protocol.dataReceived(command[-9:])
    harness.advance()
    harness.decide(Fail("id1"))
    assert client.take_output() == b"+PONG\r\n-ERR aborted\r\n"
    assert not client.connected
    assert stopped


def test_the_stop_ends_while_room_was_short(harness):
    """The listener is gone then: whoever would make room for new ones finds none to come."""
    harness = GatewayHarness(descriptors=23)
    stopped = []
    for n in range(2):
        client = harness.connect_client()
        harness.send_request(client, f"id{n}")
        client.loseWriteConnection = lambda: None  # They read nothing more, nor close.
    assert harness.clients.paused
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    harness.advance(1)
    harness.decide(Fail("id0"), Fail("id1"))
    for _ in range(3):
        harness.advance(IDLE_TIMEOUT / 1e6)
    assert stopped
    assert not harness.clients.open
    assert not harness.clients.descriptors.open


def test_commands_read_together_are_all_taken_before_their_connection_may_make_room():
    """With room short an answered command made its own connection the one to go, with the next one read."""
    harness = GatewayHarness(descriptors=23)
    harness.update_endpoints(("s-1", 1, "active", 0))
    harness.send_request(harness.connect_client(), "id0")
    client = harness.connect_client()
    assert harness.clients.paused
    client.protocol.dataReceived(
        resp.command([b"PING"]) + resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    )
    harness.advance()
    harness.decide(Fail("id1"))
    assert client.take_output() == b"+PONG\r\n-ERR aborted\r\n"


def test_one_call_that_fails_is_logged_and_the_rest_of_the_turn_goes_on(harness):
    harness.loop.enqueue(lambda now: 1 / 0)
    harness.send_request(harness.connect_client(), "id1")
    harness.decide(SendAttempt("no such id", "s-1", 1), Fail("id1"))
    events = [json.loads(line) for line in harness.lines.getvalue().splitlines()]
    assert [e["where"] for e in events if e["event"] == "failed"] == ["input", "executing SendAttempt"]
    assert "ZeroDivisionError" in next(e["trace"] for e in events if e["event"] == "failed")


def test_accepting_pauses_while_no_client_can_go_and_goes_on_once_one_has_closed():
    harness, reads = GatewayHarness(descriptors=24), []
    harness.clients.port.stopReading = lambda: reads.append("stop")
    harness.clients.port.startReading = lambda: reads.append("start")
    clients = []
    for n in range(4):
        clients.append(harness.connect_client())
        harness.send_request(clients[-1], f"id{n}")
    assert reads == ["stop"]
    assert all(client.connected for client in clients)
    harness.decide(Fail("id0"))
    assert not clients[0].connected
    assert reads == ["stop"]
    clients[3].lose()
    assert reads == ["stop", "start"]
    assert all(client.connected for client in clients[1:3])
    assert clients[0].take_output() == b"-ERR aborted\r\n"
