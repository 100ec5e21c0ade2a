"""Gossip: sends this gateway's outcome counts to peers and extracts the new counts from their payloads.

Counts are cumulative since a gateway's start, so that no outcome is counted twice if payloads are repeated,
lost or late.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from random import Random

from linenbridge.decisions import Gossip
from linenbridge.interface import SECOND, Startup
from linenbridge.policy.rollout_votes import RolloutVoter
from linenbridge.state.counters import Counts
from linenbridge.state.peers import NewCounts, PeerBounds, PeerCounts, pack
from linenbridge.state.rollout import RolloutState

GOSSIP_PERIOD = 1 * SECOND  # microseconds; each interval is between half and one and a half periods
GOSSIP_FANOUT = 8  # peers that get a payload, divided by the build's share of the instances
MIN_PEERS = 8  # peers whose counts are stored, even if there are fewer gateways
MAX_BUILDS = 4  # builds whose counts are stored for each peer
MAX_INCARNATIONS = 16  # earlier incarnations whose tokens are stored for each peer
BUILDS_SENT = 2  # latest builds with outcomes that a payload contains
TOKEN_BITS = 16


class GossipExchange:
    """The counts of this gateway since its start, and the counts received from each peer."""

    def __init__(
        self, startup: Startup, rollout: RolloutState, voter: RolloutVoter, random: Random, now: int
    ) -> None:
        allowances = startup.allowances
        self.allowed = allowances.gossip_allowed
        self.number = allowances.gateway_number
        self.gateways = allowances.gateway_count
        self.shares = startup.plan.shares
        self.method_count = len(startup.methods)
        self.rollout = rollout
        self.voter = voter
        self.random = random
        self.token = random.randrange(1 << TOKEN_BITS)  # identifies this incarnation
        self.local_counts: dict[tuple[int, int], Counts] = {}  # by build and method index
        bounds = PeerBounds(max(MIN_PEERS, self.gateways), MAX_BUILDS, MAX_INCARNATIONS)
        self.peer_counts = PeerCounts(self.method_count, bounds)
        self._has_new_counts = False
        self._next_at = now

    def add_local(self, build: int, method_index: int, counts: Counts) -> None:
        """Count local outcomes; those of the latest build have to be sent."""
        key = (build, method_index)
        self.local_counts[key] = self.local_counts.get(key, Counts()).plus(counts)
        if build == self.rollout.latest_build:
            self._has_new_counts = True

    def received(self, peer: int, payload: bytes) -> Iterator[NewCounts]:
        """Yield the counts that a payload adds to the peer's earlier payloads."""
        return self.peer_counts.new_counts(peer, payload)

    def due_messages(self, now: int) -> list[Gossip]:
        """Return the messages with this gateway's counts that are due now.

        They go to the peers with the next gateway numbers, to fewer of them the larger the build's share. A
        single message to all peers replaces them if they would go to every peer.
        """
        if not (self.allowed and self._has_new_counts and now >= self._next_at):
            return []
        if not self.rollout.is_latest_in_use():
            return []
        self._has_new_counts = False
        self._next_at = now + int(GOSSIP_PERIOD * self.random.uniform(0.5, 1.5))
        builds = sorted({build for build, _ in self.local_counts})[-BUILDS_SENT:]
        payload = pack(self.token, builds, self.method_count, self.local_counts)
        count = ceil(GOSSIP_FANOUT / self.shares[self.voter.visible_stage().stage])
        if count >= self.gateways - 1:
            return [Gossip(None, payload)]
        return [Gossip((self.number + offset) % self.gateways, payload) for offset in range(1, count + 1)]
