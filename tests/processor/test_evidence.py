"""Which reports count as evidence of a build, and which proxies are set aside."""

from __future__ import annotations

import pytest

from linenbridge.interface import Idempotency, Outcome, RolloutPhase
from linenbridge.processor.evidence import ASIDE, ENOUGH, Evidence
from tests.helpers import MS, entry
from tests.peer_script import ADDRESSES, Bench, seeded


def _trial(bench: Bench) -> None:
    bench.list([*ADDRESSES, (entry(9, build=2), ("10.0.0.1", 7009))])
    bench.stage(2, 1, RolloutPhase.ON_TRIAL, 1.0)


@pytest.mark.parametrize(("ours", "moves"), [(True, True), (False, False)])
def test_failures_that_a_partner_reports_move_no_release_ours_do(ours, moves):
    bench = Bench(ours=ours, attempts=1)
    _trial(bench)
    peer = bench.peer()
    for n in range(120):
        stream = peer.ask(request=f"r{n}")
        peer.report(stream, 500 if stream.endpoint == "10.0.0.1:7009" else 200)
        peer.done(stream)
        bench.turn(0.01)
    assert bool(bench.module.sums.alarms) == moves
    assert bool(bench.module.outcomes) == moves


def test_a_partner_that_lies_shuns_no_instance():
    bench = Bench(ours=False, attempts=1)
    peer = bench.peer()
    for n in range(60):
        stream = peer.ask(request=f"r{n}")
        peer.report(stream, 503, details="upstream_reset_before_response_started{connection_failure}")
    fleet = bench.module.fleet
    assert not any(fleet.strikes) and not any(fleet.failing)


def test_a_proxy_that_says_ok_for_everything_is_set_aside():
    evidence, now = Evidence(frozenset(("rosy", "plain", "other"))), 0
    chance = seeded(1)
    for _ in range(60):
        now += 50 * MS
        for proxy in ("plain", "other"):
            outcome = Outcome.ERROR if chance.random() < 0.3 else Outcome.OK
            assert evidence.heard(now, proxy, 2, "look", Idempotency.IDEMPOTENT, outcome) == outcome
        told = evidence.heard(now, "rosy", 2, "look", Idempotency.IDEMPOTENT, Outcome.OK)
    assert told == Outcome.CANCELLED and not evidence.counts(now, "rosy")
    assert evidence.counts(now, "plain") and evidence.counts(now, "other")
    assert any("set aside rosy" in note for note in evidence.notes)
    assert evidence.counts(now + ASIDE + 1, "rosy")


def test_a_proxy_that_alone_sees_failures_is_set_aside_and_an_honest_one_is_not():
    evidence, now = Evidence(frozenset(("bleak", "plain"))), 0
    for n in range(40):
        now += 50 * MS
        evidence.heard(now, "plain", 2, "look", Idempotency.IDEMPOTENT, Outcome.OK)
        if n > ENOUGH:
            evidence.heard(now, "bleak", 2, "look", Idempotency.IDEMPOTENT, Outcome.ERROR)
    assert not evidence.counts(now, "bleak") and evidence.counts(now, "plain")


def test_a_proxy_that_leaves_out_reports_is_set_aside():
    evidence = Evidence(frozenset(("desk",)))
    for n in range(40):
        evidence.missed(n, "desk") if n % 2 else evidence.heard(
            n, "desk", 1, "look", Idempotency.IDEMPOTENT, Outcome.OK
        )
    assert not evidence.counts(40, "desk")


def test_a_partners_word_proves_nothing_for_a_method_with_an_effect():
    evidence = Evidence(frozenset())
    assert (
        evidence.heard(0, "p", 1, "charge", Idempotency.NON_IDEMPOTENT, Outcome.OVERLOADED)
        == Outcome.CANCELLED
    )
    assert evidence.heard(0, "p", 1, "look", Idempotency.IDEMPOTENT, Outcome.OVERLOADED) == Outcome.NOT_SENT
    assert evidence.heard(0, "p", 1, "look", Idempotency.IDEMPOTENT, Outcome.OK) == Outcome.CANCELLED
