"""Gossip: own outcome counts for peers, and what is new in theirs.

Decides without I/O. Counts are cumulative since a gateway's start, so that repeated, lost and late payloads
count nothing twice.
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

GOSSIP_PERIOD = 1 * SECOND  # microseconds, drawn between half and one and a half of it
GOSSIP_FANOUT = 8  # peers of a payload, over the build's share
MIN_PEERS = 8  # whose counts are stored at least
MAX_BUILDS = 4  # whose counts are stored of each peer
MAX_INCARNATIONS = 16  # earlier ones whose tokens are stored of each peer
BUILDS_SENT = 2  # the highest builds with outcomes
TOKEN_BITS = 16


class GossipExchange:
    """Own counts since the start, and those received from each peer."""

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
        self.token = random.randrange(1 << TOKEN_BITS)  # of this incarnation
        self.local_counts: dict[tuple[int, int], Counts] = {}  # by build and method index
        bounds = PeerBounds(max(MIN_PEERS, self.gateways), MAX_BUILDS, MAX_INCARNATIONS)
        self.peer_counts = PeerCounts(self.method_count, bounds)
        self._has_new_counts = False
        self._next_at = now

    def add_local(self, build: int, method_index: int, counts: Counts) -> None:
        """Count own outcomes; those of the build under judgement are due to be sent."""
        key = (build, method_index)
        self.local_counts[key] = self.local_counts.get(key, Counts()).plus(counts)
        if build == self.rollout.latest_build:
            self._has_new_counts = True

    def received(self, peer: int, payload: bytes) -> Iterator[NewCounts]:
        """What a payload adds to the counts that the peer sent before it."""
        return self.peer_counts.new_counts(peer, payload)

    def due_messages(self, now: int) -> list[Gossip]:
        """Own counts for the next peers by number, to fewer of them the larger the build's share; to all
        peers (None) where that is most of them.
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
