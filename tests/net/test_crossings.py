"""Races over real sockets: floods, a suspended process, resets, disconnects, a move to another discovery."""

from __future__ import annotations

import signal
import socket
import time

import pytest

from tests.net.loopback import HEAD, PING, FakeServer, GatewayProcess, value_reply, request_command


@pytest.fixture
def gateway(tmp_path):
    with GatewayProcess(tmp_path) as running:
        yield running


def test_a_ping_and_a_request_get_their_responses_during_a_flood_of_silent_connections(tmp_path):
    """The connections arrive before the gateway has sent any response, three times as many as it may hold."""
    with GatewayProcess(tmp_path, limits={"cores": 1.0, "memory_mb": 64, "sockets": 128}) as gateway:
        silent = [gateway.connect_client() for _ in range(384)]
        started = time.monotonic()
        client = gateway.connect_client()
        client.send(PING)
        assert client.read_until(b"\r\n") == b"+PONG\r\n"
        assert time.monotonic() < started + 2.0
        client.send(request_command("id1"))
        connection = gateway.instance.accept()
        connection.send(value_reply(connection.read_command()[2]))
        assert client.read_until(b"id1\r\n") == b"$3\r\nid1\r\n"
        for silent_client in silent:
            silent_client.close()


def test_a_client_gets_its_response_during_a_flood_of_commands_on_another_connection(gateway):
    flood, client = gateway.connect_client(), gateway.connect_client()
    gateway.signal(signal.SIGSTOP)
    flood.send(PING * 3000 + b"".join(request_command(f"f{n}", "none") for n in range(500)))
    client.send(request_command("id1", wait=1500))
    gateway.signal(signal.SIGCONT)
    connection = gateway.instance.accept()
    connection.send(value_reply(connection.read_command()[2]))
    assert client.read_until(b"id1\r\n") == b"$3\r\nid1\r\n"
    responses = b"".join(flood.read_until(b"\r\n") for _ in range(3500))
    assert responses == b"+PONG\r\n" * 3000 + b"-ERR no such method\r\n" * 500


def test_a_process_suspended_past_a_deadline_sends_one_response_per_request(gateway):
    client = gateway.connect_client()
    client.send(request_command("id1", wait=400) + request_command("id2", "book", wait=400))
    connections = [gateway.instance.accept(), gateway.instance.accept()]
    connection_by_rpc = {connection.read_command()[2]: connection for connection in connections}
    gateway.signal(signal.SIGSTOP)
    time.sleep(1.0)
    for rpc, connection in connection_by_rpc.items():
        connection.send(value_reply(rpc))
    resumed = gateway.signal(signal.SIGCONT)
    responses = [client.read_reply(), client.read_reply()]
    assert time.monotonic() < resumed + 0.5
    # Each request gets one response, in order: the value if the instance's response is handled before the
    # timeout, an error otherwise.
    assert responses[0].startswith(b"-BUSY") or responses[0] == b"$3\r\nid1\r\n"
    assert responses[1].startswith(b"-ERR") or responses[1] == b"$3\r\nid2\r\n"
    assert client.receives_nothing(0.5)


@pytest.mark.parametrize("when", ["before it is read", "once it is read", "with half an answer"])
def test_a_non_idempotent_rpc_whose_connection_is_reset_is_sent_once_and_answered_once(gateway, when):
    client = gateway.connect_client()
    client.send(request_command("id1", "book", wait=700))
    connection = gateway.instance.accept()
    assert connection.sock.recv(1, socket.MSG_PEEK)  # The command has arrived and is still unread.
    if when != "before it is read":
        assert connection.read_command()[2] == b"id1"
    if when == "with half an answer":
        connection.send(value_reply(b"value")[:9])
        time.sleep(0.05)
    connection.reset()
    assert client.read_until(b"\r\n").startswith(b"-ERR")
    assert client.receives_nothing(0.3)
    assert gateway.instance.receives_no_connection(0.1)


def test_an_idempotent_rpc_whose_connection_is_reset_is_retried(gateway):
    client = gateway.connect_client()
    client.send(request_command("id1"))
    first = gateway.instance.accept()
    first.read_command()
    first.reset()
    second = gateway.instance.accept()
    assert second.read_command()[2] == b"id1"
    second.send(value_reply(b"again"))
    assert client.read_until(b"again\r\n") == b"$5\r\nagain\r\n"
    assert client.receives_nothing(0.2)


def test_a_move_to_another_discovery_keeps_an_open_rpc_and_applies_the_new_list_at_once(gateway):
    """The old discovery closes before the new one has sent anything; the new one's list applies at once."""
    client, new_discovery = gateway.connect_client(), FakeServer()
    client.send(request_command("id1"))
    connection = gateway.instance.accept()
    assert connection.read_command()[2] == b"id1"
    gateway.write_configuration(discovery=new_discovery.address)
    gateway.signal(signal.SIGHUP)
    gateway.wait_for_event("reloaded")
    new_watch = new_discovery.accept()
    gateway.watch.close()
    new_watch.send(HEAD)
    new_watch.send_chunk({"index": 3, "snapshot": False, "endpoints": [gateway.row(status="leaving")]})
    time.sleep(0.2)
    client.send(request_command("id2", wait=300))
    connection.send(value_reply(b"first"))
    # The attempt in flight when the instance began to drain still completes.
    assert client.read_until(b"first\r\n") == b"$5\r\nfirst\r\n"
    assert client.read_until(b"\r\n").startswith(b"-BUSY")
    assert gateway.instance.receives_no_connection(0.1)
    new_discovery.close()


def test_a_move_to_an_unreachable_discovery_keeps_the_old_watch(gateway):
    gateway.wait_for_event("started")
    with socket.create_server(("127.0.0.1", 0)) as closed_listener:
        address = "{}:{}".format(*closed_listener.getsockname())
    gateway.write_configuration(discovery=address)
    gateway.signal(signal.SIGHUP)
    gateway.wait_for_event("reloaded")
    time.sleep(0.6)  # Two connection attempts have failed.
    gateway.watch.send_chunk({"index": 1, "snapshot": True, "endpoints": [gateway.row(status="leaving")]})
    client = gateway.connect_client()
    time.sleep(0.1)
    client.send(request_command("id1", wait=300))
    assert client.read_until(b"\r\n").startswith(b"-BUSY")
    assert gateway.instance.receives_no_connection(0.1)


def test_a_disconnect_is_detected_while_reading_from_the_client_is_paused(gateway):
    """The client's unread responses fill all buffers, so the gateway does not read from the client either."""
    gateway.instance.reply_to_all(b"v" * 60_000)
    client = gateway.connect_client(2_048)
    client.send(b"".join(request_command(f"id{n}") for n in range(100)))
    time.sleep(0.8)
    client.send(request_command("id100"))
    time.sleep(0.2)
    before = gateway.counters()
    assert before["counts"]["accepted.look"] == 100
    assert before["counts"]["answered.look.ok"] > 20
    client.close()
    time.sleep(0.2)
    after = gateway.counters()
    assert after["clients"] == after["open"] == 0
    assert after["counts"]["accepted.look"] == 100


def test_a_client_that_ends_its_sending_counts_as_disconnected(gateway):
    client = gateway.connect_client()
    client.send(request_command("id1"))
    connection = gateway.instance.accept()
    assert connection.read_command()[2] == b"id1"
    client.sock.shutdown(socket.SHUT_WR)
    assert client.read_to_end() == b""
    connection.send(value_reply(b"late"))
    assert gateway.counters()["counts"]["client_disconnected.look"] == 1
