"""The stop of a gateway with further parts (`linenbridge serve`) keeps to the time that its clients have."""

from __future__ import annotations

import signal
import socket
import time

import h2.config
import h2.connection
import pytest

from tests.net.loopback import STEP_TIMEOUT, GatewayProcess, request_command, value_reply
from tests.peer_script import request_headers_message

MAX_DEADLINE = 2.0  # seconds; of the configuration's methods
KILLED_AFTER = MAX_DEADLINE + 0.7  # seconds from SIGTERM to SIGKILL; PROTOCOL, Figures
LAST_COMMANDS = 0.7  # seconds from SIGTERM to the last commands on connections that the gateway keeps open
SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:{processor}">
    <partner name="desk" address="127.0.0.0/8" ours="true" attempts="3" fail-open="false"/>
    <routes><![CDATA[
route all {{ when path starts "/" method "look" tenant header("x-tenant") else "none" deadline 1s }}
    ]]></routes>
  </processor>
  {fleet}
</linenbridge>
"""
# The quorum can't be reached, so that the turn to restart never comes.
FLEET = """<fleet member="g4" listen="127.0.0.1:{listen}">
    <member name="g1" address="127.0.0.1:1"/><member name="g2" address="127.0.0.1:1"/>
    <member name="g3" address="127.0.0.1:1"/>
    <quorum generation="1"><acceptor name="g1"/><acceptor name="g2"/><acceptor name="g3"/></quorum>
    {restarts}
  </fleet>"""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def settings(restarts: str | None = None) -> str:
    """Return the settings of a processor, with a fleet if `restarts` is an element or an empty text."""
    fleet = "" if restarts is None else FLEET.format(listen=free_port(), restarts=restarts)
    return SETTINGS.format(processor=free_port(), fleet=fleet)


@pytest.mark.parametrize("restarts", ["<restarts/>", ""])
def test_clients_of_a_member_that_waits_for_its_turn_are_served_and_end_in_their_time(tmp_path, restarts):
    """Guards against a gateway that serves on until SIGKILL while it waits for its turn to restart."""
    with GatewayProcess(tmp_path, settings=settings(restarts)) as gateway:
        client, idle = gateway.connect_client(), gateway.connect_client()
        client.send(request_command("id1"))
        instance = gateway.instance.accept()
        instance.read_command()
        stopped = gateway.signal(signal.SIGTERM)
        time.sleep(LAST_COMMANDS + 0.1)
        instance.send(value_reply(b"value"))
        assert client.read_to_end() == b"$5\r\nvalue\r\n"
        idle.read_to_end()
        client.close()
        idle.close()
        assert gateway.wait_for_exit() == 0
        assert time.monotonic() - stopped < KILLED_AFTER


def test_an_open_stream_of_a_proxy_does_not_keep_the_process_until_it_is_killed(tmp_path):
    """Guards against a stop that waits for proxies beyond the time that PROTOCOL gives."""
    text = settings()
    port = int(text.partition('listen="127.0.0.1:')[2].partition('"')[0])
    with GatewayProcess(tmp_path, settings=text) as gateway:
        gateway.wait_for_event("started")
        proxy = h2.connection.H2Connection(h2.config.H2Configuration())
        proxy.initiate_connection()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", "/envoy.service.ext_proc.v3.ExternalProcessor/Process"),
            (":authority", "desk"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ]
        proxy.send_headers(1, headers)
        message = request_headers_message("/look/1", "r1").SerializeToString()
        proxy.send_data(1, b"\0" + len(message).to_bytes(4, "big") + message)
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(proxy.data_to_send())
            time.sleep(0.2)
            stopped = gateway.signal(signal.SIGTERM)
            connection.settimeout(STEP_TIMEOUT)
            while connection.recv(1 << 16):
                pass
            assert time.monotonic() - stopped < KILLED_AFTER
        assert gateway.wait_for_exit() == 0
