"""Client connections: which of them end to make room, and the shortage of descriptors."""

from __future__ import annotations

from linenbridge.decisions import Fail, Reject
from linenbridge.net import resp
from linenbridge.net.downstream import IDLE_TIMEOUT
from linenbridge.policy.connection_admission import ACCEPT_BATCH, MIN_IDLE_TIME

from tests.net.bench import GatewayHarness


def test_idle_clients_are_evicted_to_keep_room_in_the_pool_for_a_batch_of_new_ones():
    harness = GatewayHarness(descriptors=90, pool=30)
    harness.update_endpoints(("s-1", 1, "active", 0))
    busy = harness.connect_client()
    harness.send_request(busy, "id1")
    for n in range(60):
        client = harness.connect_client()
        harness.send_request(client, f"once{n}")
        harness.decide(Fail(f"once{n}"))
        assert client.take_output() == b"-ERR aborted\r\n"
        assert len(harness.clients.open) <= 30 - ACCEPT_BATCH
        harness.advance(MIN_IDLE_TIME / 1e6)
    assert busy.connected
    assert not harness.clients.is_paused


def test_an_idle_connection_ends_at_once_so_that_no_command_comes_in_between(harness):
    client = harness.connect_client()
    client.keeps_open = True
    client.protocol.dataReceived(resp.command([b"PING"]))
    client.protocol.end()
    assert client.sending_ended


def test_a_command_behind_the_end_of_an_idle_connection_is_not_read(harness):
    """Once read, the command would be lost with the connection; its client repeats a command left unread."""
    client = harness.connect_client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    client.keeps_open = True
    client.protocol.end()
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    client.doRead()
    harness.advance()
    assert not harness.loop.open
    assert client.unread
    assert client.producerState == "paused"
    harness.advance(IDLE_TIMEOUT / 1e6 + 0.2)
    assert not client.connected
    assert harness.clients.descriptors.open == 0


def test_a_command_that_came_before_the_end_of_an_idle_connection_is_answered(harness):
    client = harness.connect_client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    client.unread = resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    client.protocol.end()
    assert not client.sending_ended
    client.doRead()
    harness.advance()
    harness.decide(Reject("id1", 0))
    assert client.take_output() == b"+PONG\r\n-BUSY\r\n"
    assert client.sending_ended


def test_connections_without_an_open_request_are_evicted_unless_they_have_unread_data():
    harness = GatewayHarness(descriptors=26)
    harness.update_endpoints(("s-1", 1, "active", 0))
    active, unread, silent, idle = (harness.connect_client() for _ in range(4))
    harness.send_request(active, "id1")
    unread.unread = b"*"
    idle.protocol.dataReceived(resp.command([b"PING"]))
    late = harness.connect_client()
    assert silent.connected
    newer = harness.connect_client()
    assert not silent.connected
    assert all(client.connected for client in (active, unread, idle, late, newer))
    late.protocol.dataReceived(b"*5\r\n")
    newer.protocol.dataReceived(b"*5\r\n")
    harness.advance(MIN_IDLE_TIME / 1e6)
    newest = harness.connect_client()
    assert idle.take_output() == b"+PONG\r\n"
    assert not idle.connected
    assert all(client.connected for client in (active, unread, late, newer, newest))
    assert harness.clients.is_paused is False
    assert ("client.rejected",) not in harness.log.counts


def test_connections_in_regular_use_are_not_closed_while_the_pool_is_full():
    """Closed, each would be replaced by a new one, and requests on their way to it would be lost."""
    harness = GatewayHarness(descriptors=90, pool=ACCEPT_BATCH + 5)
    harness.update_endpoints(("s-1", 1, "active", 0))
    used = [harness.connect_client() for _ in range(10)]
    once = []
    for turn in range(4):
        for number, client in enumerate(used):
            harness.send_request(client, f"id{turn}.{number}")
            harness.decide(Reject(f"id{turn}.{number}", 0))
        if turn:  # From the second request on, a connection is in regular use.
            once.append(harness.connect_client())
            harness.send_request(once[-1], f"once{turn}")
            harness.decide(Reject(f"once{turn}", 0))
        harness.advance(MIN_IDLE_TIME / 8e6)
    assert all(client.connected for client in used)
    assert not any(client.connected for client in once[:-1])


