"""First attempts and retries, with the real decision module, a scripted proxy and a controlled clock."""

from __future__ import annotations

from linenbridge.processor import wire_pb2 as wire
from tests.peer_script import ProcessorHarness
from tests.processor.helpers import READY


def test_a_successful_request_is_dispatched_reported_and_removed():
    harness = ProcessorHarness()
    peer = harness.connect()
    stream = peer.send_request()
    assert stream.endpoint in READY
    assert int(stream.header("x-envoy-upstream-rq-timeout-ms")) in range(850, 901)
    assert stream.header("x-linenbridge-use-within-ms") == "100"
    assert stream.replies[0].mode_override.response_header_mode == wire.ProcessingMode.SEND
    assert stream.replies[0].dynamic_metadata["envoy.lb"]["x-gateway-destination-endpoint"] == stream.endpoint
    peer.report(stream, 200, x_linenbridge_load="inflight=3")
    assert len(stream.replies) == 2
    assert stream.replies[1].HasField("response_headers")
    assert harness.is_idle()
    assert harness.counts("answered", "look", "ok") == 1


def test_a_failed_attempt_gets_the_retry_header_and_the_retry_another_instance():
    harness = ProcessorHarness()
    peer = harness.connect()
    first = peer.send_request()
    peer.report(first, 500)
    assert first.header("x-linenbridge-again") == "1"
    second = peer.send_request(attempt=2)
    assert second.endpoint in READY - {first.endpoint}
    peer.report(second, 200)
    assert harness.is_idle()
    assert harness.counts("accepted", "look") == 1


def test_a_failed_non_idempotent_request_is_not_dispatched_again():
    harness = ProcessorHarness()
    peer = harness.connect()
    first = peer.send_request("/charge/1")
    peer.report(first, 500)
    assert first.header("x-linenbridge-outcome") == "aborted"
    assert first.header("x-linenbridge-again") is None
    for attempt in (2, 1, 3):
        again = peer.send_request("/charge/1", attempt=attempt)
        assert again.immediate_status == 502
        assert again.endpoint is None
    assert harness.is_idle()


def test_a_non_idempotent_request_proven_not_executed_is_dispatched_again():
    harness = ProcessorHarness()
    peer = harness.connect()
    first = peer.send_request("/charge/1")
    peer.report(first, 503, x_never_ran="1")
    assert first.header("x-linenbridge-again") == "1"
    second = peer.send_request("/charge/1", attempt=2)
    assert second.endpoint in READY
    peer.report(second, 503, details="upstream_reset_before_response_started{connection_failure}")
    third = peer.send_request("/charge/1", attempt=3)
    assert third.endpoint in READY
    peer.report(third, 200)
    assert harness.is_idle()
