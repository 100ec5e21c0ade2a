"""Which request an attempt belongs to: routes, ids, and reports that come late."""

from __future__ import annotations

from tests.peer_script import Bench
from tests.processor.helpers import READY


def test_an_unrouted_request_is_rejected_or_passed_by_the_settings():
    rejected = Bench().peer().ask("/nowhere")
    assert rejected.immediate == 404
    bench = Bench(passes=True)
    peer = bench.peer()
    passed = peer.ask("/nowhere")
    assert passed.endpoint is None
    assert passed.answers[0].HasField("request_headers")
    peer.report(passed, 200)
    assert len(passed.answers) == 2


def test_a_request_with_an_effect_and_no_id_is_not_dispatched():
    assert Bench().peer().ask("/charge/1", request="").immediate == 502
    assert Bench().peer().ask("/look/1", request="").endpoint in READY


def test_an_id_that_two_proxies_share_is_one_request_where_it_has_an_effect():
    bench = Bench()
    first, second = bench.peer(), bench.peer()
    assert first.ask("/charge/1", "same").endpoint in READY
    bench.proxy_peers[0] = type(bench.proxy_peer)("other", True, 3, False)
    assert second.ask("/charge/1", "same").immediate == 502
    assert second.ask("/charge/1", "same", attempt=2).immediate == 502
    assert first.ask("/look/1", "shared").endpoint in READY
    assert second.ask("/look/1", "shared").endpoint in READY


def test_a_late_report_of_an_attempt_that_was_given_up_settles_nothing():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask()
    second = peer.ask(attempt=2)
    assert second.endpoint in READY
    peer.report(first, 200)
    assert bench.counts("answered", "look", "ok") == 0
    peer.report(second, 200)
    assert bench.counts("answered", "look", "ok") == 1
    assert bench.empty()
