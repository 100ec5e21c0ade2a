"""A relay's feed, which sends committed changes of all regions to each follower at the follower's own rate.

The feed decides without I/O. It batches changes for a short time and then sends each follower the newest
change of each key that changed after the follower's cursor. Followers at the same position share one encoded
batch. A window limits the unacknowledged bytes of a follower, and its rate limits the bytes per second. A
follower that is behind the horizon of a log or has another digest requests ranges with a `Digests` message
and receives the ranges that differ.
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.distribution.changes import RANGES, Change, Position
from linenbridge.distribution.decisions import Apply, Decision, Event, ReplaceRange, Send
from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.counters import FeedCounters
from linenbridge.distribution.dissemination.message_builder import MessageBuilder
from linenbridge.distribution.dissemination.page_cache import PageCache
from linenbridge.distribution.dissemination.progress_reports import ProgressReports, head_positions
from linenbridge.distribution.dissemination.range_transfer import (
    DIGEST_BYTES,
    RangeTransfer,
    differing_ranges,
)
from linenbridge.distribution.dissemination.sessions import Cursor, Session
from linenbridge.distribution.dissemination.settings import FeedSettings
from linenbridge.distribution.errors import RelayBehind, RelayFull, SilentFollower
from linenbridge.distribution.messages import (
    Digests,
    EncodedBatch,
    EncodedRangeSnapshot,
    Follow,
    Progress,
    FollowRejected,
    SubtreeSummary,
)


class Feed:
    """The feed of the relay `name` in `region`.

    `regions` are all regions. `relays` are the names of all relays: these do not count towards
    `max_followers` and are never rejected as too many, since a whole region depends on each of them. Times
    are in microseconds. A host calls the `on_...` methods with its inputs, then `next_decision` until that
    returns None, and `next_decision` again at `wake_at`.
    """

    def __init__(
        self,
        name: str,
        region: str,
        regions: list[str],
        settings: FeedSettings,
        random: Random,
        now: int,
        relays: frozenset[str] = frozenset(),
    ) -> None:
        self.name = name
        self.region = region
        self.settings = settings
        self.counters = FeedCounters()
        self.logs = {each: CompactedLog(each, settings.max_tombstones) for each in regions}
        self.sessions: dict[str, Session] = {}
        self._reports = ProgressReports(name, region, self.logs, self.sessions, settings, now)
        self._pages = PageCache(self.logs, self.counters)
        self._builder = MessageBuilder(self.logs, self._pages, self.counters)
        self._regions = list(regions)
        self._relays = relays
        self._known_regions = frozenset(regions)
        self._random = random
        self._started_at = now
        self._decisions: deque[Decision] = deque()
        self._turned_at = now
        self._next_turn = now + settings.heartbeat

    # ---- state -----------------------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """Return the heads of the logs of all regions."""
        return head_positions(self.logs)

    def digest(self, region: str) -> int:
        """Return the digest of a region's log."""
        return self.logs[region].digest

    def range_digests(self, region: str) -> bytes:
        """Return the digests of all ranges of a region's log, 8 bytes each."""
        return self.logs[region].range_digests()

    def summaries(self, now: int) -> list[SubtreeSummary]:
        """Return the summaries of all regions, for monitoring. Reports do not need a call of this method."""
        return self._reports.summaries(now)

    # ---- changes ---------------------------------------------------------------------------------------

    def on_committed(self, now: int, region: str, changes: list[Change], compacted_to: int = 0) -> None:
        """Append changes of the relay's own region that are on the disks of a majority of its relays.

        The changes are in order and end at a version of the region log. Deletions up to the sequence
        `compacted_to` may be missing, because the replica has dropped their tombstones.
        """
        if changes:
            log = self.logs[region]
            log.apply(changes[-1].version, changes, horizon=compacted_to)
            log.consistent = True
            self._on_head_moved(now, region)

    def on_apply(self, now: int, apply: Apply) -> int:
        """Apply changes of another region that the relay's follower has received. Return the digest to pass
        to `Follower.on_applied`."""
        log = self.logs[apply.region]
        log.apply(apply.upto, apply.changes, apply.horizon)
        log.consistent = apply.digest == log.digest
        self._on_head_moved(now, apply.region)
        return log.digest

    def on_range(self, now: int, replace: ReplaceRange) -> int:
        """Store a complete range of another region. Return the digest to pass to `Follower.on_applied`.

        No changes of this region are sent to followers until the final range of the transfer has arrived.
        """
        log = self.logs[replace.region]
        log.replace(
            replace.range_index, replace.upto, replace.changes, final=replace.final, horizon=replace.horizon
        )
        log.consistent = False
        if replace.final:
            self._on_head_moved(now, replace.region)
        return log.digest

    def _on_head_moved(self, now: int, region: str) -> None:
        self._reports.on_head(now, region)
        self._pages.drop(region)
        self._wake_by(max(now, self._turned_at + self.settings.batch_interval))

    # ---- followers -------------------------------------------------------------------------------------

    def on_follow(self, now: int, follow: Follow) -> None:
        """Begin a session of a follower, or reject the follower."""
        if self._is_full_for(follow.follower):
            self._reject(follow.follower, follow.session, RelayFull.code)
            return
        if self._is_behind(now, follow):
            self._reject(follow.follower, follow.session, RelayBehind.code)
            return
        session = Session(follow, self._regions, self.settings.window, now)
        self.sessions[follow.follower] = session
        self._reports.lost_followers.on_returned(follow.follower)
        self._reports.due = True
        for cursor in session.cursors.values():
            self._heartbeat(session, cursor, now)
        self._wake_by(now)

    def _is_full_for(self, follower: str) -> bool:
        if follower in self.sessions or follower in self._relays:
            return False
        gateways = sum(name not in self._relays for name in self.sessions)
        return gateways >= self.settings.max_followers

    def _is_behind(self, now: int, follow: Follow) -> bool:
        """Return whether this relay has just started and its logs are behind the follower's positions."""
        if now - self._started_at > self.settings.catch_up_time:
            return False
        return any(
            position.sequence > self.logs[position.region].head.sequence
            for position in follow.positions
            if position.region in self.logs
        )

    def _reject(self, follower: str, session: int, code: str) -> None:
        after = self.settings.rejection_wait
        after += self._random.randrange(after // 2 + 1)
        self.counters.rejected += 1
        self._decisions.append(Send(follower, FollowRejected(session, code, after)))
        fields: dict[str, object] = {"follower": follower, "code": code}
        self._decisions.append(Event("distribution.follower_rejected", fields))

    def on_progress(self, now: int, progress: Progress) -> None:
        """Record a follower's progress, which is also its heartbeat and acknowledgement."""
        session = self.sessions.get(progress.follower)
        if session is None or session.number != progress.session:
            self._on_progress_elsewhere(now, progress)
            return
        session.received_at = now
        session.window.acknowledge(progress.received)
        session.progress.update(progress, self._known_regions)
        self._reports.due = True
        self._wake_by(max(now, self._reports.next_at))

    def _on_progress_elsewhere(self, now: int, progress: Progress) -> None:
        if not progress.session:
            self.on_lost(now, progress.follower)  # the loss of the old link may not have been detected yet
            self._reports.lost_followers.on_following_elsewhere(progress.follower, now)
        elif progress.follower not in self.sessions:
            self._decisions.append(
                Send(progress.follower, FollowRejected(progress.session, SilentFollower.code, 0))
            )

    def on_digests(self, now: int, follower: str, digests: Digests) -> None:
        """Begin to transfer the ranges that differ from the follower's digests, or all if it sent none."""
        session = self.sessions.get(follower)
        if session is None or session.number != digests.session:
            return
        cursor = session.cursors.get(digests.region)
        if cursor is None:
            return
        session.received_at = now
        log = self.logs[digests.region]
        if log.replacing or not log.consistent or log.head < digests.at:
            return  # the follower repeats the request
        if digests.first or not digests.last or len(digests.digests) not in (0, RANGES * DIGEST_BYTES):
            self.counters.malformed += 1
            return
        cursor.transfer = RangeTransfer(
            log.head, deque(differing_ranges(log.range_digests(), digests.digests))
        )
        self._wake_by(now)

    def on_lost(self, now: int, follower: str) -> None:
        """End the session of a follower whose link is down."""
        session = self.sessions.pop(follower, None)
        if session is not None:
            self._reports.on_follower_lost(now, session.progress)

    def on_publisher(self, now: int, publisher: str) -> None:
        """Set the publisher of the relay's own region, which receives the reports; empty means none."""
        if self._reports.on_publisher(publisher):
            self._wake_by(now)

    # ---- decisions -------------------------------------------------------------------------------------

    def wake_at(self) -> int:
        """Return the latest time at which `next_decision` has to be called again."""
        return self._next_turn

    def _wake_by(self, at: int) -> None:
        self._next_turn = min(self._next_turn, at)

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision for the host to execute, or None if there is none now."""
        if not self._decisions and now >= self._next_turn:
            self._turn(now)
        return self._decisions.popleft() if self._decisions else None

    def _turn(self, now: int) -> None:
        """Send the messages that the flow control of each follower allows, then the reports that are due."""
        self._turned_at = now
        waiting = False
        for session in list(self.sessions.values()):
            if now - session.received_at > self.settings.follower_timeout:
                self._time_out(now, session)
                continue
            waiting = self._serve(session, now) or waiting
            quiet = now - session.sent_at >= self.settings.heartbeat
            if quiet and session.cursors and session.window.open_for_heartbeats:
                self._heartbeat(session, session.next_heartbeat_cursor(), now)
        self._decisions.extend(self._reports.turn(now))
        self._next_turn = now + (self.settings.batch_interval if waiting else self.settings.heartbeat // 2)

    def _time_out(self, now: int, session: Session) -> None:
        self.counters.silent += 1
        self._reject(session.follower, session.number, SilentFollower.code)
        self.on_lost(now, session.follower)

    def _serve(self, session: Session, now: int) -> bool:
        """Send messages as the window and the rate allow. Return whether more messages are waiting.

        Regions are served in rotation, so that a long catch-up of one region does not delay the others.
        """
        waiting = deque(cursor for cursor in session.cursors.values() if self._builder.has_more(cursor))
        waiting.rotate(-session.messages)
        while waiting:
            if not session.may_send(now):
                return True
            cursor = waiting.popleft()
            message = self._builder.next_message(session, cursor)
            self.counters.bytes += len(bytes(message.changes))
            self._send(session, message, now)
            if self._builder.has_more(cursor):
                waiting.append(cursor)
        return False

    def _send(self, session: Session, message: EncodedBatch | EncodedRangeSnapshot, now: int) -> None:
        session.on_sent(message, now)
        self._decisions.append(Send(session.follower, message))

    def _heartbeat(self, session: Session, cursor: Cursor, now: int) -> None:
        self.counters.heartbeats += 1
        self._send(session, self._builder.empty_batch(session, cursor), now)
