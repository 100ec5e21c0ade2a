"""Which reports are evidence about a build, and which proxies are distrusted."""

from __future__ import annotations

import pytest

from linenbridge.interface import Idempotency, Outcome, RolloutPhase
from linenbridge.processor.evidence import DISTRUST_TIME, MIN_OTHERS_REPORTS, Evidence
from tests.helpers import MS, entry
from tests.peer_script import ADDRESSES, ProcessorHarness, seeded_random


def _start_trial(harness: ProcessorHarness) -> None:
    harness.update_endpoints([*ADDRESSES, (entry(9, build=2), ("10.0.0.1", 7009))])
    harness.update_rollout(2, 1, RolloutPhase.ON_TRIAL, 1.0)


@pytest.mark.parametrize(("from_own_proxy", "affects_rollout"), [(True, True), (False, False)])
def test_reported_failures_affect_a_rollout_only_if_the_proxy_is_an_own_one(from_own_proxy, affects_rollout):
    harness = ProcessorHarness(is_own=from_own_proxy, attempts=1)
    _start_trial(harness)
    peer = harness.connect()
    for n in range(120):
        stream = peer.send_request(request=f"r{n}")
        peer.report(stream, 500 if stream.endpoint == "10.0.0.1:7009" else 200)
        peer.half_close(stream)
        harness.advance(0.01)
    assert bool(harness.module.detector.sums.alarms) == affects_rollout
    assert bool(harness.module.detector.outcomes) == affects_rollout


def test_false_reports_of_a_foreign_proxy_eject_no_instance():
    harness = ProcessorHarness(is_own=False, attempts=1)
    peer = harness.connect()
    for n in range(60):
        stream = peer.send_request(request=f"r{n}")
        peer.report(stream, 503, details="upstream_reset_before_response_started{connection_failure}")
    fleet = harness.module.fleet
    assert not any(fleet.consecutive_failures)
    assert not any(fleet.failure_rate)


def test_a_proxy_that_always_reports_success_is_distrusted():
    evidence = Evidence(frozenset(("optimist", "plain", "other")))
    now = 0
    chance = seeded_random(1)
    for _ in range(60):
        now += 50 * MS
        for proxy in ("plain", "other"):
            outcome = Outcome.ERROR if chance.random() < 0.3 else Outcome.OK
            assert evidence.on_report(now, proxy, 2, "look", Idempotency.IDEMPOTENT, outcome) == outcome
        given = evidence.on_report(now, "optimist", 2, "look", Idempotency.IDEMPOTENT, Outcome.OK)
    assert given == Outcome.CANCELLED
    assert not evidence.is_trusted(now, "optimist")
    assert evidence.is_trusted(now, "plain")
    assert evidence.is_trusted(now, "other")
    assert [(one.proxy, "reports success where others report" in one.reason) for one in evidence.notices] == [
        ("optimist", True)
    ]
    assert evidence.is_trusted(now + DISTRUST_TIME + 1, "optimist")


def test_a_proxy_that_alone_reports_failures_is_distrusted():
    evidence = Evidence(frozenset(("pessimist", "plain")))
    now = 0
    for n in range(40):
        now += 50 * MS
        evidence.on_report(now, "plain", 2, "look", Idempotency.IDEMPOTENT, Outcome.OK)
        if n > MIN_OTHERS_REPORTS:
            evidence.on_report(now, "pessimist", 2, "look", Idempotency.IDEMPOTENT, Outcome.ERROR)
    assert not evidence.is_trusted(now, "pessimist")
    assert evidence.is_trusted(now, "plain")


def test_a_proxy_that_omits_half_of_its_reports_is_distrusted():
    evidence = Evidence(frozenset(("desk",)))
    for n in range(40):
        evidence.on_missing_report(n, "desk") if n % 2 else evidence.on_report(
            n, "desk", 1, "look", Idempotency.IDEMPOTENT, Outcome.OK
        )
    assert not evidence.is_trusted(40, "desk")


def test_a_foreign_report_is_no_proof_of_non_execution_for_a_non_idempotent_method():
    evidence = Evidence(frozenset())
    assert (
        evidence.on_report(0, "p", 1, "charge", Idempotency.NON_IDEMPOTENT, Outcome.OVERLOADED)
        == Outcome.CANCELLED
    )
    assert (
        evidence.on_report(0, "p", 1, "look", Idempotency.IDEMPOTENT, Outcome.OVERLOADED) == Outcome.NOT_SENT
    )
    assert evidence.on_report(0, "p", 1, "look", Idempotency.IDEMPOTENT, Outcome.OK) == Outcome.CANCELLED
