"""Time and change: tickets that run out, instances that drain, builds on trial."""

from __future__ import annotations

from linenbridge.interface import InstanceState, RolloutPhase
from tests.helpers import MS, entry
from tests.peer_script import ADDRESSES, Bench
from tests.processor.helpers import READY


def test_a_rejected_request_is_answered_at_once_with_the_time_to_retry():
    bench = Bench(instances=0)
    peer = bench.peer()
    stream = peer.ask(x_wait="200")
    bench.turn(0.25)
    peer.read()
    assert stream.immediate == 503
    assert stream.header("retry-after") == "1"
    assert stream.header("x-linenbridge-retry-after-ms") == "1000"
    assert bench.empty()


def test_an_unreported_attempt_may_have_been_executed_and_is_no_evidence_of_its_instance():
    bench = Bench()
    peer = bench.peer()
    stream = peer.ask("/charge/1")
    before = list(bench.module.fleet.consecutive_failures)
    bench.turn(1.0)
    peer.read()
    assert bench.empty()
    assert bench.module.fleet.consecutive_failures == before
    assert not any(bench.module.fleet.in_flight)
    assert peer.ask("/charge/1", attempt=2).immediate == 502
    peer.report(stream, 200)
    assert stream.answers[-1].HasField("response_headers")


def test_an_attempt_reserved_for_a_retry_is_released_when_none_comes_in_time():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask()
    peer.report(first, 500)
    assert first.header("x-linenbridge-again") == "1"
    bench.turn(0.2)
    assert bench.empty()
    assert bench.counts("ended", "look", "not_sent") == 1
    again = peer.ask(attempt=2)
    assert again.endpoint in READY


def test_nothing_goes_to_an_instance_that_drained_between_decision_and_attempt():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask()
    peer.report(first, 500)
    instance = next(iter(bench.processor.ledger.by_id.values())).reserved().instance
    bench.list([(entry(instance, state=InstanceState.DRAINING), ("10.0.0.1", 7000 + instance))], whole=False)
    second = peer.ask(attempt=2)
    assert second.endpoint in READY - {f"10.0.0.1:{7000 + instance}"}


def test_every_reservation_must_be_used_well_within_the_grace_for_drains():
    bench = Bench()
    peer = bench.peer()
    for n in range(8):
        peer.ask(request=f"r{n}")
    for found in bench.processor.ledger.by_id.values():
        assert found.reservations[-1].use_by - found.reservations[-1].decided_at <= 100 * MS


def test_a_stage_and_a_list_that_change_between_decision_and_outcome():
    bench = Bench()
    peer = bench.peer()
    streams = [peer.ask(request=f"r{n}") for n in range(8)]
    bench.stage(2, 0, RolloutPhase.ON_TRIAL, 0.2)
    bench.list([(entry(9, build=2), ("10.0.0.1", 7009))], whole=True)
    for stream in streams:
        peer.report(stream, 200)
    assert bench.empty()
    assert bench.counts("answered", "look", "ok") == 8


def test_the_cap_on_a_build_on_trial_bounds_dispatched_attempts():
    bench = Bench(closed_stages=1)
    peer, trial, requests = bench.peer(), 0, 0
    bench.list([*ADDRESSES, (entry(9, build=2), ("10.0.0.1", 7009))])
    bench.stage(2, 0, RolloutPhase.ON_TRIAL, 0.2)
    for n in range(300):
        path = ("/look/1", "/charge/1")[n % 2]
        stream = peer.ask(path, f"r{n}")
        requests += 1
        if stream.endpoint == "10.0.0.1:7009":
            trial += 1
            assert path == "/look/1"
        assert trial <= 2 + 0.2 * requests
        peer.report(stream, 200)
        peer.done(stream)
        bench.turn(0.01)
    assert trial > 0.1 * requests
