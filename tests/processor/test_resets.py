"""A proxy may reset its stream at any point; a non-idempotent request is still dispatched at most once."""

from __future__ import annotations

import pytest

from tests.peer_script import ProcessorHarness, seeded_random
from tests.processor.helpers import READY, store


@pytest.mark.parametrize("fail_open", [False, True])
def test_a_reset_read_together_with_its_request_dispatches_nothing(fail_open):
    """A proxy that fails open may have sent the request itself, so its id counts as possibly executed."""
    harness = ProcessorHarness(fail_open=fail_open)
    peer = harness.connect()
    stream = peer.send_request("/charge/1", deliver=False)
    peer.reset(stream)
    assert stream.endpoint is None
    assert harness.is_idle()
    again = peer.send_request("/charge/1", attempt=2)
    assert again.immediate_status == 502
    once = peer.send_request("/charge/1", attempt=1)
    assert (once.immediate_status == 502) == fail_open
    assert (once.endpoint in READY) != fail_open


@pytest.mark.parametrize("fail_open", [False, True])
def test_a_reset_between_decision_and_response_releases_the_reservation(fail_open, tmp_path):
    """The decision has been made, but the end of the turn, which sends the response, has not been reached."""
    harness = ProcessorHarness(fail_open=fail_open, store=store(tmp_path))
    peer = harness.connect()
    hooks, harness.loop.on_turn_end = harness.loop.on_turn_end, []
    stream = peer.send_request("/charge/1")
    assert harness.processor.dispatches.pending
    peer.h2.reset_stream(stream.number, 8)
    peer.transport.protocol.dataReceived(peer.h2.data_to_send())
    harness.loop.on_turn_end = hooks
    harness.loop.enqueue(lambda now: None)
    harness.advance()
    peer.read()
    assert stream.endpoint is None
    assert harness.is_idle()
    stored = list(harness.processor.ids.store.load())
    assert bool(stored) == fail_open
    assert (peer.send_request("/charge/1").endpoint is None) == fail_open


def test_a_non_idempotent_request_reset_after_dispatch_is_not_dispatched_again():
    harness = ProcessorHarness()
    peer = harness.connect()
    stream = peer.send_request("/charge/1")
    assert stream.endpoint in READY
    peer.reset(stream)
    for attempt in (1, 2, 2, 7):
        assert peer.send_request("/charge/1", attempt=attempt).immediate_status == 502
    harness.advance(2.0)
    assert harness.is_idle()


def test_a_non_idempotent_request_is_dispatched_once_under_random_proxy_behaviour():
    """Seeded schedules of attempts with false counts, resets, failures and delays on two connections."""
    for seed in range(30):
        chance, harness, dispatched = seeded_random(seed), ProcessorHarness(fail_open=seed % 2 == 0), {}
        peers = [harness.connect(), harness.connect()]
        live = []
        for step in range(60):
            request, peer = f"r{chance.randrange(6)}", chance.choice(peers)
            stream = peer.send_request(
                "/charge/1", request, chance.choice((1, 1, 2, 3, 9)), deliver=chance.random() < 0.8
            )
            if chance.random() < 0.2:
                peer.reset(stream, deliver=chance.random() < 0.5)
            else:
                live.append((request, peer, stream))
            harness.advance(chance.choice((0.0, 0.001, 0.15)))
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
        harness.advance(3.0)
        assert harness.is_idle(), seed
