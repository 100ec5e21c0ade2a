"""Ids that survive a restart, and the planned stop of the process."""

from __future__ import annotations

from linenbridge.processor import http2
from tests.peer_script import ProcessorHarness
from tests.processor.helpers import READY, store


def test_a_non_idempotent_request_dispatched_before_a_kill_is_rejected_after_restart(tmp_path):
    first = ProcessorHarness(store=store(tmp_path))
    given = first.connect().send_request("/charge/1", "r1")
    assert given.endpoint in READY  # The process is killed: the store is not closed by the processor.
    first.processor.ids.store.connection.close(True)
    second = ProcessorHarness(store=store(tmp_path))
    peer = second.connect()
    assert peer.send_request("/charge/1", "r1").immediate_status == 502
    assert peer.send_request("/charge/1", "r2").endpoint in READY
    assert peer.send_request("/look/1", "r1").endpoint in READY


def test_without_a_store_a_non_idempotent_retry_is_rejected_by_its_attempt_count():
    harness = ProcessorHarness()
    assert "store.none" in harness.log_text()
    assert harness.connect().send_request("/charge/1", attempt=2).immediate_status == 502
    assert harness.connect().send_request("/look/1", attempt=2).endpoint in READY


def test_the_gateway_continues_to_dispatch_after_its_store_fails(tmp_path):
    harness = ProcessorHarness(store=store(tmp_path))
    peer = harness.connect()
    harness.processor.ids.store.connection.close(True)
    assert peer.send_request("/charge/1").endpoint in READY
    assert not harness.processor.ids.store.is_open
    assert peer.send_request("/charge/2", "r2").endpoint in READY


def test_a_planned_stop_sends_goaway_and_lets_streams_end():
    harness = ProcessorHarness()
    peer, ended = harness.connect(), []
    stream = peer.send_request()
    harness.health.set_serving(serving=False)
    harness.server.drain(3.0, lambda: ended.append(1))
    harness.advance()
    peer.read()
    assert peer.goaways == [(1 << 31) - 1]
    harness.advance(0.2)
    peer.read()
    assert peer.goaways[-1] == stream.number
    assert not ended
    peer.report(stream, 200)
    assert stream.replies[-1].HasField("response_headers")
    peer.h2.end_stream(stream.number)
    peer.deliver()
    assert stream.status == "0"
    assert ended
    assert harness.is_idle()


def test_a_stream_that_opens_after_goaway_gets_unavailable():
    harness = ProcessorHarness()
    peer = harness.connect()
    open_stream = peer.send_request()
    harness.server.drain(3.0, lambda: None)
    harness.advance(0.05)
    late = peer.send_request(request="late")
    assert late.status == str(http2.UNAVAILABLE)
    assert open_stream.status is None
