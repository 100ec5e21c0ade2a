"""Tests of the gRPC server against floods, incomplete messages and peers that do not read.

Each such peer may lose its own connection, and must not affect the requests of other connections.
"""

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
from tests.peer_script import (
    ADDRESSES,
    LIMITS,
    ProcessorHarness,
    MemoryTransport,
    request_headers_message,
    seeded_random,
)

SERVING = wire.HealthCheckResponse.SERVING


def request_succeeds(_harness: ProcessorHarness, peer, request: str = "well") -> bool:
    """Send a request and its response; return whether it got an endpoint and both replies."""
    stream = peer.send_request(request=request)
    if stream.endpoint is None:
        return False
    peer.report(stream, 200)
    return len(stream.replies) == 2


def test_more_streams_than_allowed_end_only_that_connection():
    harness = ProcessorHarness()
    good, bad = harness.connect(), harness.connect()
    for _ in range(LIMITS.max_streams):
        bad.open()
    bad.deliver()
    assert not bad.goaways
    assert request_succeeds(harness, good)
    for number in range(2 * LIMITS.max_streams + 1, 20_000, 2):
        head = HeadersFrame(number)
        head.data = Encoder().encode(
            [(":method", "POST"), (":scheme", "http"), (":path", "/"), (":authority", "x")]
        )
        head.flags.add("END_HEADERS")
        if not bad.transport.disconnecting:
            bad.transport.protocol.dataReceived(head.serialize())
    harness.advance()
    assert bad.transport.disconnecting
    assert len(harness.server.open) == 1
    assert request_succeeds(harness, good, "after")
    assert harness.is_idle()
    assert not harness.server.awaiting_first_message


def test_streams_without_a_complete_first_message_end_with_deadline_exceeded():
    harness = ProcessorHarness()
    peer = harness.connect()
    silent, half = [peer.open() for _ in range(50)], peer.open()
    peer.h2.send_data(half.number, b"\0\0\0")
    peer.deliver()
    harness.advance(2.6)
    peer.read()
    assert {stream.status for stream in [*silent, half]} == {str(http2.DEADLINE_EXCEEDED)}
    assert not harness.server.awaiting_first_message
    assert request_succeeds(harness, peer)


def test_a_stream_half_closed_without_a_message_ends_ok_and_one_within_a_message_ends_invalid():
    harness = ProcessorHarness()
    peer = harness.connect()
    without_message, within_message = peer.open(), peer.open()
    peer.h2.end_stream(without_message.number)
    peer.h2.send_data(within_message.number, b"\0\0\0\0\x09abc", end_stream=True)
    peer.deliver()
    assert without_message.status == "0"
    assert within_message.status == str(http2.INVALID_ARGUMENT)


def test_a_half_closed_stream_still_receives_its_decision():
    harness = ProcessorHarness(instances=0)
    peer = harness.connect()
    stream = peer.send_request()
    peer.h2.end_stream(stream.number)
    peer.deliver()
    harness.update_endpoints(ADDRESSES)
    peer.read()
    assert stream.endpoint is not None
    assert stream.status == "0"


def test_rapid_resets_end_the_connection():
    harness = ProcessorHarness()
    good, bad = harness.connect(), harness.connect()
    for n in range(FREE_RESETS + 50):
        stream = bad.open()
        bad.h2.reset_stream(stream.number)
        if n % 40 == 0:
            bad.deliver()
        if bad.transport.disconnecting:
            break
    bad.deliver()
    assert bad.transport.disconnecting
    assert request_succeeds(harness, good)
    assert harness.is_idle()


