"""A relay's reports of the progress of its subtree, and when they are due.

Owns the timing of the reports and their input: when the heads moved, and the followers that were lost. The
summary of the own region goes to its publisher, those of other regions to the relays that are followed there.
"""

from __future__ import annotations

from linenbridge.distribution.changes import Position
from linenbridge.distribution.decisions import Decision, Send, SubtreeProgress
from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.progress import Departed, FollowerProgress, Heads, summarize
from linenbridge.distribution.dissemination.sessions import Session
from linenbridge.distribution.dissemination.settings import FeedSettings
from linenbridge.distribution.messages import Progress, SubtreeSummary

REPORT_SESSION = 1  # of a relay's Progress to its region's publisher


class ProgressReports:
    """Reports of the relay `name` of `region` over its `sessions`. `due`: something has changed since the
    last report."""

    def __init__(
        self,
        name: str,
        region: str,
        logs: dict[str, CompactedLog],
        sessions: dict[str, Session],
        settings: FeedSettings,
        now: int,
    ) -> None:
        self.departed = Departed()
        self.due = True
        self._name = name
        self._region = region
        self._logs = logs
        self._sessions = sessions
        self._settings = settings
        self._heads = {region: Heads() for region in logs}
        self._publisher = ""
        self._reported_at = now - settings.heartbeat
        self._forgot_at = now

    def on_head(self, now: int, region: str) -> None:
        """The head of a region has moved."""
        self._heads[region].on_head(self._logs[region].head.sequence, now)

    def on_publisher(self, publisher: str) -> bool:
        """Set the publisher of the own region; empty: none. Returns whether it has changed."""
        if publisher == self._publisher:
            return False
        self._publisher = publisher
        self.due = True
        return True

    def on_departed(self, now: int, progress: FollowerProgress) -> None:
        """A follower was lost."""
        self.departed.add(progress, now)
        self.due = True

    @property
    def next_at(self) -> int:
        """When the next report is due while something changes, microseconds."""
        return self._reported_at + self._settings.report_interval

    def summaries(self, now: int) -> list[SubtreeSummary]:
        """The summaries of all regions."""
        return [self._summary(region, now) for region in self._logs]

    def _summary(self, region: str, now: int) -> SubtreeSummary:
        head = self._logs[region].head.sequence
        followers = [session.progress for session in self._sessions.values() if region in session.cursors]
        return summarize(region, head, self._heads[region], followers, self.departed, now)

    def turn(self, now: int) -> list[Decision]:
        """The reports that are due now. Expired lost followers are forgotten once a heartbeat."""
        if now - self._forgot_at >= self._settings.heartbeat:
            self.departed.forget(now)
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
            report = Progress(self._name, REPORT_SESSION, heads(self._logs), own)
            decisions.append(Send(self._publisher, report))
        return decisions


def heads(logs: dict[str, CompactedLog]) -> list[Position]:
    """The heads of all logs."""
    return [Position(region, log.head.epoch, log.head.sequence) for region, log in logs.items()]
