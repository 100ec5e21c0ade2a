"""Floods, half-spoken streams, peers that do not read: each costs its own connection, nobody else's RPC."""

from __future__ import annotations

import pytest
from hpack import Encoder
from hyperframe.frame import ContinuationFrame, HeadersFrame, PingFrame, SettingsFrame, WindowUpdateFrame

from linenbridge.processor import http2
from linenbridge.processor import wire_pb2 as wire
from linenbridge.processor.connection_limits import (
    CONTROL_FRAME_RATES,
    FREE_RESETS,
    ConnectionBudget,
    ConnectionLimits,
)
from tests.peer_script import ADDRESSES, LIMITS, Bench, Pipe, asking, seeded

SERVING = wire.HealthCheckResponse.SERVING


def well(bench: Bench, peer, request: str = "well") -> bool:
    """Another proxy's request is handed out and reported as ever."""
    stream = peer.ask(request=request)
    if stream.endpoint is None:
        return False
    peer.report(stream, 200)
    return len(stream.answers) == 2


def test_more_streams_than_allowed_end_that_connection_alone():
    bench = Bench()
    good, bad = bench.peer(), bench.peer()
    for _ in range(LIMITS.max_streams):
        bad.open()
    bad.deliver()
    assert not bad.goaways
    assert well(bench, good)
    for number in range(2 * LIMITS.max_streams + 1, 20_000, 2):
        head = HeadersFrame(number)
        head.data = Encoder().encode(
            [(":method", "POST"), (":scheme", "http"), (":path", "/"), (":authority", "x")]
        )
        head.flags.add("END_HEADERS")
        if not bad.pipe.disconnecting:
            bad.pipe.protocol.dataReceived(head.serialize())
    bench.turn()
    assert bad.pipe.disconnecting
    assert len(bench.server.open) == 1
    assert well(bench, good, "after")
    assert bench.empty()
    assert not bench.server.silent


def test_streams_that_say_nothing_end_in_time():
    bench = Bench()
    peer = bench.peer()
    silent, half = [peer.open() for _ in range(50)], peer.open()
    peer.h2.send_data(half.number, b"\0\0\0")
    peer.deliver()
    bench.turn(2.6)
    peer.read()
    assert {stream.status for stream in [*silent, half]} == {str(http2.DEADLINE_EXCEEDED)}
    assert not bench.server.silent
    assert well(bench, peer)


def test_a_stream_half_closed_without_a_word_ends_well_and_one_within_a_message_does_not():
    bench = Bench()
    peer = bench.peer()
    quiet, cut = peer.open(), peer.open()
    peer.h2.end_stream(quiet.number)
    peer.h2.send_data(cut.number, b"\0\0\0\0\x09abc", end_stream=True)
    peer.deliver()
    assert quiet.status == "0"
    assert cut.status == str(http2.INVALID_ARGUMENT)


def test_a_half_closed_stream_still_gets_its_decision():
    bench = Bench(instances=0)
    peer = bench.peer()
    stream = peer.ask()
    peer.h2.end_stream(stream.number)
    peer.deliver()
    bench.list(ADDRESSES)
    peer.read()
    assert stream.endpoint is not None
    assert stream.status == "0"


def test_rapid_resets_end_the_connection():
    bench = Bench()
    good, bad = bench.peer(), bench.peer()
    for n in range(FREE_RESETS + 50):
        stream = bad.open()
        bad.h2.reset_stream(stream.number)
        if n % 40 == 0:
            bad.deliver()
        if bad.pipe.disconnecting:
            break
    bad.deliver()
    assert bad.pipe.disconnecting
    assert well(bench, good)
    assert bench.empty()


def test_a_proxy_whose_clients_often_leave_is_no_flood():
    budget = ConnectionBudget(LIMITS, 0)
    for n in range(5_000):
        budget.on_stream_opened()
        if n % 4:
            assert budget.on_stream_reset(0) is None
        else:
            budget.on_stream_ended(0)


