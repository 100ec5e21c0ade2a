"""Clients of any manners: what each costs, and whom."""

from __future__ import annotations

import json
from random import Random

import pytest

from linenbridge.decisions import Fail, Reject, SendAttempt
from linenbridge.net import resp
from linenbridge.net.downstream import BATCH, LAST_COMMANDS, LAST_CONNECTIONS, IDLE_TIMEOUT

from tests.net.bench import Bench


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
def test_an_unfit_command_gets_a_reason_and_the_connection_stays(bench, words):
    client, before = bench.client(), len(bench.module.told)
    client.protocol.dataReceived(resp.command(words) + resp.command([b"PING"]))
    bench.turn()
    answer = client.taken()
    assert answer.startswith(b"-ERR ")
    assert answer.endswith(b"\r\n+PONG\r\n")
    assert client.connected
    assert len(bench.module.told) == before


@pytest.mark.parametrize(
    ("tenant", "known"), [("rederi-öst".encode(), "rederi-öst"), (b"\xff\xfe", "\ufffd\ufffd")]
)
def test_a_tenant_is_known_by_its_name_in_the_settings_whatever_its_letters(bench, tenant, known):
    bench.client().protocol.dataReceived(
        resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,d=900,t=" + tenant])
    )
    bench.turn()
    assert next(told for told in bench.module.told if told[0] == "on_request")[5] == known


def test_what_is_no_resp_ends_the_connection_after_the_answers_owed_on_it(bench):
    client = bench.client()
    client.protocol.dataReceived(
        resp.command([b"SVC.QUERY", b"k", b"a", b"c=look,d=9"]) + b"GET / HTTP/1.1\r\n"
    )
    bench.turn()
    assert client.connected
    bench.say(Reject("a", 0))
    assert client.taken().startswith(b"-BUSY\r\n-ERR ")
    assert not client.connected


def test_silence_or_half_a_command_ends_in_time_and_those_that_ask_stay(bench):
    silent, half, asks, other = (bench.client() for _ in range(4))
    bench.send(asks, "id1")
    other.protocol.dataReceived(resp.command([b"PING"]))
    for _ in range(9):  # Drop by drop is no more than silence.
        half.protocol.dataReceived(b"*" if not half.protocol.reader.size else b"1")
        bench.turn(IDLE_TIMEOUT / 9e6)
    for wire in (silent, half):
        assert wire.taken().startswith(b"-ERR ")
        assert not wire.connected
    bench.turn(3)
    assert asks.connected
    assert other.connected
    bench.say(Fail("id1"))
    asks.protocol.dataReceived(b"*2\r\n")
    bench.turn(1.9)
    assert asks.connected
    bench.turn(0.2)
    assert not asks.connected
    assert other.connected
    assert not bench.clients.silent
    assert not bench.clients.closing_clients


def test_a_client_that_reads_nothing_is_cut_off_in_time(bench):
    client = bench.client()
    client.loseWriteConnection = lambda: None
    client.protocol.dataReceived(b"GET / HTTP/1.1\r\n\r\n")
    client.protocol.dataReceived(resp.command([b"SVC.QUERY", b"k", b"a", b"c=look,d=9"]))
    assert client.taken().count(b"\r\n") == 1
    assert not bench.loop.open
    bench.turn(1.9)
    assert client.connected
    bench.turn(0.2)
    assert not client.connected
    assert bench.clients.descriptors.open == 0


def test_half_read_commands_are_bounded_over_all_clients_and_the_largest_goes(bench):
    small, large = bench.client(), bench.client()
    small.protocol.dataReceived(b"*2\r\n$4\r\nPING\r\n")
    for wire in [large, bench.client()]:
        wire.protocol.dataReceived(b"*5\r\n" + 3 * (b"$30000\r\n%b\r\n" % bytes(30_000)))
    assert large.taken().startswith(b"-ERR ")
    assert not large.connected
    assert small.connected
    assert bench.clients.buffered == sum(client.reader.size for client in bench.clients.open) <= 100_000


