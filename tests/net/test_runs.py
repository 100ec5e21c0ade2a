"""Seeded runs of the gateway in memory before stand-ins that break."""

from __future__ import annotations

from random import Random

import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from linenbridge.decisions import CancelAttempt, Fail, Reject, SendAttempt
from linenbridge.policy import DecisionModule
from linenbridge.net import resp
from linenbridge.net.client_connection import Client
from tests.helpers import startup

from tests.net.bench import MALFORMED_REPLIES, GatewayHarness, MemoryTransport


@pytest.mark.parametrize("seed", range(8))
def test_the_modules_picture_of_what_is_open_and_out_is_what_is_on_the_sockets(seed):
    """The module itself, before stand-ins that answer, spoil, break, drain and come back started anew."""
    dice, module = Random(seed), DecisionModule(startup(), seed, 0)
    harness, lines, starts, wires = GatewayHarness(80, module), [], [0] * 5, [None] * 20
    harness.update_endpoints(*((f"s-{i}", i + 1, "active", 0) for i in range(5)))
    for n in range(400):
        at = dice.randrange(20)
        wire = wires[at] = wires[at] if wires[at] and wires[at].connected else harness.connect_client()
        harness.send_request(wire, f"r{n}")
        while harness.dial_count < len(harness.reactor.tcpClients):
            if dice.random() < 0.1:
                harness.next_connection_factory().clientConnectionFailed(
                    None, Failure(ConnectionRefusedError())
                )
            else:
                lines.append(harness.connect_next())
        for line in [line for line in lines if line.connected and line.protocol.attempt is not None]:
            match dice.randrange(12):
                case 0:
                    line.lose(ConnectionLost())
                case 1:
                    line.protocol.dataReceived(dice.choice(MALFORMED_REPLIES))
                case 2 | 3 | 4 | 5:
                    report = dice.choice((b"$-1\r\n", b"$5\r\nrif=3\r\n", b"$5\r\nrif=?\r\n"))
                    line.protocol.dataReceived(b"*3\r\n$1\r\nv\r\n$-1\r\n" + report)
                case 6:
                    line.protocol.dataReceived(b"-BUSY\r\n")
        if dice.random() < 0.1:
            i = dice.randrange(5)
            starts[i] += dice.choice((0, 5))
            state = dice.choice(("active", "leaving", "left"))
            harness.update_endpoints((f"s-{i}", i + 1, state, starts[i]), is_full_list=False)
        if dice.random() < 0.3:
            wire.lose()
        harness.advance(dice.choice((0, 0.01, 0.08)))
        assert set(module.requests) == set(harness.loop.open)
        out = [pick.pool.entry.instance for pick in harness.instances.attempts.values()]
        assert {name: out.count(name) for name in module.fleet.index} == {
            name: module.fleet.in_flight[i] for name, i in module.fleet.index.items()
        }
    assert module.fleet.mean_external_load > 0.0
    assert ("failed",) not in harness.log.counts


@pytest.mark.parametrize("seed", range(25))
def test_whatever_breaks_nothing_is_answered_twice_lost_or_left_open(seed):
    dice, harness = Random(seed), GatewayHarness(descriptors=12)
    rows = [("s-1", 1, "active", 0), ("s-2", 2, "active", 0)]
    harness.update_endpoints(*rows)
    clients: list[MemoryTransport] = []
    lines: list[MemoryTransport] = []
    owed: dict[Client, int] = {}
    for n in range(300):
        clients = [wire for wire in clients if wire.connected]
        lines = [wire for wire in lines if wire.connected]
        open_rpcs = [rpc for rpc in harness.loop.open.values() if not rpc.ended]
        match dice.randrange(9):
            case 0 | 1:
                if len(clients) < 6:
                    clients.append(harness.connect_client())
                wire = dice.choice(clients)
                if wire.connected:
                    owed[wire.protocol] = owed.get(wire.protocol, 0) + 1
                    harness.send_request(wire, f"r{n}")
            case 2 | 3 if open_rpcs:
                harness.decide(
                    SendAttempt(
                        dice.choice(open_rpcs).id, dice.choice(("s-1", "s-2")), dice.randint(1, 400_000)
                    )
                )
            case 4 if open_rpcs:
                rpc = dice.choice(open_rpcs).id
                harness.decide(dice.choice((Fail(rpc), Reject(rpc, 0), CancelAttempt(rpc, 0))))
            case 5 if harness.dial_count < len(harness.reactor.tcpClients):
                if dice.random() < 0.7:
                    lines.append(harness.connect_next())
                else:
                    harness.next_connection_factory().clientConnectionFailed(
                        None, Failure(ConnectionRefusedError())
                    )
            case 6 if lines:
                wire = dice.choice(lines)
                if wire.protocol.attempt is not None:
                    good = b"*3\r\n$1\r\n1\r\n$-1\r\n$-1\r\n"
                    answers = (good, good + good, b"-ERR failed\r\n", b"-BUSY\r\n", b"?")
                    wire.protocol.dataReceived(dice.choice(answers))
            case 7 if lines or clients:
                dice.choice(lines + clients).lose()
            case 8:
                harness.update_endpoints(*dice.sample(rows, 2)[: dice.randint(1, 2)])
        harness.advance(dice.choice((0, 0, 0.01, 0.3)))
        picks = harness.instances.attempts.values()
        assert sum(rpc.in_flight for rpc in harness.loop.open.values()) == len(picks)
        assert all(rpc.in_flight or not rpc.ended for rpc in harness.loop.open.values())
        assert all((pick.connection is None) == (pick in pick.pool.waiting) for pick in picks)
        for wire in clients:
            if wire.connected:
                answers = wire.value().count(b"\r\n") - wire.value().count(b"$1\r\n")
                assert answers + len(wire.protocol.pending) == owed.get(wire.protocol, 0)
    for rpc in [rpc.id for rpc in harness.loop.open.values() if not rpc.ended]:
        harness.decide(Fail(rpc))
    for wire in clients + lines:
        wire.lose()
    while harness.dial_count < len(harness.reactor.tcpClients):
        harness.next_connection_factory().clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    harness.advance(1)
    counts = harness.log.counts
    total = {
        kind: sum(c for names, c in counts.items() if names[0] == kind)
        for kind in ("accepted", "answered", "client_disconnected")
    }
    ends = sum(told[0] == "on_attempt_finished" for told in harness.module.inputs)
    assert total["accepted"] == total["answered"] + total["client_disconnected"]
    assert harness.loop.unanswered == 0
    assert ends == sum(c for names, c in counts.items() if names[0] == "attempted")
    assert not harness.loop.open
    assert not harness.instances.attempts
    assert harness.instances.descriptors.open == harness.clients.descriptors.open == 0


@pytest.mark.parametrize("left", [0, 1, 11, 12])
def test_an_rpc_taken_with_hardly_any_time_left_is_answered_at_once_and_sent_to_nobody(left):
    harness = GatewayHarness(80, DecisionModule(startup(), 1, 0))
    harness.update_endpoints(("s-1", 1, "active", 0))
    wire = harness.connect_client()
    command = [b"SVC.QUERY", b"key", b"id1", b"c=look,d=%d" % left]
    wire.protocol.dataReceived(resp.command(command))
    harness.advance()
    assert wire.take_output().startswith(b"-BUSY")
    assert not harness.loop.open
    assert not harness.reactor.tcpClients
