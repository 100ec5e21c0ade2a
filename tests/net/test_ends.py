"""What is still owed when something ends, over real sockets: each crossing is forced."""

from __future__ import annotations

import signal
import socket
import time

import pytest

from linenbridge.net.downstream import LAST_COMMANDS
from tests.net.loopback import PING, GatewayProcess, value_reply, request_command

LARGE = b"v" * 60_000  # more than a small buffer of the client's takes
SMALL = 2_048


@pytest.fixture
def gateway(tmp_path):
    with GatewayProcess(tmp_path) as running:
        yield running


def test_an_answer_not_yet_read_survives_the_close_with_a_command_unread(gateway):
    """The client's buffer is full of the answer when the gateway ends the connection, and its next command
    lies unread there: a plain close would be a reset, and the answer gone with it."""
    client = gateway.connect_client(SMALL)
    client.send(request_command("id1"))
    line = gateway.instance.accept()
    assert line.read_command()[2] == b"id1"
    stopped = gateway.signal(signal.SIGTERM)
    time.sleep(max(0.0, stopped + LAST_COMMANDS + 0.1 - time.monotonic()))
    client.send(request_command("id2"))
    line.send(value_reply(LARGE))
    time.sleep(0.2)  # All has been written by now, as far as it goes.
    assert client.read_to_end() == b"$%d\r\n%b\r\n" % (len(LARGE), LARGE)
    client.close()
    assert gateway.wait_for_exit() == 0
    assert gateway.wait_for_event("counters")["counts"]["accepted.look"] == 1


def test_the_error_line_survives_what_its_client_goes_on_sending(gateway):
    client = gateway.connect_client(SMALL)
    client.send(PING * 50 + b"GET / HTTP/1.1\r\n" + b"x" * 100_000)
    time.sleep(0.2)
    got = client.read_to_end()
    assert got.startswith(b"+PONG\r\n" * 50 + b"-ERR ")
    assert got.endswith(b"\r\n")


def test_a_client_that_never_closes_its_end_is_cut_off(gateway):
    client = gateway.connect_client()
    client.send(b"what?\r\n")
    assert client.read_to_end().startswith(b"-ERR ")
    time.sleep(2.2)
    with pytest.raises(OSError):
        for _ in range(50):
            client.send(b"x" * 1000)
            time.sleep(0.02)


def test_whoever_waits_to_be_accepted_when_the_listener_closes_is_served(tmp_path):
    """The process stands still over the moment of the close, put off here so that it cannot be missed:
    connections come up in the system's queue."""
    late = "import linenbridge.net.downstream as c; c.LAST_CONNECTIONS, c.LAST_COMMANDS = 2.0, 2.2"
    with GatewayProcess(tmp_path, before=late) as gateway:
        gateway.wait_for_event("started")
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_event("stopping")
        gateway.signal(signal.SIGSTOP)
        clients = [gateway.connect_client() for _ in range(3)]
        for n, client in enumerate(clients):
            client.send(request_command(f"id{n}"))
        time.sleep(2.1)
        gateway.signal(signal.SIGCONT)
        for line in [gateway.instance.accept() for _ in clients]:
            line.send(value_reply(line.read_command()[2]))
        assert [client.read_to_end() for client in clients] == [b"$3\r\nid%d\r\n" % n for n in range(3)]
        for client in clients:
            client.close()
        assert gateway.wait_for_exit() == 0


def test_a_connection_that_has_asked_nothing_yet_is_served_after_the_stop_begins(gateway):
    client, idle = gateway.connect_client(), gateway.connect_client()
    idle.send(PING)
    assert idle.read_until(b"\r\n") == b"+PONG\r\n"
    gateway.signal(signal.SIGTERM)
    assert idle.read_to_end() == b""  # The listener has closed now, and idle connections with it.
    client.send(request_command("id1"))
    line = gateway.instance.accept()
    line.send(value_reply(line.read_command()[2]))
    assert client.read_to_end() == b"$3\r\nid1\r\n"
    client.close()
    idle.close()
    assert gateway.wait_for_exit() == 0


def test_a_client_that_sends_on_behind_its_open_rpc_does_not_keep_the_process(gateway):
    client = gateway.connect_client()
    client.send(request_command("id0", wait=1500))
    stopped = gateway.signal(signal.SIGTERM)
    line, n = gateway.instance.accept(), 1
    assert line.read_command()[2] == b"id0"
    while time.monotonic() < stopped + 1.2:
        client.send(request_command(f"id{n}", wait=1500))
        n += 1
        time.sleep(0.02)
    line.send(value_reply(b"0"))
    assert client.read_until(b"\r\n0\r\n")
    client.close()
    assert gateway.wait_for_exit() == 0
    assert time.monotonic() < stopped + 4.0


@pytest.mark.parametrize("whole", [False, True])
def test_an_answer_cut_off_and_a_whole_one_with_a_reset_right_behind(gateway, whole):
    client = gateway.connect_client()
    client.send(request_command("id1", "book", wait=600))
    line = gateway.instance.accept()
    assert line.read_command()[2] == b"id1"
    gateway.signal(signal.SIGSTOP)
    text = value_reply(b"value")
    line.send(text if whole else text[:-3])
    line.reset()
    gateway.signal(signal.SIGCONT)
    got = client.read_until(b"value\r\n" if whole else b"\r\n")
    assert got == b"$5\r\nvalue\r\n" if whole else got.startswith(b"-ERR")


def test_a_pick_whose_connection_comes_up_after_its_client_left_is_not_sent(tmp_path):
    """The instance's queue of connections is full: the next one comes up when its first attempt is repeated,
    1 s later."""
    with GatewayProcess(tmp_path, connect_timeout=3.0) as gateway:
        gateway.instance.listener.listen(0)
        held = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(gateway.instance.listener.getsockname())
            held.append(sock)
        time.sleep(0.1)
        client = gateway.connect_client()
        client.send(request_command("id1"))
        time.sleep(0.2)
        client.close()
        for _ in range(len(held) + 1):
            came = gateway.instance.accept()
            if came.sock.getpeername() not in [sock.getsockname() for sock in held]:
                break
        assert came.receives_nothing(0.5)
        for sock in held:
            sock.close()
