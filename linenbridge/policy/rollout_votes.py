"""Rollout votes: this gateway's vote to promote, hold or roll back the latest build.

A gateway has at most one vote in effect. The vote depends on the change detector's sums and on the platform's
rollout updates.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from linenbridge.decisions import CastVote
from linenbridge.interface import SECOND, RolloutPhase, Startup, Vote
from linenbridge.policy.change_detection import (
    CLEAR_FRACTION,
    MIN_PROMOTE_OUTCOMES,
    MIN_THRESHOLD,
    PROMOTE_WAIT,
    ChangeDetector,
)
from linenbridge.policy.log_messages import LogMessages
from linenbridge.policy.rollout_freeze import RolloutFreeze
from linenbridge.state.fleet import Fleet
from linenbridge.state.rollout import RolloutState

MAX_PROMOTE_FRACTION = 0.5  # of the minimum threshold; maximum sum for a vote to promote
RENEWAL_PERIOD = 4 * SECOND  # microseconds after which a vote is renewed
FULL_RENEWAL_TTL = 6 * SECOND  # microseconds; votes that expire earlier are renewed sooner in proportion
VOTE_RETRY = 300_000  # microseconds after a vote that was not accepted; doubled with each further one
MAX_VOTE_RETRY = 2 * SECOND  # microseconds
NO_STAGE = -1


class BuildStage(NamedTuple):
    """A build and the index of a stage of its rollout."""

    build: int
    stage: int


NO_BUILD_STAGE = BuildStage(NO_STAGE, NO_STAGE)


class RolloutVoter:
    """The vote in effect and the time of its renewal. Times are microseconds."""

    def __init__(
        self,
        startup: Startup,
        rollout: RolloutState,
        fleet: Fleet,
        freeze: RolloutFreeze,
        detector: ChangeDetector,
        random: Random,
        log: LogMessages,
        now: int,
    ) -> None:
        self.plan = startup.plan
        self.rollout = rollout
        self.fleet = fleet
        self.freeze = freeze
        self.detector = detector
        self.random = random
        self.log = log
        self.started_at = now
        self.cast_stage = NO_BUILD_STAGE
        self.cast_vote: int = Vote.NONE
        self.pending = False  # whether a vote awaits the platform's response
        self.next_at = now
        self.retry_wait = VOTE_RETRY
        self.stale_stage = NO_BUILD_STAGE  # the last one that the platform has reported as stale
        # Renewals of all gateways may exceed the rate of calls that the platform accepts.
        calls_per_renewal = self.plan.calls_per_second * RENEWAL_PERIOD / SECOND
        self.is_call_rate_limited = 0.0 < calls_per_renewal < startup.allowances.gateway_count

    def on_response(self, now: int, *, is_valid: bool, is_stale: bool) -> None:
        """Record the platform's response to a vote; one that was not accepted is cast again after a wait."""
        self.pending = False
        if is_valid:
            return
        self.next_at = now + int(self.retry_wait * self.random.uniform(0.5, 1.5))
        self.retry_wait = min(2 * self.retry_wait, MAX_VOTE_RETRY)
        if is_stale:
            self.stale_stage = self.cast_stage
        self._clear_vote()

    def on_rollout_update(self) -> None:
        """Reset the retry state after the platform has reported a stage."""
        self.stale_stage = NO_BUILD_STAGE
        self.retry_wait = VOTE_RETRY

    def _clear_vote(self) -> None:
        self.cast_stage = NO_BUILD_STAGE
        self.cast_vote = Vote.NONE

    def desired_vote(self, now: int) -> int:
        """Return the vote that follows from the evidence on the latest build.

        The first known build gets no vote, because there is no earlier build to compare it with.
        """
        rollout = self.rollout
        latest = rollout.latest_build
        phase = rollout.phase if rollout.build == latest else RolloutPhase.ON_TRIAL
        if phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED) or rollout.lowest_build >= latest:
            return Vote.NONE
        if self.detector.has_alarm():
            return Vote.ROLL_BACK
        starts = [self.fleet.started_at[index] for index in self.fleet.ready_by_build.get(latest, ())]
        if phase == RolloutPhase.RELEASED or not starts:
            return Vote.NONE
        by_timer = self.plan.by_timer
        if self.freeze.covers(latest):
            return Vote.HOLD if by_timer else Vote.NONE
        if self._may_promote(now, max(*starts, self.started_at)):
            return Vote.NONE if by_timer else Vote.PROMOTE
        return Vote.HOLD if by_timer else Vote.NONE

    def _may_promote(self, now: int, trial_started_at: int) -> bool:
        """Return whether there is no evidence against the build after enough outcomes or a wait.

        A sum that rises towards its alarm threshold prevents the vote, and so does a lack of outcomes until
        the wait is over. After the wait, a vote with few outcomes requires that no sum is above 0.0. Gateways
        that share evidence cast the same vote, so they require sums that are low enough to clear an alarm.
        """
        highest = self.detector.sums.highest()
        fraction = CLEAR_FRACTION if self.detector.shares_evidence else MAX_PROMOTE_FRACTION
        if self.detector.outcomes >= MIN_PROMOTE_OUTCOMES and highest <= fraction * MIN_THRESHOLD:
            return True
        return now >= trial_started_at + PROMOTE_WAIT and highest <= 0.0

    def visible_stage(self) -> BuildStage:
        """Return the latest build with its stage, as reported or as the number of its instances implies.

        The number of instances shows a new stage before a late rollout update does. If the platform responds
        that a vote for the implied stage is stale, the reported stage is used again.
        """
        rollout = self.rollout
        latest = rollout.latest_build
        reported = rollout.stage if rollout.build == latest else 0
        stage = reported
        shares = self.plan.shares
        trial_count = len(self.fleet.ready_by_build.get(latest, ()))
        base_count = len(self.fleet.ready)
        if not self.plan.in_place:
            base_count -= trial_count
        while stage + 1 < len(shares) and trial_count > shares[stage] * base_count + 1:
            stage += 1
        visible = BuildStage(latest, stage)
        return visible if visible != self.stale_stage else BuildStage(latest, reported)

    def due_vote(self, now: int) -> CastVote | None:
        """Return the vote to cast now, or None.

        A vote in effect is renewed until the stage changes, and withdrawn when the evidence no longer
        supports it.
        """
        if self.pending and now < self.next_at:
            return None
        visible = self.visible_stage()
        vote = self.desired_vote(now)
        changed = vote != self.cast_vote or visible != self.cast_stage
        if now < self.next_at and (not changed or self.retry_wait > VOTE_RETRY):
            return None
        if vote == Vote.NONE:
            if self.cast_vote == Vote.NONE or visible != self.cast_stage:
                return None
            if self._may_expire():
                if now >= self.next_at:
                    self._clear_vote()
                return None
        if changed:
            self.log.vote(
                vote,
                visible.build,
                visible.stage,
                self.rollout.stage,
                self.detector.outcomes,
                self.detector.sums.highest(),
            )
        self.cast_stage = visible
        self.cast_vote = vote
        self.pending = True
        self.next_at = now + self._renewal_period(vote)
        return CastVote(visible.build, visible.stage, Vote(vote))

    def _renewal_period(self, vote: int) -> int:
        """Return the time until the vote is renewed in microseconds; randomized for a vote to promote."""
        ttl = self.plan.vote_ttl
        renewal = min(RENEWAL_PERIOD, int(ttl * RENEWAL_PERIOD / FULL_RENEWAL_TTL))
        if vote == Vote.PROMOTE:
            renewal = int(renewal * self.random.uniform(0.5, 1.0))
        return ttl if self.is_call_rate_limited else renewal

    def _may_expire(self) -> bool:
        """Return whether a vote to promote that the evidence no longer supports is left to expire.

        If the rate of calls is limited, a call to withdraw a vote takes the place of a call for a vote that
        is not in effect yet. A freeze, or a sum over half of the minimum threshold, justifies the call.
        """
        if not self.is_call_rate_limited or self.freeze.covers(self.rollout.latest_build):
            return False
        if self.cast_vote != Vote.PROMOTE:
            return False
        return self.detector.sums.highest() <= MAX_PROMOTE_FRACTION * MIN_THRESHOLD
