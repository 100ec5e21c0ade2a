"""A relay's feed: hands committed changes of all regions on to followers, each at its own pace.

Decides without I/O. Changes are gathered for a short time, then each follower is sent what lies behind its
cursor: the newest change of each key. Followers at the same position share one encoded batch. What a follower
has not acknowledged is bounded by a window, its bytes a second by its own rate. A follower behind a table's
horizon, or with another digest, asks for ranges by `Digests` and gets those that differ.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

import msgspec
from msgspec import Raw

from linenbridge.distribution.changes import RANGES, Change, Position, Version
from linenbridge.distribution.decisions import Apply, Decision, Event, ReplaceRange, Send, SubtreeProgress
from linenbridge.distribution.errors import RelayBehind, RelayFull, SilentFollower
from linenbridge.distribution.messages import (
    Digests,
    EncodedBatch,
    EncodedRangeSnapshot,
    Follow,
    FollowRejected,
    Progress,
    SubtreeSummary,
    batch_checksum,
    range_checksum,
)
from linenbridge.distribution.dissemination.progress import Departed, Heads, add_up
from linenbridge.distribution.dissemination.sessions import Cursor, Session, Transfer
from linenbridge.distribution.dissemination.compacted_log import TOMBSTONES_MOST, Table

MILLISECOND, SECOND = 1_000, 1_000_000
PAGES_MOST = 64  # encoded batches that are kept for other followers at the same position
DIGEST_BYTES = 8
REPORT_SESSION = 1  # of a relay's Progress to its region's publisher

_encode = msgspec.msgpack.Encoder().encode
_NO_CHANGES = Raw(_encode([]))


@dataclass(frozen=True)
class FeedSettings:
    """Times in microseconds, sizes in bytes."""

    gather: int = 200 * MILLISECOND  # between two batches to the same follower
    heartbeat: int = SECOND  # a follower hears something at least so often
    silent: int = 5 * SECOND  # without a word from a follower; then it is let go
    followers_most: int = 400  # at this relay, beside other regions' relays
    window: int = 262_144  # unacknowledged bytes of one follower; less than a link holds unsent
    refuse_for: int = 5 * SECOND  # how long a refused follower leaves this relay alone
    starting: int = 60 * SECOND  # after a start, followers that are ahead of this relay are sent elsewhere
    report: int = 250 * MILLISECOND  # between two sums, while something changes
    tombstones_most: int = TOMBSTONES_MOST


@dataclass
class FeedCounters:
    """What has happened since the start."""

    batches: int = 0
    ranges: int = 0
    heartbeats: int = 0
    bytes: int = 0  # of encoded changes
    encoded: int = 0  # batches that were encoded; the others were shared
    refused: int = 0
    silent: int = 0
    malformed: int = 0


@dataclass(frozen=True, slots=True)
class _SharedPage:
    upto: Version
    changes: Raw
    checksum: int
    digest: int | None


class Feed:
    """`name` is the relay's, `region` its own, `regions` all of them. `relays` are the names of all relays:
    as followers they are never refused as too many, since their whole region hangs on them. A host pulls
    `next_decision` and wakes the feed at `wake_at`."""

    def __init__(
        self, name: str, region: str, regions: list[str], settings: FeedSettings, random: Random, now: int,
        relays: frozenset[str] = frozenset(),
    ) -> None:  # fmt: skip
        self.name, self.region, self.settings = name, region, settings
        self.counters = FeedCounters()
        self.tables = {each: Table(each, settings.tombstones_most) for each in regions}
        self.sessions: dict[str, Session] = {}
        self.departed = Departed()
        self._regions = list(regions)
        self._relays = relays
        self._known_regions = frozenset(regions)
        self._heads = {each: Heads() for each in regions}
        self._random = random
        self._started_at = now
        self._pages: dict[tuple[str, int, int], _SharedPage] = {}
        self._out: deque[Decision] = deque()
        self._turned_at = now
        self._next_turn = now + settings.heartbeat
        self._publisher = ""
        self._reported_at = now - settings.heartbeat
        self._forgot_at = now
        self._report_due = True

    # ---- what is known ---------------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """The heads of all tables."""
        return [
            Position(region, table.head.epoch, table.head.sequence) for region, table in self.tables.items()
        ]

    def digest(self, region: str) -> int:
        return self.tables[region].digest

    def range_digests(self, region: str) -> bytes:
        """Of all ranges of a region's table, 8 bytes each."""
        return self.tables[region].range_digests()

    def summaries(self, now: int) -> list[SubtreeSummary]:
        """The sums of all regions, for a look from outside; `SubtreeProgress` and the report tell them by
        themselves."""
        return [self._summary(region, now) for region in self._regions]

    def _summary(self, region: str, now: int) -> SubtreeSummary:
        head, heads = self.tables[region].head.sequence, self._heads[region]
        followers = [session.progress for session in self.sessions.values() if region in session.cursors]
        return add_up(region, head, heads, followers, self.departed, now)

    # ---- changes ---------------------------------------------------------------------------------------

    def on_committed(self, now: int, region: str, changes: list[Change], settled: int = 0) -> None:
        """The own region's changes that a majority has, in order, up to a state that the log had. Deletions
        up to `settled` may be missing: the replica has let them go."""
        if changes:
            table = self.tables[region]
            table.apply(changes[-1].version, changes, horizon=settled)
            table.settled = True
            self._moved(now, region)

    def on_apply(self, now: int, apply: Apply) -> int:
        """Another region's changes, by the relay's follower; the digest is for `Follower.on_applied`."""
        table = self.tables[apply.region]
        table.apply(apply.upto, apply.changes, apply.horizon)
        table.settled = apply.digest == table.digest
        self._moved(now, apply.region)
        return table.digest

    def on_range(self, now: int, replace: ReplaceRange) -> int:
        """A whole range of another region. Its followers wait until the last one is here."""
        table = self.tables[replace.region]
        table.replace(replace.range_index, replace.upto, replace.changes, replace.final, replace.horizon)
        table.settled = False
        if replace.final:
            self._moved(now, replace.region)
        return table.digest

    def _moved(self, now: int, region: str) -> None:
        self._heads[region].on_head(self.tables[region].head.sequence, now)
        for key in [key for key in self._pages if key[0] == region]:
            del self._pages[key]
        self._wake_by(max(now, self._turned_at + self.settings.gather))

    # ---- followers -------------------------------------------------------------------------------------

    def on_follow(self, now: int, follow: Follow) -> None:
        """A new follower, or one that begins anew."""
        if self._is_full_for(follow.follower):
            self._refuse(follow.follower, follow.session, RelayFull.code)
            return
        if self._behind(now, follow):
            self._refuse(follow.follower, follow.session, RelayBehind.code)
            return
        session = Session(follow, self._regions, self.settings.window, now)
        self.sessions[follow.follower] = session
        self.departed.returned(follow.follower)
        self._report_due = True
        for cursor in session.cursors.values():
            self._heartbeat(session, cursor, now)
        self._wake_by(now)

    def _is_full_for(self, follower: str) -> bool:
        if follower in self.sessions or follower in self._relays:
            return False
        gateways = sum(name not in self._relays for name in self.sessions)
        return gateways >= self.settings.followers_most

    def _behind(self, now: int, follow: Follow) -> bool:
        """After a start, a relay may not have caught up with the other regions."""
        if now - self._started_at > self.settings.starting:
            return False
        return any(
            position.sequence > self.tables[position.region].head.sequence
            for position in follow.positions
            if position.region in self.tables
        )

    def _refuse(self, follower: str, session: int, code: str) -> None:
        after = self.settings.refuse_for
        after += self._random.randrange(after // 2 + 1)
        self.counters.refused += 1
        self._out.append(Send(follower, FollowRejected(session, code, after)))
        fields: dict[str, object] = {"follower": follower, "code": code}
        self._out.append(Event("distribution.refused_follower", fields))

    def on_progress(self, now: int, progress: Progress) -> None:
        """A follower's heartbeat and acknowledgement."""
        session = self.sessions.get(progress.follower)
        if session is None or session.number != progress.session:
            self._on_progress_elsewhere(now, progress)
            return
        session.heard_at = now
        session.window.acknowledge(progress.received)
        session.progress.take(progress, self._known_regions)
        self._report_due = True
        self._wake_by(max(now, self._reported_at + self.settings.report))

    def _on_progress_elsewhere(self, now: int, progress: Progress) -> None:
        if not progress.session:
            self.on_lost(now, progress.follower)  # the end of its older link may be yet to be noticed
            self.departed.elsewhere(progress.follower, now)
        elif progress.follower not in self.sessions:
            self._out.append(
                Send(progress.follower, FollowRejected(progress.session, SilentFollower.code, 0))
            )

    def on_digests(self, now: int, follower: str, digests: Digests) -> None:
        """A follower asks for the ranges that differ from its own, or for all of them."""
        session = self.sessions.get(follower)
        cursor = session and session.cursors.get(digests.region)
        if session is None or cursor is None or session.number != digests.session:
            return
        session.heard_at = now
        table = self.tables[digests.region]
        if table.replacing or not table.settled or table.head < digests.at:
            return  # the follower asks again
        if digests.first or not digests.last or len(digests.digests) not in (0, RANGES * DIGEST_BYTES):
            self.counters.malformed += 1
            return
        cursor.transfer = Transfer(table.head, deque(_differing(table.range_digests(), digests.digests)))
        self._wake_by(now)

    def on_lost(self, now: int, follower: str) -> None:
        """The link to a follower is down."""
        session = self.sessions.pop(follower, None)
        if session is not None:
            self.departed.add(session.progress, now)
            self._report_due = True

    def on_publisher(self, now: int, publisher: str) -> None:
        """Who publishes in the own region now, as the replica sees it; empty: nobody. It is told the sums."""
        if publisher != self._publisher:
            self._publisher = publisher
            self._report_due = True
            self._wake_by(now)

    # ---- decisions -------------------------------------------------------------------------------------

    def wake_at(self) -> int:
        return self._next_turn

    def _wake_by(self, at: int) -> None:
        self._next_turn = min(self._next_turn, at)

    def next_decision(self, now: int) -> Decision | None:
        if not self._out and now >= self._next_turn:
            self._turn(now)
        return self._out.popleft() if self._out else None

    def _turn(self, now: int) -> None:
        """Send every follower what it may be sent now."""
        self._turned_at = now
        waiting = False
        for session in list(self.sessions.values()):
            if now - session.heard_at > self.settings.silent:
                self._let_go(now, session)
                continue
            waiting = self._serve(session, now) or waiting
            quiet = now - session.sent_at >= self.settings.heartbeat
            if quiet and session.cursors and session.window.open_for_heartbeats:
                self._heartbeat(session, session.turn(), now)
        if now - self._forgot_at >= self.settings.heartbeat:
            self.departed.forget(now)
            self._forgot_at = now
        self._report(now)
        self._next_turn = now + (self.settings.gather if waiting else self.settings.heartbeat // 2)

    def _let_go(self, now: int, session: Session) -> None:
        self.counters.silent += 1
        self._refuse(session.follower, session.number, SilentFollower.code)
        self.on_lost(now, session.follower)

    def _serve(self, session: Session, now: int) -> bool:
        """Messages as the window and the rate allow; whether more is waiting. Regions take turns, so that a
        long catch-up of one does not hold up the others."""
        waiting = deque(cursor for cursor in session.cursors.values() if self._has_more(cursor))
        waiting.rotate(-session.messages)
        while waiting:
            if not session.may_send(now):
                return True
            cursor = waiting.popleft()
            message = self._message(session, cursor)
            self.counters.bytes += len(bytes(message.changes))
            self._send(session, message, now)
            if self._has_more(cursor):
                waiting.append(cursor)
        return False

    def _send(self, session: Session, message: EncodedBatch | EncodedRangeSnapshot, now: int) -> None:
        session.on_sent(message, now)
        self._out.append(Send(session.follower, message))

    def _has_more(self, cursor: Cursor) -> bool:
        table = self.tables[cursor.region]
        if table.replacing:
            return False
        if cursor.transfer is not None:
            return True
        if cursor.version == table.head or cursor.version.sequence < self._horizon(cursor):
            return table.settled and cursor.told != table.head
        return cursor.version < table.head

    def _message(self, session: Session, cursor: Cursor) -> EncodedBatch | EncodedRangeSnapshot:
        """The next of those that `_has_more` has found to be waiting."""
        if cursor.transfer is not None:
            return self._whole(session, cursor, cursor.transfer)
        if cursor.version == self.tables[cursor.region].head:
            return self._empty_batch(session, cursor)
        if cursor.version.sequence < self._horizon(cursor):
            return self._empty_batch(session, cursor)  # the follower asks for ranges
        return self._batch(session, cursor)

    def _horizon(self, cursor: Cursor) -> int:
        """A follower behind this sequence needs ranges. One whose position is in no history that leads to
        the head (the region began anew, all its disks lost) needs them too."""
        table = self.tables[cursor.region]
        apart = cursor.version.epoch < table.head.epoch and cursor.version.sequence >= table.head.sequence
        return cursor.version.sequence + 1 if apart else table.horizon

    def _batch(self, session: Session, cursor: Cursor) -> EncodedBatch:
        after, horizon = cursor.version.sequence, self.tables[cursor.region].horizon
        page = self._page(cursor.region, after, session.bucket.page_most)
        cursor.version = page.upto
        if page.digest is not None:
            cursor.told = page.upto
        self.counters.batches += 1
        return EncodedBatch(
            session.number, cursor.region, after, page.upto, page.changes, page.digest, horizon,
            page.checksum, session.messages + 1,
        )  # fmt: skip

    def _page(self, region: str, after: int, bytes_most: int) -> _SharedPage:
        """Encoded once for all followers at a position that take messages of the same size."""
        page = self._pages.get((region, after, bytes_most))
        if page is None:
            page = self._encode_page(region, after, bytes_most)
            if len(self._pages) >= PAGES_MOST:
                del self._pages[next(iter(self._pages))]
            self._pages[region, after, bytes_most] = page
        return page

    def _encode_page(self, region: str, after: int, bytes_most: int) -> _SharedPage:
        table = self.tables[region]
        page = table.page(after, bytes_most)
        encoded = _joined(page.encoded)
        digest = table.digest if table.settled and page.upto == table.head else None
        self.counters.encoded += 1
        return _SharedPage(page.upto, Raw(encoded), batch_checksum(region, after, page.upto, encoded), digest)

    def _heartbeat(self, session: Session, cursor: Cursor, now: int) -> None:
        self.counters.heartbeats += 1
        self._send(session, self._empty_batch(session, cursor), now)

    def _empty_batch(self, session: Session, cursor: Cursor) -> EncodedBatch:
        """At the follower's cursor, with the digest where that is the head. Of a table that is not settled,
        neither the digest nor the horizon is told: ranges could not be asked for yet."""
        table, version = self.tables[cursor.region], cursor.version
        digest, horizon = None, 0
        if table.settled and cursor.transfer is None:
            cursor.told = table.head
            digest = table.digest if version == table.head else None
            horizon = self._horizon(cursor)
        checksum = batch_checksum(cursor.region, version.sequence, version, bytes(_NO_CHANGES))
        return EncodedBatch(
            session.number, cursor.region, version.sequence, version, _NO_CHANGES, digest, horizon, checksum,
            session.messages + 1,
        )  # fmt: skip

    def _whole(self, session: Session, cursor: Cursor, transfer: Transfer) -> EncodedRangeSnapshot:
        """The next part of a range. What a range holds is read when its first part is sent: it may be newer
        than the state that the transfer leads to."""
        if not transfer.parts:
            self._next_range(cursor.region, transfer, session.bucket.page_most)
        changes = _joined(transfer.parts.popleft())
        part, last = transfer.part, not transfer.parts
        transfer.part += 1
        final = last and not transfer.ranges
        if final:
            cursor.version, cursor.transfer = transfer.upto, None
        self.counters.ranges += last
        index, horizon = transfer.index, self.tables[cursor.region].horizon
        checksum = range_checksum(cursor.region, transfer.upto, index, part, last, changes)
        return EncodedRangeSnapshot(
            session.number, cursor.region, transfer.upto, index, part, last, final, Raw(changes), horizon,
            checksum, session.messages + 1,
        )  # fmt: skip

    def _next_range(self, region: str, transfer: Transfer, bytes_most: int) -> None:
        transfer.index, transfer.part = transfer.ranges.popleft(), 0
        transfer.parts = deque(_parts(self.tables[region].encoded_range(transfer.index), bytes_most))

    def _report(self, now: int) -> None:
        """The sums: the own region's to its publisher, the others' to the relays that are followed there."""
        since = now - self._reported_at
        due = since >= (self.settings.report if self._report_due else self.settings.heartbeat)
        if not due:
            return
        self._reported_at, self._report_due = now, False
        others = [self._summary(region, now) for region in self._regions if region != self.region]
        if others:
            self._out.append(SubtreeProgress(others))
        if self._publisher:
            own = [self._summary(self.region, now)]
            report = Progress(self.name, REPORT_SESSION, self.positions(), own)
            self._out.append(Send(self._publisher, report))


def _joined(encoded: list[bytes]) -> bytes:
    """The encoding of a list, of the encodings of its members."""
    return _encode([Raw(each) for each in encoded])


def _parts(encoded: list[bytes], bytes_most: int) -> list[list[bytes]]:
    """A range in parts that fit into one message each; an empty range is one empty part."""
    parts: list[list[bytes]] = [[]]
    size = 0
    for each in encoded:
        if parts[-1] and size + len(each) > bytes_most:
            parts.append([])
            size = 0
        parts[-1].append(each)
        size += len(each)
    return parts


def _differing(own: bytes, others: bytes) -> list[int]:
    """The ranges whose digests differ; all of them where there is nothing to compare with. One at least: its
    last part tells the follower that the transfer is complete."""
    if not others:
        return list(range(RANGES))
    places = [slice(index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES) for index in range(RANGES)]
    return [index for index, place in enumerate(places) if own[place] != others[place]] or [0]
