"""The start of a process: it has no current endpoint list yet, and may be stopped before it serves."""

from __future__ import annotations

import signal
import socket
import time

import pytest

from tests.net.loopback import HEAD, GatewayProcess, value_reply, request_command


def test_a_new_process_serves_only_once_discovery_has_sent_its_list(tmp_path):
    """The configuration's list may be outdated: an instance that it lists as ready and discovery as draining
    gets no request from a new process."""
    with GatewayProcess(tmp_path, answer_watch=False) as gateway:
        time.sleep(0.5)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", gateway.port))
        gateway.watch.send(HEAD)
        gateway.watch.send_chunk({"index": 1, "snapshot": True, "endpoints": [gateway.row(status="leaving")]})
        client = gateway.connect_client()
        client.send(request_command("id1", wait=300))
        assert client.read_until(b"\r\n").startswith(b"-BUSY")
        assert gateway.instance.receives_no_connection(0.1)


def test_a_new_process_serves_by_its_configured_list_while_discovery_is_silent(tmp_path):
    with GatewayProcess(tmp_path, answer_watch=False) as gateway:
        client = gateway.connect_client()
        client.send(request_command("id1"))
        upstream = gateway.instance.accept()
        upstream.send(value_reply(upstream.read_command()[2]))
        assert client.read_until(b"id1\r\n")


def test_sigterm_before_the_first_list_ends_the_process_with_exit_code_0(tmp_path):
    with GatewayProcess(tmp_path, answer_watch=False) as gateway:
        gateway.signal(signal.SIGTERM)
        assert gateway.wait_for_exit() == 0


def test_an_address_in_use_is_logged_once_and_ends_the_process_with_exit_code_1(tmp_path):
    with (
        GatewayProcess(tmp_path, answer_watch=False) as gateway,
        socket.create_server(("127.0.0.1", gateway.port)),
    ):
        gateway.watch.send(HEAD)
        gateway.watch.send_chunk(b"\n")
        assert gateway.wait_for_exit() == 1
        (failed,) = [event for event in gateway.events if event["event"] == "listen.failed"]
        assert failed["listen"] == f"127.0.0.1:{gateway.port}"
        assert "in use" in failed["error"]
