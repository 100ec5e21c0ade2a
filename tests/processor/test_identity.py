"""Assignment of attempts to requests by route and id, and late reports."""

from __future__ import annotations

from tests.peer_script import ProcessorHarness
from tests.processor.helpers import READY


def test_an_unrouted_request_gets_404_unless_the_settings_pass_it_on():
    rejected = ProcessorHarness().connect().send_request("/nowhere")
    assert rejected.immediate_status == 404
    harness = ProcessorHarness(pass_unrouted=True)
    peer = harness.connect()
    passed = peer.send_request("/nowhere")
    assert passed.endpoint is None
    assert passed.replies[0].HasField("request_headers")
    peer.report(passed, 200)
    assert len(passed.replies) == 2


def test_a_non_idempotent_request_without_an_id_is_not_dispatched():
    assert ProcessorHarness().connect().send_request("/charge/1", request="").immediate_status == 502
    assert ProcessorHarness().connect().send_request("/look/1", request="").endpoint in READY


def test_an_id_shared_by_two_proxies_is_dispatched_once_if_non_idempotent():
    harness = ProcessorHarness()
    first, second = harness.connect(), harness.connect()
    assert first.send_request("/charge/1", "same").endpoint in READY
    harness.proxy_peers[0] = type(harness.proxy_peer)("other", True, 3, False)
    assert second.send_request("/charge/1", "same").immediate_status == 502
    assert second.send_request("/charge/1", "same", attempt=2).immediate_status == 502
    assert first.send_request("/look/1", "shared").endpoint in READY
    assert second.send_request("/look/1", "shared").endpoint in READY


def test_a_late_report_of_a_superseded_attempt_does_not_end_the_request():
    harness = ProcessorHarness()
    peer = harness.connect()
    first = peer.send_request()
    second = peer.send_request(attempt=2)
    assert second.endpoint in READY
    peer.report(first, 200)
    assert harness.counts("answered", "look", "ok") == 0
    peer.report(second, 200)
    assert harness.counts("answered", "look", "ok") == 1
    assert harness.is_idle()
