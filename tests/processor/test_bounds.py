"""A full ledger: it rejects, leaves a share to other proxies, and drops no id that may have been executed."""

from __future__ import annotations

from linenbridge.processor.reservations import ReservationTerms
from tests.helpers import MS
from tests.peer_script import Bench
from tests.processor.helpers import READY


def test_a_full_ledger_rejects_and_leaves_a_share_to_the_other_proxy():
    bench = Bench(terms=ReservationTerms(100 * MS, 100 * MS, 60_000 * MS, 10, 20))
    peer = bench.peer()
    streams = [peer.ask(request=f"r{n}") for n in range(12)]
    assert [stream.immediate for stream in streams[10:]] == [503, 503]
    bench.turn(1.0)
    later = [peer.ask(request=f"s{n}") for n in range(6)]
    bench.proxy_peers[0] = type(bench.proxy_peer)("other", True, 3, False)
    others = [peer.ask(request=f"o{n}") for n in range(2)]
    assert all(stream.endpoint for stream in later + others)


def test_ids_that_may_have_been_executed_are_never_dropped_for_new_ones():
    bench = Bench(terms=ReservationTerms(100 * MS, 100 * MS, 60_000 * MS, 100, 5), attempts=1)
    peer = bench.peer()
    for n in range(5):
        peer.report(peer.ask("/charge/1", f"r{n}"), 200)
    assert peer.ask("/charge/1", "new").immediate == 503
    assert peer.ask("/charge/1", "r0").immediate == 502
    assert peer.ask("/look/1", "new").endpoint in READY
    bench.turn(61.0)
    assert peer.ask("/charge/1", "new").endpoint in READY
