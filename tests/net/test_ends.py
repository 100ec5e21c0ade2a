"""Pending responses when a connection or the process ends, over real sockets; each race is forced."""

from __future__ import annotations

import signal
import socket
import time

import pytest

from linenbridge.net.downstream import LAST_COMMANDS, LAST_CONNECTIONS
from tests.net.loopback import PING, GatewayProcess, value_reply, request_command

LARGE_VALUE = b"v" * 60_000  # does not fit a receive buffer of SMALL_BUFFER
SMALL_BUFFER = 2_048  # bytes


@pytest.fixture
def gateway(tmp_path):
    with GatewayProcess(tmp_path) as running:
        yield running


def test_a_response_not_yet_read_survives_the_end_of_its_connection_with_a_command_behind_it(gateway):
    """Part of the response waits for space in the client's receive buffer when the next command comes."""
    client = gateway.connect_client(SMALL_BUFFER)
    client.send(request_command("id1"))
    connection = gateway.instance.accept()
    assert connection.read_command()[2] == b"id1"
    stopped = gateway.signal(signal.SIGTERM)
    time.sleep(max(0.0, stopped + LAST_COMMANDS + 0.1 - time.monotonic()))
    client.send(request_command("id2"))
    connection.send(value_reply(LARGE_VALUE))
    time.sleep(0.2)  # By now the gateway has written as much as the buffers take.
    assert client.read_to_end() == b"$%d\r\n%b\r\n-BUSY\r\n" % (len(LARGE_VALUE), LARGE_VALUE)
    client.close()
    assert gateway.wait_for_exit() == 0
    assert gateway.wait_for_event("counters")["counts"]["accepted.look"] == 2


def test_an_error_line_survives_data_that_its_client_sends_after_the_malformed_command(gateway):
    client = gateway.connect_client(SMALL_BUFFER)
    client.send(PING * 50 + b"GET / HTTP/1.1\r\n" + b"x" * 100_000)
    time.sleep(0.2)
    responses = client.read_to_end()
    assert responses.startswith(b"+PONG\r\n" * 50 + b"-ERR ")
    assert responses.endswith(b"\r\n")


def test_a_client_that_never_closes_its_connection_is_reset(gateway):
    client = gateway.connect_client()
    client.send(b"what?\r\n")
    assert client.read_to_end().startswith(b"-ERR ")
    time.sleep(2.2)
    with pytest.raises(OSError):
        for _ in range(50):
            client.send(b"x" * 1000)
            time.sleep(0.02)


def test_connections_in_the_accept_queue_when_the_listener_closes_are_served(tmp_path):
    """The process is suspended while the listener is due to close, so the connections wait in the system's
    queue. The close is delayed so that the process is always suspended before it.
    """
    delayed_close = (
        "import linenbridge.net.downstream as c; c.LAST_CONNECTIONS, c.LAST_COMMANDS = 2.0, 2.2\n"
        "import linenbridge.policy.connection_admission as a; a.LAST_COMMANDS = 2_200_000"
    )
    with GatewayProcess(tmp_path, before=delayed_close) as gateway:
        gateway.wait_for_event("started")
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_event("stopping")
        gateway.signal(signal.SIGSTOP)
        clients = [gateway.connect_client() for _ in range(3)]
        for n, client in enumerate(clients):
            client.send(request_command(f"id{n}"))
        time.sleep(2.1)
        gateway.signal(signal.SIGCONT)
        for connection in [gateway.instance.accept() for _ in clients]:
            connection.send(value_reply(connection.read_command()[2]))
        assert [client.read_to_end() for client in clients] == [b"$3\r\nid%d\r\n" % n for n in range(3)]
        for client in clients:
            client.close()
        assert gateway.wait_for_exit() == 0


