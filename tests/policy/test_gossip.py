"""Gossip payloads between peers."""

from __future__ import annotations


from linenbridge.decisions import Gossip
from linenbridge.interface import Outcome, SECOND
from linenbridge.state.counters import Counts
from linenbridge.state.peers import pack
from tests.helpers import MS, pull_decisions, new_gateway


def test_outcomes_in_repeated_reordered_or_malformed_payloads_count_once():
    gateway = new_gateway(gossip_allowed=True, gateway_count=100, rollback_votes=35)
    payloads = [pack(9, [1, 2], 3, {(2, 0): Counts(n, n)}) for n in range(1, 8)]
    for payload in (payloads[1], payloads[0], payloads[1], payloads[1][:-3], b"x", payloads[2], payloads[2]):
        gateway.on_gossip(0, 5, payload)
    assert gateway.detector.outcomes == 3
    gateway.on_gossip(0, 5, pack(10, [1, 2], 3, {(2, 0): Counts(2, 2)}))
    assert gateway.detector.outcomes == 5, "the counts of a restarted peer begin at zero"


def test_payloads_are_sent_to_peers_and_counted_there():
    gateway = new_gateway(gossip_allowed=True, gateway_count=3)
    peer = new_gateway(gossip_allowed=True, gateway_count=3)
    payloads = []
    for n in range(40):
        gateway.on_request(n * 50 * MS, f"r{n}", "look", 4 * SECOND, None, "", None)
        decisions = pull_decisions(gateway, n * 50 * MS)
        payloads += [d.payload for d in decisions if isinstance(d, Gossip)]
        gateway.on_attempt_finished(n * 50 * MS, f"r{n}", 0, Outcome.OK, True, MS, {})
    for payload in payloads:
        peer.on_gossip(0, 1, payload)
    assert 0 < peer.detector.outcomes <= gateway.gossip.local_counts[2, 0].attempts
