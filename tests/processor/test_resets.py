"""A proxy that resets its stream at any point: a request with an effect is dispatched once."""

from __future__ import annotations

import pytest

from tests.peer_script import Bench, seeded
from tests.processor.helpers import READY, store


@pytest.mark.parametrize("fail_open", [False, True])
def test_reset_before_the_request_was_read(fail_open):
    """Both lie in one read: nothing is dispatched. A proxy that fails open may have sent it by itself."""
    bench = Bench(fail_open=fail_open)
    peer = bench.peer()
    stream = peer.ask("/charge/1", deliver=False)
    peer.reset(stream)
    assert stream.endpoint is None
    assert bench.empty()
    again = peer.ask("/charge/1", attempt=2)
    assert again.immediate == 502
    once = peer.ask("/charge/1", attempt=1)
    assert (once.immediate == 502) == fail_open
    assert (once.endpoint in READY) != fail_open


@pytest.mark.parametrize("fail_open", [False, True])
def test_reset_after_the_decision_and_before_its_answer_left(fail_open, tmp_path):
    """The turn that decides has run, what it hands over has not: the reservation is released."""
    bench = Bench(fail_open=fail_open, store=store(tmp_path))
    peer = bench.peer()
    hooks, bench.loop.on_turn_end = bench.loop.on_turn_end, []
    stream = peer.ask("/charge/1")
    assert bench.processor.dispatches.pending
    peer.h2.reset_stream(stream.number, 8)
    peer.pipe.protocol.dataReceived(peer.h2.data_to_send())
    bench.loop.on_turn_end = hooks
    bench.loop.enqueue(lambda now: None)
    bench.turn()
    peer.read()
    assert stream.endpoint is None
    assert bench.empty()
    stored = list(bench.processor.ids.store.load())
    assert bool(stored) == fail_open
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


def test_whatever_the_proxy_does_a_request_with_an_effect_is_dispatched_once():
    """Seeded: attempts, counts that jump and lie, resets at any point, two connections, failures, time."""
    for seed in range(30):
        chance, bench, dispatched = seeded(seed), Bench(fail_open=seed % 2 == 0), {}
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
                    dispatched.setdefault(request, set()).add((id(_), stream.number))
            assert all(len(streams) == 1 for streams in dispatched.values()), (seed, step, dispatched)
        for peer in peers:
            peer.close()
        bench.turn(3.0)
        assert bench.empty(), seed
