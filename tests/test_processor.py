"""The external processor's hard cases: the real module, a scripted proxy, a clock in hand."""

from __future__ import annotations

import pytest

from linenbridge import interface as face
from linenbridge.processor import http2
from linenbridge.processor import wire_pb2 as wire
from linenbridge.processor.evidence import ASIDE, ENOUGH, Evidence
from linenbridge.processor.store import Store
from linenbridge.processor.tickets import TicketTerms
from tests.helpers import MS, entry
from tests.peer_script import ADDRESSES, Bench, asking, seeded

READY = {f"{host}:{port}" for _, (host, port) in ADDRESSES}


def store(tmp_path, bench_clock=lambda: 1_000_000.0) -> Store:
    return Store(str(tmp_path / "handed.db"), "process", lambda *_, **__: None, bench_clock)


def test_a_request_is_handed_out_reported_and_forgotten():
    bench = Bench()
    peer = bench.peer()
    stream = peer.ask()
    assert stream.endpoint in READY
    assert int(stream.header("x-envoy-upstream-rq-timeout-ms")) in range(850, 901)
    assert stream.header("x-linenbridge-use-within-ms") == "100"
    assert stream.answers[0].mode_override.response_header_mode == wire.ProcessingMode.SEND
    assert stream.answers[0].dynamic_metadata["envoy.lb"]["x-gateway-destination-endpoint"] == stream.endpoint
    peer.report(stream, 200, x_linenbridge_load="inflight=3")
    assert len(stream.answers) == 2 and stream.answers[1].HasField("response_headers")
    assert bench.empty() and bench.counts("answered", "look", "ok") == 1


def test_a_failure_is_told_with_what_it_means_and_the_next_attempt_goes_elsewhere():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask()
    peer.report(first, 500)
    assert first.header("x-linenbridge-again") == "1"
    second = peer.ask(attempt=2)
    assert second.endpoint in READY - {first.endpoint}
    peer.report(second, 200)
    assert bench.empty() and bench.counts("taken", "look") == 1


def test_a_failed_request_with_an_effect_is_aborted_and_no_attempt_of_it_goes_out():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask("/charge/1")
    peer.report(first, 500)
    assert first.header("x-linenbridge-outcome") == "aborted" and first.header("x-linenbridge-again") is None
    for attempt in (2, 1, 3):
        again = peer.ask("/charge/1", attempt=attempt)
        assert again.immediate == 502 and again.endpoint is None
    assert bench.empty()


def test_a_request_with_an_effect_that_certainly_never_ran_goes_out_again():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask("/charge/1")
    peer.report(first, 503, x_never_ran="1")
    assert first.header("x-linenbridge-again") == "1"
    second = peer.ask("/charge/1", attempt=2)
    assert second.endpoint in READY
    peer.report(second, 503, details="upstream_reset_before_response_started{connection_failure}")
    third = peer.ask("/charge/1", attempt=3)
    assert third.endpoint in READY
    peer.report(third, 200)
    assert bench.empty()


# ---- the call times out at the proxy -----------------------------------------------------------------


@pytest.mark.parametrize("fail_open", [False, True])
def test_reset_before_the_ask_was_read(fail_open):
    """Both lie in one read: nothing is handed out. A proxy that fails open may have sent it by itself."""
    bench = Bench(fail_open=fail_open)
    peer = bench.peer()
    stream = peer.ask("/charge/1", deliver=False)
    peer.reset(stream)
    assert stream.endpoint is None and bench.empty()
    again = peer.ask("/charge/1", attempt=2)
    assert again.immediate == 502
    once = peer.ask("/charge/1", attempt=1)
    assert (once.immediate == 502) == fail_open and (once.endpoint in READY) != fail_open


