"""This gateway's one standing vote: on, hold, back, or none.

Decides without I/O. It reads the evidence and the platform's news; it must never bring a vote about that the
evidence does not ask for, nor have two stand.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.policy.change_detection import HOLD_LEVEL, LEAST_THRESHOLD, ON_OUTCOMES, ON_WAIT, Evidence
from linenbridge.decisions import CastVote
from linenbridge.interface import Vote, RolloutPhase, SECOND, Startup

ON_MOST = 0.5
RENEW, VOTE_RETRY, VOTE_RETRY_MOST = 4 * SECOND, 300_000, 2 * SECOND


class Votes(Evidence):
    def __init__(self, start: Startup, seed: int, now: int) -> None:
        super().__init__(start, seed, now)
        self.cast, self.vote_out, self.vote_at, self.vote_wait = (-1, -1, Vote.NONE), False, now, VOTE_RETRY
        self.moot = (-1, -1)
        # Whether all gateways renewing at their pace would be more calls than the platform takes.
        calls = self.plan.calls_per_second * RENEW / SECOND
        self.scarce = 0.0 < calls < self.allow.gateway_count

    def _wanted(self, now: int) -> Vote:
        """The vote that the evidence asks for. A build with no earlier one known here is never judged:
        nothing tells its failings from the day's."""
        phase = self.phase if self.build == self.judged else RolloutPhase.ON_TRIAL
        if phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED) or self.lowest >= self.judged:
            return Vote.NONE
        if self.sums.alarms:
            return Vote.ROLL_BACK
        starts = [self.fleet.started_at[i] for i in self.near.get(self.judged, ())]
        if phase == RolloutPhase.RELEASED or not starts:
            return Vote.NONE
        if self._holds(self.judged):
            return Vote.HOLD if self.plan.by_timer else Vote.NONE
        # A sum on its way to the alarm is no ground for 'on', nor is what this gateway wasn't there to see.
        # Those that hear others hear much the same: their 'on's are one, given on what would clear an alarm.
        highest, most = self.sums.highest(), HOLD_LEVEL if self.sharing else ON_MOST
        enough = self.outcomes >= ON_OUTCOMES and highest <= most * LEAST_THRESHOLD
        if enough or (now >= max(*starts, self.born) + ON_WAIT and highest <= 0.0):
            return Vote.NONE if self.plan.by_timer else Vote.PROMOTE
        return Vote.HOLD if self.plan.by_timer else Vote.NONE

    def _stage_seen(self) -> tuple[int, int]:
        """The build judged and its stage, as told or, where news is late, as the list shows by its machines.
        A vote for a stage not yet reached is answered as moot, and the told stage is taken again."""
        stage = self.stage if self.build == self.judged else 0
        told, fleet, shares = (self.judged, stage), self.fleet, self.plan.shares
        trial = len(self.near.get(self.judged, ()))
        places = len(fleet.ready) if self.plan.in_place else len(fleet.ready) - trial
        while stage + 1 < len(shares) and trial > shares[stage] * places + 1:
            stage += 1
        return (self.judged, stage) if (self.judged, stage) != self.moot else told

    def _ballot(self, now: int) -> Iterator[CastVote]:
        """One standing vote, renewed until the stage moves; withdrawn when nothing asks for it any more."""
        wanted = (*self._stage_seen(), self._wanted(now))
        if now < self.vote_at and (self.vote_out or wanted == self.cast or self.vote_wait > VOTE_RETRY):
            return
        if wanted[2] == Vote.NONE and (self.cast[2] == Vote.NONE or self.cast[:2] != wanted[:2]):
            return
        if wanted[2] == Vote.NONE and self._lapses():
            self.cast = self.cast if now < self.vote_at else (-1, -1, Vote.NONE)
            return
        if wanted != self.cast:
            grounds = f"outcomes {self.outcomes} W {self.sums.highest():.1f}"
            where = f"build {wanted[0]} stage {wanted[1]} told {self.stage}"
            self.notes.append(f"vote {wanted[2]} {where} {grounds}")
        self.cast, self.vote_out = wanted, True
        life = min(RENEW, int(self.plan.vote_ttl * RENEW / (6 * SECOND)))
        life = int(life * self.random.uniform(0.5, 1.0)) if wanted[2] == Vote.PROMOTE else life
        self.vote_at = now + (self.plan.vote_ttl if self.scarce else life)
        yield CastVote(wanted[0], wanted[1], wanted[2])

    def _lapses(self) -> bool:
        """Where calls are scarce an 'on' nobody asks for any more is left to lapse: a call to take it back is
        one less for a vote that does not stand yet. A sum over half the least threshold is worth the call."""
        free = self.scarce and not self._holds(self.judged)
        return free and self.cast[2] == Vote.PROMOTE and self.sums.highest() <= ON_MOST * LEAST_THRESHOLD
