"""Out-of-order, invalid, unknown and observed messages: an error ends only the stream it occurs on."""

from __future__ import annotations

import pytest

from linenbridge.processor import http2
from linenbridge.processor import wire_pb2 as wire
from tests.peer_script import ADDRESSES, ProcessorHarness, request_headers_message
from tests.processor.helpers import READY, body, successful_response, trailers


@pytest.mark.parametrize(
    "messages",
    [
        [body()],
        [successful_response()],
        [request_headers_message("/look/1", "r1"), request_headers_message("/look/1", "r1")],
        [request_headers_message("/look/1", "r1"), trailers(), trailers()],
        [request_headers_message("/look/1", "r1"), successful_response(), successful_response()],
        [wire.ProcessingRequest()],
    ],
)
def test_an_out_of_order_message_ends_only_its_own_stream(messages):
    harness = ProcessorHarness()
    peer = harness.connect()
    good, bad = peer.send_request(request="good"), peer.open()
    for message in messages:
        if bad.status is None:
            peer.send_message(bad, message)
    assert bad.status == str(http2.FAILED_PRECONDITION)
    peer.report(good, 200)
    assert good.replies[-1].HasField("response_headers")
    assert not peer.goaways
    harness.advance(2.0)
    assert harness.is_idle()


@pytest.mark.parametrize(
    ("message", "status"),
    [
        (b"\xff\xff\xff", http2.INVALID_ARGUMENT),
        (request_headers_message("/look/1", "r1", "two").SerializeToString(), http2.INVALID_ARGUMENT),
        (request_headers_message("/look/1", "r1", "99999").SerializeToString(), http2.INVALID_ARGUMENT),
        (b"\x0a" * 70_000, http2.RESOURCE_EXHAUSTED),
    ],
)
def test_an_invalid_message_ends_its_stream_with_a_status_and_no_attempt(message, status):
    harness = ProcessorHarness()
    peer = harness.connect()
    stream = peer.open()
    peer.h2.send_data(stream.number, b"\0" + len(message).to_bytes(4, "big") + message[:9_000])
    peer.deliver()
    assert stream.status == str(status)
    assert not harness.counts("attempted", "look")


def test_a_message_with_unknown_fields_is_processed():
    peer = ProcessorHarness().connect()
    stream = peer.open()
    peer.send_message(
        stream, request_headers_message("/look/1", "r1").SerializeToString() + b"\xfa\x3f\x03abc"
    )
    assert stream.endpoint in READY


def test_an_observed_stream_gets_no_response_and_no_attempt():
    harness = ProcessorHarness()
    peer = harness.connect()
    stream = peer.open()
    message = request_headers_message("/look/1", "r1")
    message.observability_mode = True
    peer.send_message(stream, message)
    assert not stream.replies
    assert stream.status is None
    assert not harness.counts("accepted", "look")


def test_a_body_received_before_the_decision_gets_its_response_after_the_headers():
    """Without a ready instance the request headers wait for a decision, and the body is deferred."""
    harness = ProcessorHarness(instances=0)
    peer = harness.connect()
    stream = peer.send_request()
    peer.send_message(stream, body())
    assert not stream.replies
    harness.update_endpoints(ADDRESSES)
    peer.read()
    kinds = [answer.WhichOneof("response") for answer in stream.replies]
    assert kinds == ["request_headers", "request_body"]


def test_a_grpc_response_is_classified_by_its_trailers():
    harness = ProcessorHarness()
    peer = harness.connect()
    stream = peer.send_request(content_type="application/grpc")
    assert stream.replies[0].mode_override.response_trailer_mode == wire.ProcessingMode.SEND
    peer.report(stream, 200, content_type="application/grpc")
    assert not harness.counts("answered", "look", "ok")
    message = wire.ProcessingRequest()
    message.response_trailers.trailers.headers.add(key="grpc-status", value="14")
    peer.send_message(stream, message)
    assert harness.counts("ended", "look", "error") == 1
    assert harness.is_idle()