@pytest.mark.parametrize("fail_open", [False, True])
def test_reset_after_the_decision_and_before_its_answer_left(fail_open, tmp_path):
    """The turn that decides has run, what it hands over has not: the ticket is taken back."""
    bench = Bench(fail_open=fail_open, store=store(tmp_path))
    peer = bench.peer()
    hooks, bench.loop.settled = bench.loop.settled, []
    stream = peer.ask("/charge/1")
    assert bench.front.giving
    peer.h2.reset_stream(stream.number, 8)
    peer.pipe.protocol.dataReceived(peer.h2.data_to_send())
    bench.loop.settled = hooks
    bench.loop.gather(lambda now: None)
    bench.turn()
    peer.read()
    assert stream.endpoint is None and bench.empty()
    kept = list(bench.front.store.recall())
    assert bool(kept) == fail_open
    assert (peer.ask("/charge/1").endpoint is None) == fail_open


def test_reset_after_the_answer_left():
    bench = Bench()
    peer = bench.peer()
    stream = peer.ask("/charge/1")
    assert stream.endpoint in READY
    peer.reset(stream)
    for attempt in (1, 2, 2, 7):
        assert peer.ask("/charge/1", attempt=attempt).immediate == 502
    bench.turn(2.0)
    assert bench.empty()


def test_whatever_the_proxy_does_a_request_with_an_effect_is_handed_out_once():
    """Seeded: attempts, counts that jump and lie, resets at any point, two connections, failures, time."""
    for seed in range(30):
        chance, bench, handed = seeded(seed), Bench(fail_open=seed % 2 == 0), {}
        peers = [bench.peer(), bench.peer()]
        live = []
        for step in range(60):
            request, peer = f"r{chance.randrange(6)}", chance.choice(peers)
            stream = peer.ask(
                "/charge/1", request, chance.choice((1, 1, 2, 3, 9)), deliver=chance.random() < 0.8
            )
            if chance.random() < 0.2:
                peer.reset(stream, deliver=chance.random() < 0.5)
            else:
                live.append((request, peer, stream))
            bench.turn(chance.choice((0.0, 0.001, 0.15)))
            if live and chance.random() < 0.5:
                request, peer, stream = live.pop(chance.randrange(len(live)))
                if stream.endpoint and stream.status is None and not stream.reset:
                    peer.report(stream, chance.choice((200, 500, 503, 504)))
            for request, _, stream in live:
                if stream.endpoint:
                    handed.setdefault(request, set()).add((id(_), stream.number))
            assert all(len(streams) == 1 for streams in handed.values()), (seed, step, handed)
        for peer in peers:
            peer.close()
        bench.turn(3.0)
        assert bench.empty(), seed


# ---- restarts ----------------------------------------------------------------------------------------


def test_what_an_earlier_life_handed_out_is_refused_after_a_kill(tmp_path):
    first = Bench(store=store(tmp_path))
    given = first.peer().ask("/charge/1", "r1")
    assert given.endpoint in READY  # No close, no end: the process is gone.
    first.front.store.connection.close(True)
    second = Bench(store=store(tmp_path))
    peer = second.peer()
    assert peer.ask("/charge/1", "r1").immediate == 502
    assert peer.ask("/charge/1", "r2").endpoint in READY
    assert peer.ask("/look/1", "r1").endpoint in READY


def test_without_a_store_a_repeat_is_refused_by_its_count_and_the_log_says_so():
    bench = Bench()
    assert "store.none" in bench.events()
    assert bench.peer().ask("/charge/1", attempt=2).immediate == 502
    assert bench.peer().ask("/look/1", attempt=2).endpoint in READY


def test_a_store_that_fails_leaves_the_gateway_serving(tmp_path):
    bench = Bench(store=store(tmp_path))
    peer = bench.peer()
    bench.front.store.connection.close(True)
    assert peer.ask("/charge/1").endpoint in READY
    assert not bench.front.store.serves
    assert peer.ask("/charge/2", "r2").endpoint in READY


def test_a_planned_stop_says_goodbye_and_lets_streams_end():
    bench = Bench()
    peer, ended = bench.peer(), []
    stream = peer.ask()
    bench.health.say(False)
    bench.server.leave(3.0, lambda: ended.append(1))
    bench.turn()
    peer.read()
    assert peer.goaways == [(1 << 31) - 1]
    bench.turn(0.2)
    peer.read()
    assert peer.goaways[-1] == stream.number and not ended
    peer.report(stream, 200)
    assert stream.answers[-1].HasField("response_headers")
    peer.h2.end_stream(stream.number)
    peer.deliver()
    assert stream.status == "0" and ended and bench.empty()