def test_a_request_on_a_connection_beyond_the_descriptors_for_requests_is_rejected_at_once():
    harness = GatewayHarness(descriptors=24)
    harness.update_endpoints(("s-1", 1, "active", 0))
    pending = []
    while harness.clients.descriptors.available() > harness.clients.admission.refusing:
        pending.append(harness.connect_client())
        harness.send_request(pending[-1], f"pending{len(pending)}")
    for n in range(50):
        extra = harness.connect_client()
        harness.send_request(extra, f"extra{n}")
        assert extra.take_output() == b"-BUSY\r\n"
        assert not extra.connected
    assert all(client.connected and not client.value() for client in pending)
    assert harness.log.counts["refused", "connections"] == 50
    assert ("client.rejected",) not in harness.log.counts


def test_all_commands_of_one_read_are_accepted_before_their_connection_may_be_evicted():
    """While descriptors were short, the response to a command made its own connection the one to evict, and
    the next command of the same read was lost.
    """
    harness = GatewayHarness(descriptors=23)
    harness.update_endpoints(("s-1", 1, "active", 0))
    harness.send_request(harness.connect_client(), "id0")
    client = harness.connect_client()
    client.protocol.dataReceived(
        resp.command([b"PING"]) + resp.command([b"SVC.QUERY", b"key", b"id1", b"c=look,t=a,d=900"])
    )
    harness.advance()
    harness.decide(Fail("id1"))
    assert client.take_output() == b"+PONG\r\n-ERR aborted\r\n"


def test_accepting_pauses_while_no_client_can_be_evicted_and_resumes_once_one_has_closed():
    harness = GatewayHarness(descriptors=4)
    clients = []
    while harness.clients.has_room():
        clients.append(harness.connect_client())
        clients[-1].keeps_open, clients[-1].undelivered_bytes = True, 9
        harness.send_request(clients[-1], f"id{len(clients) - 1}")
    assert [client.protocol.is_surplus for client in clients] == [False, False, False, True]
    assert not harness.clients.has_room()
    harness.clients.on_pause()
    assert all(client.connected for client in clients)
    clients[3].lose()
    assert harness.listener.calls == ["resume"]
    assert all(client.connected for client in clients[:3])
    harness.decide(Fail("id0"))
    assert clients[0].take_output() == b"-ERR aborted\r\n"


def test_a_connection_accepted_while_descriptors_were_short_is_served_once_others_have_closed():
    harness = GatewayHarness(descriptors=8)
    others = []
    while harness.clients.descriptors.available() > 1:
        others.append(harness.connect_client())
        others[-1].keeps_open, others[-1].undelivered_bytes = True, 9
        harness.send_request(others[-1], f"other{len(others)}")
    client = harness.connect_client()
    client.protocol.dataReceived(resp.command([b"PING"]))
    assert client.take_output() == b"+PONG\r\n"
    assert client.connected
    others[0].lose()
    harness.send_request(client, "id1")
    harness.decide(Fail("id1"))
    assert client.take_output() == b"-ERR aborted\r\n"


def test_the_counters_of_waiting_connections_name_each_by_its_group():
    harness = GatewayHarness()
    for _ in range(2):
        harness.connect_client()
    harness.connect_client().protocol.dataReceived(resp.command([b"PING"]))
    ended = harness.connect_client()
    ended.keeps_open = True
    ended.protocol.dataReceived(b"GET /")
    assert harness.clients.waiting_counts() == {"silent": 2, "idle": 1, "lingering": 1}
