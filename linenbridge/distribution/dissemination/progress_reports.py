"""A relay's reports of the progress of its subtree, and their timing.

The summary of the relay's own region is sent to the publisher, the summaries of other regions to the relays
that are followed there. The reports are computed from the followers' progress, the times at which the heads
moved, and the lost followers.
"""

from __future__ import annotations

from linenbridge.distribution.changes import Position
from linenbridge.distribution.decisions import Decision, Send, SubtreeProgress
from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.progress import (
    LostFollowers,
    FollowerProgress,
    HeadHistory,
    summarize,
)
from linenbridge.distribution.dissemination.sessions import Session
from linenbridge.distribution.dissemination.settings import FeedSettings
from linenbridge.distribution.messages import Progress, SubtreeSummary

REPORT_SESSION = 1  # session number in a Progress to the region's publisher


class ProgressReports:
    """The reports of the relay `name` in `region` about the followers of its `sessions`.

    `due` is set if something has changed since the last report.
    """

    def __init__(
        self,
        name: str,
        region: str,
        logs: dict[str, CompactedLog],
        sessions: dict[str, Session],
        settings: FeedSettings,
        now: int,
    ) -> None:
        self.lost_followers = LostFollowers()
        self.due = True
        self._name = name
        self._region = region
        self._logs = logs
        self._sessions = sessions
        self._settings = settings
        self._head_histories = {region: HeadHistory() for region in logs}
        self._publisher = ""
        self._reported_at = now - settings.heartbeat
        self._forgot_at = now

    def on_head(self, now: int, region: str) -> None:
        """Record that the head of a region has moved."""
        self._head_histories[region].on_head(self._logs[region].head.sequence, now)

    def on_publisher(self, publisher: str) -> bool:
        """Set the publisher of the relay's own region; an empty name means none. Return whether it has
        changed."""
        if publisher == self._publisher:
            return False
        self._publisher = publisher
        self.due = True
        return True

    def on_follower_lost(self, now: int, progress: FollowerProgress) -> None:
        """Record that a follower was lost, with its last progress."""
        self.lost_followers.add(progress, now)
        self.due = True

    @property
    def next_at(self) -> int:
        """The time of the next report if something has changed, in microseconds."""
        return self._reported_at + self._settings.report_interval

    def summaries(self, now: int) -> list[SubtreeSummary]:
        """Return the summaries of all regions."""
        return [self._summary(region, now) for region in self._logs]

    def _summary(self, region: str, now: int) -> SubtreeSummary:
        head = self._logs[region].head.sequence
        followers = [session.progress for session in self._sessions.values() if region in session.cursors]
        return summarize(region, head, self._head_histories[region], followers, self.lost_followers, now)

    def turn(self, now: int) -> list[Decision]:
        """Return the reports that are due now. Once per heartbeat interval, expired lost followers are
        removed."""
        if now - self._forgot_at >= self._settings.heartbeat:
            self.lost_followers.forget(now)
            self._forgot_at = now
        since = now - self._reported_at
        if since < (self._settings.report_interval if self.due else self._settings.heartbeat):
            return []
        self._reported_at = now
        self.due = False
        return self._reports(now)

    def _reports(self, now: int) -> list[Decision]:
        decisions: list[Decision] = []
        others = [self._summary(region, now) for region in self._logs if region != self._region]
        if others:
            decisions.append(SubtreeProgress(others))
        if self._publisher:
            own = [self._summary(self._region, now)]
            report = Progress(self._name, REPORT_SESSION, head_positions(self._logs), own)
            decisions.append(Send(self._publisher, report))
        return decisions


def head_positions(logs: dict[str, CompactedLog]) -> list[Position]:
    """Return the heads of all logs."""
    return [Position(region, log.head.epoch, log.head.sequence) for region, log in logs.items()]