def test_resets_of_three_streams_in_four_stay_within_the_budget():
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
    harness = ProcessorHarness()
    good, bad = harness.connect(), harness.connect()
    most = max(most for _, most in CONTROL_FRAME_RATES.values())
    data = frame.serialize() * 1_000
    for _ in range(most // 1_000 + 2):
        bad.transport.protocol.dataReceived(data)
        bad.transport.clear()
    assert bad.transport.disconnecting
    assert request_succeeds(harness, good)


def test_headers_that_decompress_too_large_end_the_connection():
    """A small frame that references one large header many times, and CONTINUATION frames without an end."""
    harness = ProcessorHarness()
    good, bad = harness.connect(), harness.connect()
    number = bad.h2.get_next_available_stream_id()
    head = HeadersFrame(number)
    head.data = bad.h2.encoder.encode([(b"x-big", b"a" * 3_000)]) + b"\xbe" * 10_000
    head.flags.add("END_HEADERS")
    bad.transport.protocol.dataReceived(bad.h2.data_to_send() + head.serialize())
    assert bad.transport.disconnecting
    assert request_succeeds(harness, good)
    other = harness.connect()
    head = HeadersFrame(1)
    head.data = b"\x82"
    more = ContinuationFrame(1)
    more.data = b"\x00\x01a\x01b" * 100
    other.transport.protocol.dataReceived(head.serialize() + more.serialize() * 500)
    assert other.transport.disconnecting
    assert request_succeeds(harness, good, "again")


def test_a_tiny_flow_control_window_delays_only_its_own_stream():
    harness = ProcessorHarness()
    peer, slow = harness.connect(), harness.connect()
    slow.h2.update_settings({4: 3})
    slow.deliver()
    stream = slow.send_request()
    assert stream.endpoint is None
    assert request_succeeds(harness, peer)
    for _ in range(400):
        slow.h2.increment_flow_control_window(1, stream.number)
    slow.deliver()
    assert stream.endpoint is not None


def test_a_peer_that_reads_nothing_is_aborted_after_the_unsent_timeout():
    harness = ProcessorHarness()
    good, bad = harness.connect(), harness.connect()
    bad.transport.blocked = True
    bad.transport.protocol.pauseProducing()
    bad.send_request(request="stuck")
    for _ in range(14):
        harness.advance(0.5)
    assert bad.transport.aborted
    assert request_succeeds(harness, good)
    harness.advance(2.0)
    assert harness.is_idle()


def test_more_unsent_bytes_than_allowed_end_the_connection():
    budget = ConnectionBudget(ConnectionLimits(10, 1, 1, 1_000, 1, 1, 1), 0)
    assert budget.on_written(1_000, 0) is None
    assert budget.on_written(1_001, 0) == "the peer leaves too much unread"


def test_unknown_path_compression_no_grpc_and_no_http2_are_each_refused():
    harness = ProcessorHarness()
    peer = harness.connect()
    unknown_path = peer.open(b"/nowhere")
    compressed = peer.open()
    peer.h2.send_data(compressed.number, b"\1\0\0\0\1x")
    number = peer.h2.get_next_available_stream_id()
    peer.h2.send_headers(
        number, [(b":method", b"GET"), (b":scheme", b"http"), (b":path", b"/"), (b":authority", b"x")], True
    )
    not_grpc = peer.streams[number] = type(unknown_path)(number)
    peer.deliver()
    assert unknown_path.status == compressed.status == str(http2.UNIMPLEMENTED)
    assert not_grpc.status == "http 415"
    not_http2 = harness.connect()
    not_http2.transport.protocol.dataReceived(b"GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n")
    assert not_http2.transport.disconnecting
    assert request_succeeds(harness, peer)


def test_a_connection_without_a_complete_preface_is_closed_after_the_timeout():
    harness = ProcessorHarness()
    good, transport = harness.connect(), MemoryTransport()
    transport.protocol = harness.server.buildProtocol(None)
    transport.protocol.makeConnection(transport)
    transport.protocol.dataReceived(b"PRI * HT")
    harness.advance(1.0)
    assert not transport.disconnecting
    for _ in range(4):
        harness.advance(0.5)
    assert transport.disconnecting
    assert request_succeeds(harness, good)


def test_corrupted_frames_end_at_most_their_own_connection():
    for seed in range(60):
        chance, harness = seeded_random(seed), ProcessorHarness()
        good, bad = harness.connect(), harness.connect()
        stream = bad.open()
        message = request_headers_message("/look/1", "r1").SerializeToString()
        bad.h2.send_data(stream.number, b"\0" + len(message).to_bytes(4, "big") + message)
        data = bytearray(bad.h2.data_to_send())
        for _ in range(chance.randint(1, 6)):
            data[chance.randrange(len(data))] = chance.randrange(256)
        for start in range(0, len(data), 50):
            if not bad.transport.disconnecting:
                bad.transport.protocol.dataReceived(bytes(data[start : start + 50]))
        harness.advance()
        assert request_succeeds(harness, good), seed
        bad.close()
        harness.advance(3.0)
        assert harness.is_idle(), seed
        assert "failed" not in harness.log_text(), seed


def test_connections_beyond_the_limit_are_refused():
    harness = ProcessorHarness(connections=2)
    harness.connect(), harness.connect()
    assert harness.server.buildProtocol(None) is None


def test_an_idle_connection_is_closed_and_one_with_an_open_stream_is_kept():
    harness = ProcessorHarness(
        limits=ConnectionLimits(100, 65536, 16384, 1 << 18, 2_000_000, 5_000_000, 3_000_000)
    )
    idle, busy = harness.connect(), harness.connect()
    stream = busy.send_request()
    harness.advance(1.0)
    for _ in range(8):
        harness.advance(0.5)
    assert idle.transport.disconnecting
    assert not busy.transport.disconnecting
    assert stream.status is None


def test_health_is_returned_by_check_and_sent_by_watch_on_each_change():
    harness = ProcessorHarness()
    peer = harness.connect()

    def send_check(stream, service: str = "") -> None:
        peer.send_message(stream, wire.HealthCheckRequest(service=service).SerializeToString())

    checked, watched = peer.open(b"/grpc.health.v1.Health/Check"), peer.open(b"/grpc.health.v1.Health/Watch")
    unknown = peer.open(b"/grpc.health.v1.Health/Check")
    for stream, service in ((checked, ""), (watched, ""), (unknown, "else")):
        send_check(stream, service)
    harness.health.set_serving(serving=True)
    harness.server.flush()
    peer.read()
    assert checked.status == "0"
    assert unknown.status == str(http2.NOT_FOUND)
    assert len(watched.replies) == 2
    assert harness.health.watchers
    peer.close()
    assert not harness.health.watchers
