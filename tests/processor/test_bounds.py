"""A full ledger rejects requests, reserves a share for other proxies, and keeps possibly executed ids."""

from __future__ import annotations

from linenbridge.processor.reservations import ReservationTerms
from tests.helpers import MS
from tests.peer_script import ProcessorHarness
from tests.processor.helpers import READY


def test_a_full_ledger_rejects_requests_and_reserves_a_share_for_another_proxy():
    harness = ProcessorHarness(terms=ReservationTerms(100 * MS, 100 * MS, 60_000 * MS, 10, 20))
    peer = harness.connect()
    streams = [peer.send_request(request=f"r{n}") for n in range(12)]
    assert [stream.immediate_status for stream in streams[10:]] == [503, 503]
    harness.advance(1.0)
    later = [peer.send_request(request=f"s{n}") for n in range(6)]
    harness.proxy_peers[0] = type(harness.proxy_peer)("other", True, 3, False)
    others = [peer.send_request(request=f"o{n}") for n in range(2)]
    assert all(stream.endpoint for stream in later + others)


def test_a_full_ledger_rejects_new_ids_until_possibly_executed_ones_expire():
    harness = ProcessorHarness(terms=ReservationTerms(100 * MS, 100 * MS, 60_000 * MS, 100, 5), attempts=1)
    peer = harness.connect()
    for n in range(5):
        peer.report(peer.send_request("/charge/1", f"r{n}"), 200)
    assert peer.send_request("/charge/1", "new").immediate_status == 503
    assert peer.send_request("/charge/1", "r0").immediate_status == 502
    assert peer.send_request("/look/1", "new").endpoint in READY
    harness.advance(61.0)
    assert peer.send_request("/charge/1", "new").endpoint in READY
