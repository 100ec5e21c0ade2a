"""What outlives the process, and its planned end."""

from __future__ import annotations

from linenbridge.processor import http2
from tests.peer_script import Bench
from tests.processor.helpers import READY, store


def test_a_request_dispatched_by_an_earlier_process_is_rejected_after_a_kill(tmp_path):
    first = Bench(store=store(tmp_path))
    given = first.peer().ask("/charge/1", "r1")
    assert given.endpoint in READY  # No close, no end: the process is gone.
    first.processor.ids.store.connection.close(True)
    second = Bench(store=store(tmp_path))
    peer = second.peer()
    assert peer.ask("/charge/1", "r1").immediate == 502
    assert peer.ask("/charge/1", "r2").endpoint in READY
    assert peer.ask("/look/1", "r1").endpoint in READY


def test_without_a_store_a_repeat_is_rejected_by_its_count_and_logged():
    bench = Bench()
    assert "store.none" in bench.events()
    assert bench.peer().ask("/charge/1", attempt=2).immediate == 502
    assert bench.peer().ask("/look/1", attempt=2).endpoint in READY


def test_a_store_that_fails_leaves_the_gateway_serving(tmp_path):
    bench = Bench(store=store(tmp_path))
    peer = bench.peer()
    bench.processor.ids.store.connection.close(True)
    assert peer.ask("/charge/1").endpoint in READY
    assert not bench.processor.ids.store.is_open
    assert peer.ask("/charge/2", "r2").endpoint in READY


def test_a_planned_stop_sends_goaway_and_lets_streams_end():
    bench = Bench()
    peer, ended = bench.peer(), []
    stream = peer.ask()
    bench.health.set_serving(serving=False)
    bench.server.leave(3.0, lambda: ended.append(1))
    bench.turn()
    peer.read()
    assert peer.goaways == [(1 << 31) - 1]
    bench.turn(0.2)
    peer.read()
    assert peer.goaways[-1] == stream.number
    assert not ended
    peer.report(stream, 200)
    assert stream.answers[-1].HasField("response_headers")
    peer.h2.end_stream(stream.number)
    peer.deliver()
    assert stream.status == "0"
    assert ended
    assert bench.empty()


def test_a_stream_that_opens_after_goaway_gets_unavailable():
    bench = Bench()
    peer = bench.peer()
    open_stream = peer.ask()
    bench.server.leave(3.0, lambda: None)
    bench.turn(0.05)
    late = peer.ask(request="late")
    assert late.status == str(http2.UNAVAILABLE)
    assert open_stream.status is None