@pytest.mark.parametrize(
    "frame",
    [PingFrame(0, opaque_data=b"12345678"), SettingsFrame(0), WindowUpdateFrame(0, window_increment=1)],
)
def test_floods_of_control_frames_end_the_connection(frame):
    bench = Bench()
    good, bad = bench.peer(), bench.peer()
    most = max(most for _, most in CONTROL_FRAME_RATES.values())
    data = frame.serialize() * 1_000
    for _ in range(most // 1_000 + 2):
        bad.pipe.protocol.dataReceived(data)
        bad.pipe.clear()
    assert bad.pipe.disconnecting
    assert well(bench, good)


def test_header_bombs_end_the_connection():
    """One small frame that refers again and again to one large header; and continuations without an end."""
    bench = Bench()
    good, bad = bench.peer(), bench.peer()
    number = bad.h2.get_next_available_stream_id()
    head = HeadersFrame(number)
    head.data = bad.h2.encoder.encode([(b"x-big", b"a" * 3_000)]) + b"\xbe" * 10_000
    head.flags.add("END_HEADERS")
    bad.pipe.protocol.dataReceived(bad.h2.data_to_send() + head.serialize())
    assert bad.pipe.disconnecting
    assert well(bench, good)
    other = bench.peer()
    head = HeadersFrame(1)
    head.data = b"\x82"
    more = ContinuationFrame(1)
    more.data = b"\x00\x01a\x01b" * 100
    other.pipe.protocol.dataReceived(head.serialize() + more.serialize() * 500)
    assert other.pipe.disconnecting
    assert well(bench, good, "again")


def test_a_tiny_window_delays_its_own_stream_alone():
    bench = Bench()
    peer, slow = bench.peer(), bench.peer()
    slow.h2.update_settings({4: 3})
    slow.deliver()
    stream = slow.ask()
    assert stream.endpoint is None
    assert well(bench, peer)
    for _ in range(400):
        slow.h2.increment_flow_control_window(1, stream.number)
    slow.deliver()
    assert stream.endpoint is not None


def test_a_peer_that_reads_nothing_is_left_after_its_time():
    bench = Bench()
    good, bad = bench.peer(), bench.peer()
    bad.pipe.stuck = True
    bad.pipe.protocol.pauseProducing()
    bad.ask(request="stuck")
    for _ in range(14):
        bench.turn(0.5)
    assert bad.pipe.aborted
    assert well(bench, good)
    bench.turn(2.0)
    assert bench.empty()


def test_a_backlog_over_its_bound_ends_the_connection():
    budget = ConnectionBudget(ConnectionLimits(10, 1, 1, 1_000, 1, 1, 1), 0)
    assert budget.on_written(1_000, 0) is None
    assert budget.on_written(1_001, 0) == "the peer leaves too much unread"


def test_what_is_no_http2_no_grpc_or_compressed_gets_its_answer():
    bench = Bench()
    peer = bench.peer()
    other = peer.open(b"/nowhere")
    packed = peer.open()
    peer.h2.send_data(packed.number, b"\1\0\0\0\1x")
    number = peer.h2.get_next_available_stream_id()
    peer.h2.send_headers(
        number, [(b":method", b"GET"), (b":scheme", b"http"), (b":path", b"/"), (b":authority", b"x")], True
    )
    plain = peer.streams[number] = type(other)(number)
    peer.deliver()
    assert other.status == packed.status == str(http2.UNIMPLEMENTED)
    assert plain.status == "http 415"
    noise = bench.peer()
    noise.pipe.protocol.dataReceived(b"GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n")
    assert noise.pipe.disconnecting
    assert well(bench, peer)


def test_a_connection_that_never_begins_is_closed_in_time():
    bench = Bench()
    good, pipe = bench.peer(), Pipe()
    pipe.protocol = bench.server.buildProtocol(None)
    pipe.protocol.makeConnection(pipe)
    pipe.protocol.dataReceived(b"PRI * HT")
    bench.turn(1.0)
    assert not pipe.disconnecting
    for _ in range(4):
        bench.turn(0.5)
    assert pipe.disconnecting
    assert well(bench, good)


def test_noise_in_any_frame_ends_no_more_than_its_connection():
    for seed in range(60):
        chance, bench = seeded(seed), Bench()
        good, bad = bench.peer(), bench.peer()
        stream = bad.open()
        message = asking("/look/1", "r1").SerializeToString()
        bad.h2.send_data(stream.number, b"\0" + len(message).to_bytes(4, "big") + message)
        data = bytearray(bad.h2.data_to_send())
        for _ in range(chance.randint(1, 6)):
            data[chance.randrange(len(data))] = chance.randrange(256)
        for start in range(0, len(data), 50):
            if not bad.pipe.disconnecting:
                bad.pipe.protocol.dataReceived(bytes(data[start : start + 50]))
        bench.turn()
        assert well(bench, good), seed
        bad.close()
        bench.turn(3.0)
        assert bench.empty(), seed
        assert "failed" not in bench.events(), seed


def test_connections_beyond_the_bound_are_turned_away():
    bench = Bench(connections=2)
    bench.peer(), bench.peer()
    assert bench.server.buildProtocol(None) is None


def test_an_idle_connection_is_closed_and_one_with_a_stream_is_not():
    bench = Bench(limits=ConnectionLimits(100, 65536, 16384, 1 << 18, 2_000_000, 5_000_000, 3_000_000))
    idle, busy = bench.peer(), bench.peer()
    stream = busy.ask()
    bench.turn(1.0)
    for _ in range(8):
        bench.turn(0.5)
    assert idle.pipe.disconnecting
    assert not busy.pipe.disconnecting
    assert stream.status is None


def test_health_is_told_and_watched():
    bench = Bench()
    peer = bench.peer()

    def question(stream, service: str = "") -> None:
        peer.say(stream, wire.HealthCheckRequest(service=service).SerializeToString())

    asked, watched = peer.open(b"/grpc.health.v1.Health/Check"), peer.open(b"/grpc.health.v1.Health/Watch")
    unknown = peer.open(b"/grpc.health.v1.Health/Check")
    for stream, service in ((asked, ""), (watched, ""), (unknown, "else")):
        question(stream, service)
    bench.health.set_serving(serving=True)
    bench.server.flush()
    peer.read()
    assert asked.status == "0"
    assert unknown.status == str(http2.NOT_FOUND)
    assert len(watched.answers) == 2
    assert bench.health.watchers
    peer.close()
    assert not bench.health.watchers
