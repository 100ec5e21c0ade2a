"""Seeded random runs of the gateway in memory, against fake clients and instances that fail."""

from __future__ import annotations

from random import Random

import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError as ConnectionRefused
from twisted.python.failure import Failure

from linenbridge.decisions import CancelAttempt, Fail, Reject, SendAttempt
from linenbridge.policy import DecisionModule
from linenbridge.net import resp
from linenbridge.net.client_connection import Client
from tests.helpers import startup

from tests.net.bench import MALFORMED_REPLIES, GatewayHarness, MemoryTransport


@pytest.mark.parametrize("seed", range(8))
def test_open_requests_and_attempts_of_the_module_match_those_on_the_sockets(seed):
    """Run the real decision module against fake instances.

    The instances respond, send malformed responses, break connections, drain, and come back restarted.
    """
    rng, module = Random(seed), DecisionModule(startup(), seed, 0)
    harness, connections, starts, clients = GatewayHarness(80, module), [], [0] * 5, [None] * 20
    harness.update_endpoints(*((f"s-{number}", number + 1, "active", 0) for number in range(5)))
    for n in range(400):
        slot = rng.randrange(20)
        client = clients[slot] = (
            clients[slot] if clients[slot] and clients[slot].connected else harness.connect_client()
        )
        harness.send_request(client, f"r{n}")
        while harness.dial_count < len(harness.reactor.tcpClients):
            if rng.random() < 0.1:
                harness.next_connection_factory().clientConnectionFailed(None, Failure(ConnectionRefused()))
            else:
                connections.append(harness.connect_next())
        for connection in [
            connection
            for connection in connections
            if connection.connected and connection.protocol.attempt is not None
        ]:
            match rng.randrange(12):
                case 0:
                    connection.lose(ConnectionLost())
                case 1:
                    connection.protocol.dataReceived(rng.choice(MALFORMED_REPLIES))
                case 2 | 3 | 4 | 5:
                    report = rng.choice((b"$-1\r\n", b"$5\r\nrif=3\r\n", b"$5\r\nrif=?\r\n"))
                    connection.protocol.dataReceived(b"*3\r\n$1\r\nv\r\n$-1\r\n" + report)
                case 6:
                    connection.protocol.dataReceived(b"-BUSY\r\n")
        if rng.random() < 0.1:
            number = rng.randrange(5)
            starts[number] += rng.choice((0, 5))
            status = rng.choice(("active", "leaving", "left"))
            harness.update_endpoints((f"s-{number}", number + 1, status, starts[number]), is_full_list=False)
        if rng.random() < 0.3:
            client.lose()
        harness.advance(rng.choice((0, 0.01, 0.08)))
        assert set(module.requests) == set(harness.loop.open)
        attempted_instances = [
            open_attempt.pool.entry.instance for open_attempt in harness.instances.attempts.values()
        ]
        assert {name: attempted_instances.count(name) for name in module.fleet.index} == {
            name: module.fleet.in_flight[number] for name, number in module.fleet.index.items()
        }
    assert module.fleet.mean_external_load > 0.0
    assert ("failed",) not in harness.log.counts


@pytest.mark.parametrize("seed", range(25))
def test_random_failures_leave_no_request_answered_twice_lost_or_open(seed):
    rng, harness = Random(seed), GatewayHarness(descriptors=12)
    rows = [("s-1", 1, "active", 0), ("s-2", 2, "active", 0)]
    harness.update_endpoints(*rows)
    clients: list[MemoryTransport] = []
    connections: list[MemoryTransport] = []
    expected: dict[Client, int] = {}
    for n in range(300):
        clients = [transport for transport in clients if transport.connected]
        connections = [transport for transport in connections if transport.connected]
        open_rpcs = [rpc for rpc in harness.loop.open.values() if not rpc.ended]
        match rng.randrange(9):
            case 0 | 1:
                if len(clients) < 6:
                    clients.append(harness.connect_client())
                transport = rng.choice(clients)
                if transport.connected:
                    expected[transport.protocol] = expected.get(transport.protocol, 0) + 1
                    harness.send_request(transport, f"r{n}")
            case 2 | 3 if open_rpcs:
                harness.decide(
                    SendAttempt(rng.choice(open_rpcs).id, rng.choice(("s-1", "s-2")), rng.randint(1, 400_000))
                )
            case 4 if open_rpcs:
                rpc = rng.choice(open_rpcs).id
                harness.decide(rng.choice((Fail(rpc), Reject(rpc, 0), CancelAttempt(rpc, 0))))
            case 5 if harness.dial_count < len(harness.reactor.tcpClients):
                if rng.random() < 0.7:
                    connections.append(harness.connect_next())
                else:
                    harness.next_connection_factory().clientConnectionFailed(
                        None, Failure(ConnectionRefused())
                    )
            case 6 if connections:
                transport = rng.choice(connections)
                if transport.protocol.attempt is not None:
                    response = b"*3\r\n$1\r\n1\r\n$-1\r\n$-1\r\n"
                    responses = (response, response + response, b"-ERR failed\r\n", b"-BUSY\r\n", b"?")
                    transport.protocol.dataReceived(rng.choice(responses))
            case 7 if connections or clients:
                rng.choice(connections + clients).lose()
            case 8:
                harness.update_endpoints(*rng.sample(rows, 2)[: rng.randint(1, 2)])
        harness.advance(rng.choice((0, 0, 0.01, 0.3)))
        open_attempts = harness.instances.attempts.values()
        assert sum(rpc.in_flight for rpc in harness.loop.open.values()) == len(open_attempts)
        assert all(rpc.in_flight or not rpc.ended for rpc in harness.loop.open.values())
        assert all(
            (open_attempt.connection is None) == (open_attempt in open_attempt.pool.waiting)
            for open_attempt in open_attempts
        )
        for transport in clients:
            if transport.connected:
                responses = transport.value().count(b"\r\n") - transport.value().count(b"$1\r\n")
                assert responses + len(transport.protocol.pending) == expected.get(transport.protocol, 0)
    for rpc in [rpc.id for rpc in harness.loop.open.values() if not rpc.ended]:
        harness.decide(Fail(rpc))
    for transport in clients + connections:
        transport.lose()
    while harness.dial_count < len(harness.reactor.tcpClients):
        harness.next_connection_factory().clientConnectionFailed(None, Failure(ConnectionRefused()))
    harness.advance(1)
    counts = harness.log.counts
    totals = {
        kind: sum(number for key, number in counts.items() if key[0] == kind)
        for kind in ("accepted", "answered", "client_disconnected")
    }
    finished = sum(call[0] == "on_attempt_finished" for call in harness.module.inputs)
    assert totals["accepted"] == totals["answered"] + totals["client_disconnected"]
    assert harness.loop.unanswered == 0
    assert finished == sum(number for key, number in counts.items() if key[0] == "attempted")
    assert not harness.loop.open
    assert not harness.instances.attempts
    assert harness.instances.descriptors.open == harness.clients.descriptors.open == 0


@pytest.mark.parametrize("time_left", [0, 1, 11, 12])
def test_an_rpc_with_too_little_time_left_is_rejected_at_once_and_not_sent(time_left):
    harness = GatewayHarness(80, DecisionModule(startup(), 1, 0))
    harness.update_endpoints(("s-1", 1, "active", 0))
    client = harness.connect_client()
    command = [b"SVC.QUERY", b"key", b"id1", b"c=look,d=%d" % time_left]
    client.protocol.dataReceived(resp.command(command))
    harness.advance()
    assert client.take_output().startswith(b"-BUSY")
    assert not harness.loop.open
    assert not harness.reactor.tcpClients
