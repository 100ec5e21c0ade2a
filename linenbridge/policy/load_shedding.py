"""Shedding: a share of the RPCs goes back at once, more with each late answer.

Decides without I/O. Once it acts, answers well in time are asked for. It must never hold an RPC back.
"""

from __future__ import annotations

from collections import deque

from linenbridge.policy.gossip import Telling
from linenbridge.interface import Startup

SHED_UP, SHED_DOWN, SHED_STREAK = 0.15, 0.015, 8
SHED_FREE, SHED_MOST, SHED_NEAR = 0.3, 0.95, 0.75
LIMIT_START, LIMIT_LEAST, LIMIT_MOST = 3.0, 1.0, 64.0  # out at one instance


class Shedding(Telling):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.streak, self.utilities = 0, deque([0.0], maxlen=30)

    def _sheds(self, now: int, utility: float) -> bool:
        """Overload seen by a gateway too small for limits to bind: RPCs go by chance, low utility first. The
        same where the least limits, one out from every gateway, already queue past a soft deadline."""
        queue = max(self.least[m] / method.latency_objective for m, method in enumerate(self.methods))
        if not self._few(now) and self.allow.gateway_count * LIMIT_LEAST * queue <= 1.0:
            return False
        rank = sum(other < utility for other in self.utilities) / len(self.utilities)
        self.utilities.append(utility)
        share = min(SHED_MOST, (self.shed - SHED_FREE) / (1 - SHED_FREE) * (1.5 - rank))
        shed = share > 0.0 and self.random.random() < share
        # What is kept from the instances lowers it too: of few RPCs nearly all shed, too few answers would.
        self.shed -= SHED_DOWN * shed
        return shed

    def _weigh_shed(self, late: bool) -> None:
        """Timely answers in a row count ever more, so that it ends soon after the load does."""
        self.streak = 0 if late else min(self.streak + 1, SHED_STREAK)
        self.shed = min(1.0, max(0.0, self.shed + (SHED_UP if late else -SHED_DOWN * self.streak)))
