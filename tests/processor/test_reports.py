"""Every report of a proxy gets a response, whatever has happened to its RPC before."""

from __future__ import annotations

from tests.peer_script import ProcessorHarness

SILENT = "10.0.0.1:7001"  # an instance that sends no response
WARM_UP, REQUESTS = 150, 210  # the instance is silent for the requests after the warm-up
INTERVAL = 0.01  # seconds between requests
RESERVED = 0.15  # seconds; a reservation expires earlier
TIME_LIMIT = 0.9  # seconds; the deadline of a request


def test_time_outs_at_a_silent_instance_are_answered_where_hedging_is_allowed():
    """Guards against reports that get no response after a hedge that no proxy could send."""
    harness = ProcessorHarness(hedging_allowed=True)
    peer = harness.connect()
    silent = []
    for number in range(REQUESTS):
        stream = peer.send_request(request=f"r{number}")
        if stream.endpoint == SILENT and number >= WARM_UP:
            silent.append(stream)
        else:
            peer.report(stream, 200)
            peer.half_close(stream)
        harness.advance(INTERVAL)
    harness.advance(RESERVED)
    assert silent
    for stream in silent:
        peer.report(stream, 504)
        assert len(stream.replies) == 2
    harness.advance(TIME_LIMIT)
    assert harness.is_idle()
