"""Many commands at once: each connection's are handled in turns with those of all others."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from linenbridge.decisions import Reject, SendAttempt
from linenbridge.net import resp
from linenbridge.net.command_backlog import HELD_CHECK_INTERVAL
from linenbridge.policy.command_admission import COMMANDS_AT_ONCE, COMMANDS_PER_TURN, MAX_PENDING
from tests.net.bench import GatewayHarness, MemoryTransport
from tests.net.loopback import GatewayProcess, request_command

COMMANDS = 900
TURNS = 6


@pytest.fixture
def harness() -> GatewayHarness:
    return GatewayHarness()


def command(rpc_id: str) -> bytes:
    return resp.command([b"SVC.QUERY", b"key", rpc_id.encode(), b"c=look,d=900"])


def send_many(client: MemoryTransport, name: str, count: int = COMMANDS) -> None:
    """Send commands with the ids NAME.0, NAME.1 and so on, in one piece."""
    client.protocol.dataReceived(b"".join(command(f"{name}.{number}") for number in range(count)))


def requests(harness: GatewayHarness) -> list[str]:
    """Return the ids of the requests that were reported to the decision module, in order."""
    return [call[1] for call in harness.module.inputs if call[0] == "on_request"]


def reject_all(harness: GatewayHarness) -> None:
    """Reject all open requests."""
    harness.decide(*(Reject(rpc_id, 0) for rpc_id in list(harness.loop.open)))


def test_a_request_beside_a_flood_is_reported_in_the_same_turn_as_the_floods_first_commands(harness):
    """Guards against requests that wait until all commands of all other clients are handled."""
    flood, usual = [harness.connect_client() for _ in range(20)], harness.connect_client()
    for number, client in enumerate(flood):
        send_many(client, f"f{number}")
    usual.protocol.dataReceived(command("usual"))
    harness.loop.turn()
    assert requests(harness)[-1] == "usual"
    assert len(requests(harness)) <= len(flood) + COMMANDS_PER_TURN + 1


def test_connections_get_their_share_of_a_turn_one_after_the_other(harness):
    clients = [harness.connect_client() for _ in range(20)]
    for number, client in enumerate(clients):
        send_many(client, f"f{number}")
    for _ in range(TURNS):
        harness.loop.turn()
    assert len(requests(harness)) <= len(clients) + TURNS * COMMANDS_PER_TURN
    handled = [sum(rpc_id.startswith(f"f{number}.") for rpc_id in requests(harness)) for number in range(20)]
    assert min(handled) >= 1 + COMMANDS_AT_ONCE
    assert max(handled) <= min(handled) + 2 * COMMANDS_AT_ONCE


def test_all_commands_are_answered_in_order_and_few_of_a_connection_are_open_at_once(harness):
    client = harness.connect_client()
    send_many(client, "f")
    for _ in range(COMMANDS):
        harness.advance()
        assert len(harness.loop.open) <= MAX_PENDING
        if client.producerState == "producing":
            break
        reject_all(harness)
    assert requests(harness) == [f"f.{number}" for number in range(COMMANDS)]
    reject_all(harness)
    assert client.value() == b"-BUSY\r\n" * COMMANDS
    harness.send_request(client, "next")
    assert requests(harness)[-1] == "next"


def test_a_connection_whose_commands_are_left_is_not_read_from_until_they_are_handled(harness):
    client = harness.connect_client()
    send_many(client, "f", MAX_PENDING + 1)
    harness.advance()
    assert client.producerState == "paused"
    for _ in range(3):
        reject_all(harness)
        harness.advance()
    assert client.producerState == "producing"


def test_the_close_of_a_client_whose_commands_are_left_ends_its_requests_in_time(harness):
    """Guards against attempts for a client that has gone: a connection that is not read does not show it."""
    client = harness.connect_client()
    send_many(client, "f")
    harness.advance()
    client.has_peer_closed = lambda: True
    harness.advance(HELD_CHECK_INTERVAL)
    assert not harness.loop.open
    count = len(requests(harness))
    harness.advance(1.0)
    assert len(requests(harness)) == count


def test_malformed_bytes_behind_many_commands_end_the_connection_after_their_responses(harness):
    client = harness.connect_client()
    count = 2 * COMMANDS_AT_ONCE
    client.protocol.dataReceived(b"".join(command(f"f.{number}") for number in range(count)) + b"?\r\n")
    for _ in range(20):
        harness.advance()
        reject_all(harness)
    assert client.value().startswith(b"-BUSY\r\n" * count + b"-ERR ")
    assert client.sending_ended


def test_a_stop_answers_all_commands_that_were_read(harness):
    """Guards against commands that were read and end without a response when the gateway stops."""
    client = harness.connect_client()
    send_many(client, "f")
    harness.clients.stop(harness.reactor, lambda: None)
    harness.advance(5.0)
    assert client.value().count(b"\r\n") >= COMMANDS
    assert client.sending_ended


def test_an_ending_connection_ends_behind_its_last_command(harness):
    client = harness.connect_client()
    send_many(client, "f", MAX_PENDING + 5)
    client.protocol.end_with_response()
    for _ in range(10):
        harness.advance()
        reject_all(harness)
    assert client.value() == b"-BUSY\r\n" * (MAX_PENDING + 5)
    assert client.sending_ended


def test_responses_are_sent_as_they_come_while_more_commands_are_left(harness):
    client = harness.connect_client()
    send_many(client, "f")
    harness.update_endpoints(("s-1", 1, "active", 0))
    harness.decide(SendAttempt("f.0", "s-1", 900_000))
    reject_all(harness)
    assert client.value()


class Flood:
    """Bad clients that send many commands at once, read all responses, and send the next."""

    def __init__(self, port: int, connections: int) -> None:
        self.until = threading.Event()
        self.threads = [
            threading.Thread(target=self.play, args=(port, number)) for number in range(connections)
        ]
        for thread in self.threads:
            thread.start()

    def play(self, port: int, number: int) -> None:
        """Play one client."""
        batch = b"".join(request_command(f"b{number}.{count}", wait=450) for count in range(COMMANDS))
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.settimeout(10.0)
            while not self.until.is_set():
                connection.sendall(batch)
                lines = 0
                while lines < COMMANDS:
                    data = connection.recv(1 << 16)
                    if not data:
                        return
                    lines += data.count(b"-")

    def close(self) -> None:
        """End all clients."""
        self.until.set()
        for thread in self.threads:
            thread.join()


def test_usual_clients_get_their_answers_in_time_beside_clients_that_send_hundreds_of_commands(tmp_path):
    """Guards against final answers that come over half a second after their time."""
    with GatewayProcess(tmp_path, known=False) as gateway:
        usual = gateway.connect_client()
        flood = Flood(gateway.port, 20)
        try:
            slowest, until, count = 0.0, time.monotonic() + 4.0, 0
            while time.monotonic() < until:
                sent = time.monotonic()
                usual.send(request_command(f"usual.{count}", wait=450))
                assert usual.read_reply().startswith(b"-")  # no instance is listed
                slowest = max(slowest, time.monotonic() - sent)
                count += 1
                time.sleep(0.02)
        finally:
            flood.close()
    assert slowest < 0.45 + 0.5