def test_connections_at_rest_are_served_in_a_stop_and_end_with_their_next_response(gateway):
    client, idle, unused = (gateway.connect_client() for _ in range(3))
    for pinged in (idle, unused):
        pinged.send(PING)
        assert pinged.read_until(b"\r\n") == b"+PONG\r\n"
    stopped = gateway.signal(signal.SIGTERM)
    time.sleep(max(0.0, stopped + LAST_CONNECTIONS + 0.1 - time.monotonic()))
    for number, connection in enumerate((client, idle)):
        connection.send(request_command(f"id{number}"))
        attempt = gateway.instance.accept()
        attempt.send(value_reply(attempt.read_command()[2]))
        assert connection.read_to_end() == b"$3\r\nid%d\r\n" % number
    assert unused.read_to_end() == b""
    assert time.monotonic() < stopped + 2.0 + LAST_COMMANDS  # seconds: the longest deadline, and 0.7
    for connection in (client, idle, unused):
        connection.close()
    assert gateway.wait_for_exit() == 0


@pytest.mark.parametrize("sent_at", [0.2, 0.5, 0.8])
def test_a_command_sent_in_a_stop_behind_a_pending_one_is_answered(gateway, sent_at):
    client = gateway.connect_client()
    client.send(request_command("id1"))
    connection = gateway.instance.accept()
    connection.read_command()
    stopped = gateway.signal(signal.SIGTERM)
    time.sleep(sent_at)
    client.send(request_command("id2", wait=1000))
    time.sleep(max(0.0, stopped + 1.0 - time.monotonic()))
    connection.send(value_reply(b"one"))
    assert client.read_until(b"one\r\n") == b"$3\r\none\r\n"
    assert client.read_reply().startswith(b"-BUSY")
    assert client.read_to_end() == b""
    client.close()
    assert gateway.wait_for_exit() == 0


def test_a_client_that_keeps_sending_behind_its_open_rpc_is_answered_and_does_not_delay_the_exit(gateway):
    client = gateway.connect_client()
    client.send(request_command("id0", wait=1500))
    stopped = gateway.signal(signal.SIGTERM)
    connection, n = gateway.instance.accept(), 1
    assert connection.read_command()[2] == b"id0"
    while time.monotonic() < stopped + 1.2:
        client.send(request_command(f"id{n}", wait=1500))
        n += 1
        time.sleep(0.02)
    connection.send(value_reply(b"0"))
    assert client.read_until(b"\r\n0\r\n")
    replies = client.read_to_end()
    assert replies.count(b"-BUSY") + replies.count(b"-ERR") >= n - 1
    client.close()
    assert gateway.wait_for_exit() == 0
    assert time.monotonic() < stopped + 2.7  # seconds: the longest deadline, and 0.7


@pytest.mark.parametrize("complete", [False, True])
def test_a_response_followed_by_a_reset_is_forwarded_only_if_complete(gateway, complete):
    client = gateway.connect_client()
    client.send(request_command("id1", "book", wait=600))
    connection = gateway.instance.accept()
    assert connection.read_command()[2] == b"id1"
    gateway.signal(signal.SIGSTOP)
    response = value_reply(b"value")
    connection.send(response if complete else response[:-3])
    connection.reset()
    gateway.signal(signal.SIGCONT)
    received = client.read_until(b"value\r\n" if complete else b"\r\n")
    assert received == b"$5\r\nvalue\r\n" if complete else received.startswith(b"-ERR")


def test_an_attempt_whose_connection_comes_up_after_its_client_disconnected_is_not_sent(tmp_path):
    """The instance's accept queue is full, so the gateway's connection comes up only when the system repeats
    its first packet, 1 s later.
    """
    with GatewayProcess(tmp_path, connect_timeout=3.0) as gateway:
        gateway.instance.listener.listen(0)
        queued = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(gateway.instance.listener.getsockname())
            queued.append(sock)
        time.sleep(0.1)
        client = gateway.connect_client()
        client.send(request_command("id1"))
        time.sleep(0.2)
        client.close()
        for _ in range(len(queued) + 1):
            accepted = gateway.instance.accept()
            if accepted.sock.getpeername() not in [sock.getsockname() for sock in queued]:
                break
        assert accepted.receives_nothing(0.5)
        for sock in queued:
            sock.close()