def test_a_stream_that_opens_after_goodbye_hears_unavailable():
    bench = Bench()
    peer = bench.peer()
    kept = peer.ask()
    bench.server.leave(3.0, lambda: None)
    bench.turn(0.05)
    late = peer.ask(request="late")
    assert late.status == str(http2.UNAVAILABLE) and kept.status is None


# ---- order, ids, counts ------------------------------------------------------------------------------


def _body() -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.request_body.body = b"x"
    return message


def _trailers() -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.request_trailers.SetInParent()
    return message


def _answered() -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.response_headers.headers.headers.add(key=":status", value="200")
    return message


@pytest.mark.parametrize(
    "said",
    [
        [_body()],
        [_answered()],
        [asking("/look/1", "r1"), asking("/look/1", "r1")],
        [asking("/look/1", "r1"), _trailers(), _trailers()],
        [asking("/look/1", "r1"), _answered(), _answered()],
        [wire.ProcessingRequest()],
    ],
)
def test_out_of_order_ends_that_stream_alone(said):
    bench = Bench()
    peer = bench.peer()
    good, bad = peer.ask(request="good"), peer.open()
    for message in said:
        if bad.status is None:
            peer.say(bad, message)
    assert bad.status == str(http2.FAILED_PRECONDITION)
    peer.report(good, 200)
    assert good.answers[-1].HasField("response_headers") and not peer.goaways
    bench.turn(2.0)
    assert bench.empty()


@pytest.mark.parametrize(
    ("message", "status"),
    [
        (b"\xff\xff\xff", http2.INVALID_ARGUMENT),
        (asking("/look/1", "r1", "two").SerializeToString(), http2.INVALID_ARGUMENT),
        (asking("/look/1", "r1", "99999").SerializeToString(), http2.INVALID_ARGUMENT),
        (b"\x0a" * 70_000, http2.RESOURCE_EXHAUSTED),
    ],
)
def test_what_cannot_be_read_gets_a_status_and_no_pick(message, status):
    bench = Bench()
    peer = bench.peer()
    stream = peer.open()
    peer.h2.send_data(stream.number, b"\0" + len(message).to_bytes(4, "big") + message[:9_000])
    peer.deliver()
    assert stream.status == str(status) and not bench.counts("picked", "look")


def test_unknown_fields_are_passed_over():
    peer = Bench().peer()
    stream = peer.open()
    peer.say(stream, asking("/look/1", "r1").SerializeToString() + b"\xfa\x3f\x03abc")
    assert stream.endpoint in READY


def test_an_unrouted_request_is_refused_or_passed_as_the_settings_say():
    refused = Bench().peer().ask("/nowhere")
    assert refused.immediate == 404
    bench = Bench(passes=True)
    peer = bench.peer()
    passed = peer.ask("/nowhere")
    assert passed.endpoint is None and passed.answers[0].HasField("request_headers")
    peer.report(passed, 200)
    assert len(passed.answers) == 2


def test_a_request_with_an_effect_and_no_id_is_not_handed_out():
    assert Bench().peer().ask("/charge/1", request="").immediate == 502
    assert Bench().peer().ask("/look/1", request="").endpoint in READY


def test_an_id_that_two_proxies_share_is_one_request_where_it_has_an_effect():
    bench = Bench()
    first, second = bench.peer(), bench.peer()
    assert first.ask("/charge/1", "same").endpoint in READY
    bench.partners[0] = type(bench.partner)("other", True, 3, False)
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
    assert bench.counts("answered", "look", "ok") == 1 and bench.empty()


def test_a_watched_stream_gets_no_answer_and_no_pick():
    bench = Bench()
    peer = bench.peer()
    stream = peer.open()
    message = asking("/look/1", "r1")
    message.observability_mode = True
    peer.say(stream, message)
    assert not stream.answers and stream.status is None and not bench.counts("taken", "look")


