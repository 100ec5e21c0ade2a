"""Deadlines of reservations, and changes of instances and rollouts between decision and outcome."""

from __future__ import annotations

from linenbridge.interface import InstanceState, RolloutPhase
from tests.helpers import MS, entry
from tests.peer_script import ADDRESSES, ProcessorHarness
from tests.processor.helpers import READY


def test_a_request_rejected_for_lack_of_instances_gets_503_with_retry_after():
    harness = ProcessorHarness(instances=0)
    peer = harness.connect()
    stream = peer.send_request(x_wait="200")
    harness.advance(0.25)
    peer.read()
    assert stream.immediate_status == 503
    assert stream.header("retry-after") == "1"
    assert stream.header("x-linenbridge-retry-after-ms") == "1000"
    assert harness.is_idle()


def test_an_unreported_attempt_blocks_repeats_and_does_not_affect_its_instance():
    harness = ProcessorHarness()
    peer = harness.connect()
    stream = peer.send_request("/charge/1")
    before = list(harness.module.fleet.consecutive_failures)
    harness.advance(1.0)
    peer.read()
    assert harness.is_idle()
    assert harness.module.fleet.consecutive_failures == before
    assert not any(harness.module.fleet.in_flight)
    assert peer.send_request("/charge/1", attempt=2).immediate_status == 502
    peer.report(stream, 200)
    assert stream.replies[-1].HasField("response_headers")


def test_an_attempt_reserved_for_a_retry_is_released_when_none_comes_in_time():
    harness = ProcessorHarness()
    peer = harness.connect()
    first = peer.send_request()
    peer.report(first, 500)
    assert first.header("x-linenbridge-again") == "1"
    harness.advance(0.2)
    assert harness.is_idle()
    assert harness.counts("ended", "look", "not_sent") == 1
    again = peer.send_request(attempt=2)
    assert again.endpoint in READY


def test_a_retry_avoids_its_reserved_instance_if_that_started_draining():
    harness = ProcessorHarness()
    peer = harness.connect()
    first = peer.send_request()
    peer.report(first, 500)
    instance = next(iter(harness.processor.ledger.by_id.values())).reserved().instance
    harness.update_endpoints(
        [(entry(instance, state=InstanceState.DRAINING), ("10.0.0.1", 7000 + instance))], is_full_list=False
    )
    second = peer.send_request(attempt=2)
    assert second.endpoint in READY - {f"10.0.0.1:{7000 + instance}"}


def test_every_reservation_must_be_used_within_100_milliseconds_of_its_decision():
    harness = ProcessorHarness()
    peer = harness.connect()
    for n in range(8):
        peer.send_request(request=f"r{n}")
    for found in harness.processor.ledger.by_id.values():
        assert found.reservations[-1].use_by - found.reservations[-1].decided_at <= 100 * MS


def test_reports_are_counted_after_a_rollout_stage_and_endpoint_list_change():
    harness = ProcessorHarness()
    peer = harness.connect()
    streams = [peer.send_request(request=f"r{n}") for n in range(8)]
    harness.update_rollout(2, 0, RolloutPhase.ON_TRIAL, 0.2)
    harness.update_endpoints([(entry(9, build=2), ("10.0.0.1", 7009))], is_full_list=True)
    for stream in streams:
        peer.report(stream, 200)
    assert harness.is_idle()
    assert harness.counts("answered", "look", "ok") == 8


def test_the_cap_of_a_build_on_trial_limits_dispatched_attempts():
    harness = ProcessorHarness(closed_stages=1)
    peer, trial, requests = harness.connect(), 0, 0
    harness.update_endpoints([*ADDRESSES, (entry(9, build=2), ("10.0.0.1", 7009))])
    harness.update_rollout(2, 0, RolloutPhase.ON_TRIAL, 0.2)
    for n in range(300):
        path = ("/look/1", "/charge/1")[n % 2]
        stream = peer.send_request(path, f"r{n}")
        requests += 1
        if stream.endpoint == "10.0.0.1:7009":
            trial += 1
            assert path == "/look/1"
        assert trial <= 2 + 0.2 * requests
        peer.report(stream, 200)
        peer.half_close(stream)
        harness.advance(0.01)
    assert trial > 0.1 * requests