def test_clients_that_ask_once_and_stay_leave_room_in_the_pool_for_those_that_come():
    bench = Bench(descriptors=90, pool=30)
    bench.list(("s-1", 1, "active", 0))
    busy = bench.client()
    bench.send(busy, "id1")
    for n in range(60):
        wire = bench.client()
        bench.send(wire, f"once{n}")
        bench.say(Fail(f"once{n}"))
        assert wire.taken() == b"-ERR aborted\r\n"
        assert len(bench.clients.open) <= 30 - BATCH
    assert busy.connected
    assert not bench.clients.paused


def test_a_command_that_crosses_the_close_of_an_idle_connection_is_not_taken(bench):
    """It would be lost with the connection; unread, its client sends it once more."""
    client = bench.client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    client.loseWriteConnection = lambda: None  # The end is sent in a later iteration.
    client.protocol.leave()
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    client.doRead()
    bench.turn()
    assert not bench.loop.open
    assert client.unread
    assert client.producerState == "paused"
    bench.turn(IDLE_TIMEOUT / 1e6 + 0.1)
    assert not client.connected
    assert bench.clients.descriptors.open == 0


def test_connections_that_ask_nothing_make_room_but_never_one_with_something_unread():
    bench = Bench(descriptors=26)
    bench.list(("s-1", 1, "active", 0))
    asks, unread, silent, asked = (bench.client() for _ in range(4))
    bench.send(asks, "id1")
    unread.unread = b"*"
    asked.protocol.dataReceived(resp.command([b"PING"]))
    late = bench.client()
    assert not silent.connected
    assert all(w.connected for w in (asks, unread, asked, late))
    late.protocol.dataReceived(b"*5\r\n")
    newest = bench.client()
    assert asked.taken() == b"+PONG\r\n"
    assert not asked.connected
    assert late.connected
    assert asks.connected
    assert newest.connected
    assert bench.clients.paused is False
    assert ("client.rejected",) not in bench.log.counts


@pytest.mark.parametrize("seed", range(10))
def test_whatever_a_client_sends_in_whatever_pieces_it_has_its_error_or_its_close(seed):
    dice, bench = Random(seed), Bench()
    good = resp.command([b"SVC.QUERY", b"key", b"ID", b"c=look,t=a,d=900"])
    usual = bench.client()
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
        wire = bench.client()
        while spoilt and wire.connected:
            size = dice.randint(1, 40)
            wire.protocol.dataReceived(bytes(spoilt[:size]))
            del spoilt[:size]
        bench.send(usual, f"usual{n}")
        bench.say(Reject(f"usual{n}", 0))
        assert usual.taken() == b"-BUSY\r\n"
        bench.turn(IDLE_TIMEOUT / 1e6 + 0.1)
        if not wire.protocol.pending:
            assert wire.value().startswith(b"-ERR ") or not wire.connected
        for rpc in [rpc.id for rpc in bench.loop.open.values() if not rpc.ended]:
            bench.say(Fail(rpc))
    assert not bench.loop.open
    assert ("failed",) not in bench.log.counts


def test_the_stop_serves_on_first_and_ends_once_nothing_is_owed(bench):
    stopped, idle, busy = [], bench.client(), bench.client()
    idle.protocol.dataReceived(resp.command([b"PING"]))
    bench.send(busy, "id1")
    bench.clients.stop(bench.reactor, lambda: stopped.append(bench.now()))
    bench.clients.stop(bench.reactor, lambda: stopped.append(-1))
    bench.turn(LAST_CONNECTIONS - 0.1)
    late, silent = bench.client(), bench.client()
    assert idle.connected
    assert not bench.clients.closing
    bench.turn(0.2)
    assert not idle.connected
    assert busy.connected
    assert not stopped
    # Its first command was on the way: taken, answered, and the connection ends with that.
    bench.send(late, "id2")
    bench.say(Reject("id2", 0))
    assert late.taken() == b"-BUSY\r\n"
    assert not late.connected
    assert silent.connected
    bench.turn(LAST_COMMANDS - LAST_CONNECTIONS)
    assert not silent.connected
    assert busy.connected
    assert not stopped
    bench.say(Fail("id1"))
    assert busy.taken() == b"-ERR aborted\r\n"
    assert not busy.connected
    assert len(stopped) == 1
    assert stopped[0] > 0


