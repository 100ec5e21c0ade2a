"""Client connections: the stop of the gateway."""

from __future__ import annotations

from linenbridge.decisions import Fail, Reject
from linenbridge.net import resp
from linenbridge.net.downstream import IDLE_TIMEOUT, LAST_COMMANDS, LAST_CONNECTIONS

from tests.net.bench import MAX_TTL, GatewayHarness


def test_the_stop_accepts_connections_at_first_and_ends_after_the_last_pending_response(harness):
    stopped, idle, busy = [], harness.connect_client(), harness.connect_client()
    idle.protocol.dataReceived(resp.command([b"PING"]))
    harness.send_request(busy, "id1")
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    harness.clients.stop(harness.reactor, lambda: stopped.append(-1))
    harness.advance(LAST_CONNECTIONS - 0.1)
    late, silent = harness.connect_client(), harness.connect_client()
    assert idle.connected
    assert harness.listener.connected
    harness.advance(0.2)
    assert not harness.listener.connected
    assert idle.connected
    assert busy.connected
    assert not stopped
    # The first command of `late` was on its way: it gets its response, and then the connection is closed.
    harness.send_request(late, "id2")
    harness.decide(Reject("id2", 0))
    assert late.take_output() == b"-BUSY\r\n"
    assert not late.connected
    assert silent.connected
    harness.advance(LAST_COMMANDS - LAST_CONNECTIONS)
    assert not silent.connected
    assert busy.connected
    assert not stopped
    # A request that comes late on a connection at rest is served, and the connection ends with its response.
    assert idle.connected
    harness.send_request(idle, "id3")
    harness.decide(Reject("id3", 0))
    assert idle.take_output() == b"+PONG\r\n-BUSY\r\n"
    assert not idle.connected
    harness.decide(Fail("id1"))
    assert busy.take_output() == b"-ERR aborted\r\n"
    assert not busy.connected
    assert len(stopped) == 1
    assert stopped[0] > 0


def test_the_stop_answers_commands_behind_a_pending_one_however_late_they_come(harness):
    stopped, client = [], harness.connect_client()
    harness.send_request(client, "id1")
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    harness.advance(LAST_CONNECTIONS + 0.01)
    harness.send_request(client, "id2")
    harness.advance(LAST_COMMANDS - LAST_CONNECTIONS)
    harness.send_request(client, "id3")
    assert "id2" in harness.loop.open
    assert "id3" not in harness.loop.open
    harness.decide(Reject("id2", 0), Fail("id1"))
    assert client.take_output() == b"-ERR aborted\r\n-BUSY\r\n-BUSY\r\n"
    assert not client.connected
    assert stopped


def test_the_stop_answers_a_request_that_nothing_else_ends_before_the_earliest_kill(harness):
    stopped, client = [], harness.connect_client()
    harness.send_request(client, "id1")
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    kill = MAX_TTL / 1e6 + LAST_COMMANDS
    harness.advance(kill - 0.21)
    assert client.connected
    harness.advance(0.02)
    assert client.take_output().startswith(b"-ERR aborted\r\n")
    assert not client.connected
    assert stopped
    assert not harness.loop.open


def test_the_stop_answers_what_is_unread_when_its_time_is_up_and_ends_connections_at_rest(harness):
    stopped, client, idle = [], harness.connect_client(), harness.connect_client()
    for each in (client, idle):
        each.protocol.dataReceived(resp.command([b"PING"]))
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    harness.advance(MAX_TTL / 1e6 + LAST_COMMANDS - 0.21)
    assert client.connected
    assert idle.connected
    harness.advance(0.02)
    assert client.take_output() == b"+PONG\r\n-BUSY\r\n"
    assert idle.take_output() == b"+PONG\r\n"
    assert not client.connected
    assert not idle.connected
    assert stopped


def test_the_stop_waits_for_the_rest_of_an_incomplete_command(harness):
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


def test_the_stop_ends_although_accepting_was_paused(harness):
    """The listener is closed by then: a client that closes must not make the gateway resume accepting."""
    harness = GatewayHarness(descriptors=2)
    stopped = []
    for n in range(2):
        client = harness.connect_client()
        client.keeps_open, client.undelivered_bytes = True, 9  # The client neither reads nor closes.
        harness.send_request(client, f"id{n}")
    assert not harness.clients.has_room()
    harness.clients.on_pause()
    harness.clients.stop(harness.reactor, lambda: stopped.append(harness.now()))
    harness.advance(1)
    harness.decide(Fail("id0"))
    for _ in range(3):
        harness.advance(IDLE_TIMEOUT / 1e6)
    assert stopped
    assert not harness.clients.open
    assert not harness.clients.descriptors.open
    assert harness.listener.calls == []
