"""Which instance an RPC goes to: a build by its size, then the less crowded of two drawn among the nearest.

Decides without I/O. It chooses among what the guards let through; it must never widen that.
"""

from __future__ import annotations

from math import ceil

from linenbridge.policy.load_shedding import Shedding
from linenbridge.decisions import SendAttempt
from linenbridge.interface import Idempotency, SECOND, Startup
from linenbridge.state.counters import DecayingRate
from linenbridge.state.fleet import draw, draw_two
from linenbridge.state.requests import Pick, Rpc

# Instances that a gateway keeps to: each is used so often before its connection would idle out.
REACH_USES, REACH_LEAST, LATELY = 3.0, 3, 3 * SECOND
FAIL_MEMORY, FAIL_LEAST, FAIL_MOST, REPORT_MEMORY = 5 * SECOND, 0.05, 0.5, 1 * SECOND


class Choosing(Shedding):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.lately = DecayingRate(LATELY)

    def _target(self, now: int, rpc: Rpc) -> int | None:
        """A build by the size of its instances, then one of them; a cold one drawn that has its fill hands
        over to the other build, not to its warm fellows. Further picks try the earlier build first."""
        least = self.moved.get(rpc.key, 0) if self.plan.forward_only else 0
        if not (builds := [b for b in self.near if b >= least and self._exposed(b, rpc.method)]):
            return None
        drawn = draw(self.random, self.fleet.ready, self.fleet.sums)
        wanted, full = self.fleet.build[drawn], not self._cold_room(now, drawn)
        builds.sort(key=lambda b: b == self.judged if rpc.picks else (b == wanted) == full)
        sound = any(self._sound(i, now) for b in builds for i in self.near[b])
        for build in builds:
            if (i := self._nearest(now, rpc, build, sound)) is not None:
                return i
        return None

    def _nearest(self, now: int, rpc: Rpc, build: int, sound: bool) -> int | None:
        """Two random choices, by size, on what is in flight, among the first of the build in this gateway's
        own lasting order: as many as its traffic keeps connections open to, others in place of sick ones."""
        fleet, tried = self.fleet, {pick.instance for pick in rpc.picks}
        uses = self.lately.per_second(now) * self.allow.idle_timeout / SECOND / REACH_USES
        reach = ceil(max(REACH_LEAST, uses * len(self.near[build]) / len(fleet.ready)))
        shun, failing, warm, room = (
            fleet.shun_until,
            fleet.failing,
            now - self.allow.slow_start_duration,
            list[int](),
        )
        for i in self.near[build]:  # The plainest grounds first: this is asked of many for every RPC.
            sound_here = (shun[i] <= now and failing[i] < FAIL_MOST) or not sound or self._sound(i, now)
            if sound_here and self._has_room(i, rpc) and (not rpc.picks or self._in_group(rpc, i)):
                if fleet.started_at[i] <= warm or self._cold_room(now, i):
                    room.append(i)
                if len(room) >= reach:
                    break
        if not (room := [i for i in room if i not in tried] or room):
            return None
        first, second = draw_two(self.random, room, [fleet.size[i] for i in room])
        return first if self._crowding(first, now) <= self._crowding(second, now) else second

    def _sound(self, i: int, now: int) -> bool:
        fleet = self.fleet
        return fleet.shun_until[i] <= now and fleet.failing_now(i, now, FAIL_MEMORY) < FAIL_MOST

    def _has_room(self, i: int, rpc: Rpc) -> bool:
        """An instance back from a strike is tried with one RPC that may be repeated."""
        fleet, safe = self.fleet, self.methods[rpc.method].idempotency != Idempotency.NON_IDEMPOTENT
        return fleet.out[i] < fleet.limit[i] if not fleet.strikes[i] else safe and not fleet.out[i]

    def _crowding(self, i: int, now: int) -> float:
        """In flight for its size and warmth; an instance that fails quickly must not look empty."""
        fleet = self.fleet
        sound = max(FAIL_LEAST, 1 - fleet.failing_now(i, now, FAIL_MEMORY))
        return (fleet.out[i] + fleet.others_now(i, now, REPORT_MEMORY) + 1) / (fleet.size[i] * sound * sound)

    def _send(self, now: int, rpc: Rpc, i: int) -> SendAttempt:
        fleet, build = self.fleet, self.fleet.build[i]
        rpc.picks.append(Pick(i, build, now))
        fleet.sent(i, now)
        if bucket := self._bucket(build, rpc.method):
            bucket.tokens -= 1.0
        if self._warmth(i, now) < 1.0:
            fleet.slow_start_tokens[i] -= rpc.cost
        return SendAttempt(rpc.id, fleet.ids[i], max(1, rpc.deadline - now))