def test_a_body_that_comes_before_the_decision_is_answered_after_it():
    """No room yet: the headers wait, and so does what comes behind them."""
    bench = Bench(instances=0)
    peer = bench.peer()
    stream = peer.ask()
    peer.say(stream, _body())
    assert not stream.answers
    bench.list(ADDRESSES)
    peer.read()
    kinds = [answer.WhichOneof("response") for answer in stream.answers]
    assert kinds == ["request_headers", "request_body"]


def test_a_grpc_answer_is_known_by_its_trailers():
    bench = Bench()
    peer = bench.peer()
    stream = peer.ask(content_type="application/grpc")
    assert stream.answers[0].mode_override.response_trailer_mode == wire.ProcessingMode.SEND
    peer.report(stream, 200, content_type="application/grpc")
    assert not bench.counts("answered", "look", "ok")
    message = wire.ProcessingRequest()
    message.response_trailers.trailers.headers.add(key="grpc-status", value="14")
    peer.say(stream, message)
    assert bench.counts("ended", "look", "error") == 1 and bench.empty()


# ---- time --------------------------------------------------------------------------------------------


def test_what_is_given_up_is_answered_at_once_and_says_when_to_return():
    bench = Bench(instances=0)
    peer = bench.peer()
    stream = peer.ask(x_wait="200")
    bench.turn(0.25)
    peer.read()
    assert stream.immediate == 503 and stream.header("retry-after") == "1"
    assert stream.header("x-linenbridge-retry-after-ms") == "1000"
    assert bench.empty()


def test_a_ticket_of_which_nothing_is_said_may_have_run_and_tells_nothing_of_its_instance():
    bench = Bench()
    peer = bench.peer()
    stream = peer.ask("/charge/1")
    before = list(bench.module.fleet.strikes)
    bench.turn(1.0)
    peer.read()
    assert bench.empty() and bench.module.fleet.strikes == before and not any(bench.module.fleet.out)
    assert peer.ask("/charge/1", attempt=2).immediate == 502
    peer.report(stream, 200)
    assert stream.answers[-1].HasField("response_headers")


def test_a_pick_kept_for_the_next_attempt_is_given_back_when_none_comes_in_time():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask()
    peer.report(first, 500)
    assert first.header("x-linenbridge-again") == "1"
    bench.turn(0.2)
    assert bench.empty() and bench.counts("ended", "look", "unsent") == 1
    again = peer.ask(attempt=2)
    assert again.endpoint in READY


def test_nothing_goes_to_an_instance_that_drained_between_decision_and_attempt():
    bench = Bench()
    peer = bench.peer()
    first = peer.ask()
    peer.report(first, 500)
    kept = next(iter(bench.front.ledger.by_id.values())).reserved().instance
    bench.list([(entry(kept, state=face.DRAINING), ("10.0.0.1", 7000 + kept))], whole=False)
    second = peer.ask(attempt=2)
    assert second.endpoint in READY - {f"10.0.0.1:{7000 + kept}"}


def test_every_ticket_must_be_used_well_within_the_grace_for_drains():
    bench = Bench()
    peer = bench.peer()
    for n in range(8):
        peer.ask(request=f"r{n}")
    for found in bench.front.ledger.by_id.values():
        assert found.last().use_by - found.last().decided <= 100 * MS


def test_a_stage_and_a_list_that_change_between_decision_and_outcome():
    bench = Bench()
    peer = bench.peer()
    streams = [peer.ask(request=f"r{n}") for n in range(8)]
    bench.stage(2, 0, face.ON_TRIAL, 0.2)
    bench.list([(entry(9, build=2), ("10.0.0.1", 7009))], whole=True)
    for stream in streams:
        peer.report(stream, 200)
    assert bench.empty() and bench.counts("answered", "look", "ok") == 8