def test_the_stop_takes_what_lies_unread_on_an_idle_connection_and_nothing_after_its_last_answer(bench):
    stopped, client = [], bench.client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    bench.clients.stop(bench.reactor, lambda: stopped.append(bench.now()))
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    bench.turn(LAST_CONNECTIONS)
    assert "id1" in bench.loop.open
    assert client.connected
    # What it sends on behind that is left unread: it was not taken, and keeps nothing open.
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id2", b"c=look,t=a,d=900"])
    client.doRead()
    bench.turn(1)
    assert "id2" not in bench.loop.open
    assert client.unread
    bench.say(Fail("id1"))
    assert client.taken() == b"+PONG\r\n-ERR aborted\r\n"
    assert not client.connected
    assert stopped


def test_the_stop_waits_for_the_other_half_of_a_command(bench):
    stopped, client = [], bench.client()
    command = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    client.protocol.dataReceived(resp.command([b"PING"]) + command[:-9])
    bench.clients.stop(bench.reactor, lambda: stopped.append(bench.now()))
    bench.turn(LAST_CONNECTIONS)
    client.protocol.dataReceived(command[-9:])
    bench.turn()
    bench.say(Fail("id1"))
    assert client.taken() == b"+PONG\r\n-ERR aborted\r\n"
    assert not client.connected
    assert stopped


def test_the_stop_ends_while_room_was_short(bench):
    """The listener is gone then: whoever would make room for new ones finds none to come."""
    bench = Bench(descriptors=23)
    stopped = []
    for n in range(2):
        client = bench.client()
        bench.send(client, f"id{n}")
        client.loseWriteConnection = lambda: None  # They read nothing more, nor close.
    assert bench.clients.paused
    bench.clients.stop(bench.reactor, lambda: stopped.append(bench.now()))
    bench.turn(1)
    bench.say(Fail("id0"), Fail("id1"))
    for _ in range(3):
        bench.turn(IDLE_TIMEOUT / 1e6)
    assert stopped
    assert not bench.clients.open
    assert not bench.clients.descriptors.open


def test_commands_read_together_are_all_taken_before_their_connection_may_make_room():
    """With room short an answered command made its own connection the one to go, with the next one read."""
    bench = Bench(descriptors=23)
    bench.list(("s-1", 1, "active", 0))
    bench.send(bench.client(), "id0")
    client = bench.client()
    assert bench.clients.paused
    client.protocol.dataReceived(
        resp.command([b"PING"]) + resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    )
    bench.turn()
    bench.say(Fail("id1"))
    assert client.taken() == b"+PONG\r\n-ERR aborted\r\n"


def test_one_call_that_fails_is_logged_and_the_rest_of_the_turn_goes_on(bench):
    bench.loop.enqueue(lambda now: 1 / 0)
    bench.send(bench.client(), "id1")
    bench.say(SendAttempt("no such id", "s-1", 1), Fail("id1"))
    events = [json.loads(line) for line in bench.lines.getvalue().splitlines()]
    assert [e["where"] for e in events if e["event"] == "failed"] == ["input", "executing SendAttempt"]
    assert "ZeroDivisionError" in next(e["trace"] for e in events if e["event"] == "failed")


def test_accepting_pauses_while_no_client_can_go_and_goes_on_once_one_has_closed():
    bench, reads = Bench(descriptors=24), []
    bench.clients.port.stopReading = lambda: reads.append("stop")
    bench.clients.port.startReading = lambda: reads.append("start")
    clients = []
    for n in range(4):
        clients.append(bench.client())
        bench.send(clients[-1], f"id{n}")
    assert reads == ["stop"]
    assert all(client.connected for client in clients)
    bench.say(Fail("id0"))
    assert not clients[0].connected
    assert reads == ["stop"]
    clients[3].lose()
    assert reads == ["stop", "start"]
    assert all(client.connected for client in clients[1:3])
    assert clients[0].taken() == b"-ERR aborted\r\n"