def test_the_cap_on_a_build_on_trial_holds_for_what_is_handed_out():
    bench = Bench(closed_stages=1)
    peer, trial, taken = bench.peer(), 0, 0
    bench.list([*ADDRESSES, (entry(9, build=2), ("10.0.0.1", 7009))])
    bench.stage(2, 0, face.ON_TRIAL, 0.2)
    for n in range(300):
        path = ("/look/1", "/charge/1")[n % 2]
        stream = peer.ask(path, f"r{n}")
        taken += 1
        if stream.endpoint == "10.0.0.1:7009":
            trial += 1
            assert path == "/look/1"
        assert trial <= 2 + 0.2 * taken
        peer.report(stream, 200)
        peer.done(stream)
        bench.turn(0.01)
    assert trial > 0.1 * taken


# ---- evidence ----------------------------------------------------------------------------------------


def _trial(bench: Bench) -> None:
    bench.list([*ADDRESSES, (entry(9, build=2), ("10.0.0.1", 7009))])
    bench.stage(2, 1, face.ON_TRIAL, 1.0)


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
            outcome = face.ERROR if chance.random() < 0.3 else face.OK
            assert evidence.heard(now, proxy, 2, "look", face.IDEMPOTENT, outcome) == outcome
        told = evidence.heard(now, "rosy", 2, "look", face.IDEMPOTENT, face.OK)
    assert told == face.CANCELLED and not evidence.counts(now, "rosy")
    assert evidence.counts(now, "plain") and evidence.counts(now, "other")
    assert any("set aside rosy" in note for note in evidence.notes)
    assert evidence.counts(now + ASIDE + 1, "rosy")


def test_a_proxy_that_alone_sees_failures_is_set_aside_and_an_honest_one_is_not():
    evidence, now = Evidence(frozenset(("bleak", "plain"))), 0
    for n in range(40):
        now += 50 * MS
        evidence.heard(now, "plain", 2, "look", face.IDEMPOTENT, face.OK)
        if n > ENOUGH:
            evidence.heard(now, "bleak", 2, "look", face.IDEMPOTENT, face.ERROR)
    assert not evidence.counts(now, "bleak") and evidence.counts(now, "plain")


def test_a_proxy_that_leaves_out_reports_is_set_aside():
    evidence = Evidence(frozenset(("desk",)))
    for n in range(40):
        evidence.missed(n, "desk") if n % 2 else evidence.heard(
            n, "desk", 1, "look", face.IDEMPOTENT, face.OK
        )
    assert not evidence.counts(40, "desk")


def test_a_partners_word_proves_nothing_for_a_method_with_an_effect():
    evidence = Evidence(frozenset())
    assert evidence.heard(0, "p", 1, "charge", face.NON_IDEMPOTENT, face.FULL) == face.CANCELLED
    assert evidence.heard(0, "p", 1, "look", face.IDEMPOTENT, face.FULL) == face.UNSENT
    assert evidence.heard(0, "p", 1, "look", face.IDEMPOTENT, face.OK) == face.CANCELLED


# ---- bounds ------------------------------------------------------------------------------------------


def test_a_full_ledger_pushes_back_and_keeps_a_place_for_the_other_proxy():
    bench = Bench(terms=TicketTerms(100 * MS, 100 * MS, 60_000 * MS, 10, 20))
    peer = bench.peer()
    streams = [peer.ask(request=f"r{n}") for n in range(12)]
    assert [stream.immediate for stream in streams[10:]] == [503, 503]
    bench.turn(1.0)
    held = [peer.ask(request=f"s{n}") for n in range(6)]
    bench.partners[0] = type(bench.partner)("other", True, 3, False)
    others = [peer.ask(request=f"o{n}") for n in range(2)]
    assert all(stream.endpoint for stream in held + others)


def test_ids_that_may_have_run_are_never_forgotten_for_room():
    bench = Bench(terms=TicketTerms(100 * MS, 100 * MS, 60_000 * MS, 100, 5), attempts=1)
    peer = bench.peer()
    for n in range(5):
        peer.report(peer.ask("/charge/1", f"r{n}"), 200)
    assert peer.ask("/charge/1", "new").immediate == 503
    assert peer.ask("/charge/1", "r0").immediate == 502
    assert peer.ask("/look/1", "new").endpoint in READY
    bench.turn(61.0)
    assert peer.ask("/charge/1", "new").endpoint in READY
