"""Harnesses that run one follower or one feed, whose relays or followers are simulated by the test."""

from __future__ import annotations

from random import Random

import msgspec

from linenbridge.distribution.changes import Kind, Position, Version, sealed
from linenbridge.distribution.decisions import (
    Apply,
    Dial,
    Event,
    Disconnect,
    ReplaceRange,
    Send,
    SubtreeProgress,
)
from linenbridge.distribution.dissemination.feed import Feed
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.dissemination.relay_selection import RelayLocation, rank_relays
from linenbridge.distribution.dissemination.settings import FeedSettings, FollowerSettings
from linenbridge.distribution.messages import (
    Batch,
    Follow,
    Message,
    Progress,
    RangeSnapshot,
    batch_checksum,
    range_checksum,
)

SECOND = 1_000_000
HOME_RELAYS = [RelayLocation(f"near{n}", "r1") for n in range(4)]
REMOTE_RELAYS = [RelayLocation(f"far{n}", "r2") for n in range(2)]
SETTINGS = FollowerSettings()
FEED_SETTINGS = FeedSettings()
REGIONS = ["r1", "r2"]
_decode = msgspec.msgpack.Decoder(Message).decode
_encode = msgspec.msgpack.Encoder().encode


class FollowerHarness:
    """A follower and a record of its decisions."""

    def __init__(
        self, positions: list[Position] | None = None, settings: FollowerSettings = SETTINGS
    ) -> None:
        self.now = 0
        self.core = Follower(
            "gateway",
            "r1",
            HOME_RELAYS + REMOTE_RELAYS,
            ["r1"],
            positions or [],
            settings,
            Random(3),
            0,
            lambda region: b"d",
        )
        self.order = rank_relays("gateway", "r1", HOME_RELAYS + REMOTE_RELAYS)
        self.dialled: list[str] = []
        self.disconnected: list[str] = []
        self.sent: list[Send] = []
        self.applied: list[Apply | ReplaceRange] = []
        self.events: list[Event] = []
        self.number = 0
        self.unreachable: set[str] = set()

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.core.wake_at() <= end:
            self.now = max(self.now + 1, self.core.wake_at())
            self.execute_decisions()
        self.now = max(self.now, end)

    def execute_decisions(self) -> None:
        while (decision := self.core.next_decision(self.now)) is not None:
            if isinstance(decision, Dial):
                self.dialled.append(decision.relay)
                if decision.relay not in self.unreachable:
                    self.core.on_link(self.now, decision.relay, connected=True)
            elif isinstance(decision, Disconnect):
                self.disconnected.append(decision.relay)
            elif isinstance(decision, Send):
                self.sent.append(decision)
                self.number = 0 if isinstance(decision.message, Follow) else self.number
            elif isinstance(decision, Event):
                self.events.append(decision)
            else:
                self.applied.append(decision)

    def last(self, kind: type) -> Send:
        return next(send for send in reversed(self.sent) if isinstance(send.message, kind))

    @property
    def session(self) -> int:
        return self.last(Follow).message.session

    def batch(self, after: int, upto: int, names: str = "", **fields) -> Batch:
        """Return the relay's next message, with one change for each letter of `names`. The last change has
        the sequence `upto`."""
        self.number += 1
        changes = [
            sealed("r1", Version(1, upto - len(names) + 1 + place), Kind.TENANT, name, b"v")
            for place, name in enumerate(names)
        ]
        end = Version(1 if upto else 0, upto)
        checksum = batch_checksum("r1", after, end, _encode(changes))
        batch = Batch(self.session, "r1", after, end, changes, None, 0, checksum, self.number)
        return msgspec.structs.replace(batch, **fields)

    def snapshot(self, upto: int, index: int, names: str, **fields) -> RangeSnapshot:
        self.number += 1
        changes = [sealed("r1", Version(1, 1), Kind.TENANT, name, b"w") for name in names.split()]
        snapshot = RangeSnapshot(
            self.session, "r1", Version(1, upto), index, 0, True, True, changes, 0, 0, self.number
        )
        return self.with_checksum(msgspec.structs.replace(snapshot, **fields))

    def with_checksum(self, snapshot: RangeSnapshot) -> RangeSnapshot:
        encoded = _encode(snapshot.changes)
        checksum = range_checksum(
            "r1", snapshot.upto, snapshot.range_index, snapshot.part, snapshot.last, encoded
        )
        return msgspec.structs.replace(snapshot, checksum=checksum)

    def receive(self, message: Batch | RangeSnapshot, relay: str = "") -> None:
        handle = self.core.on_batch if isinstance(message, Batch) else self.core.on_range_snapshot
        handle(self.now, relay or self.core.relay, message)
        self.execute_decisions()

    def report_applied(self, digest: int | None = 0) -> None:
        last = self.applied[-1]
        self.core.on_applied(self.now, "r1", last.upto, digest)
        self.execute_decisions()

    def progress(self) -> Progress:
        """Return the last report of progress to the followed relay."""
        reports = [send.message for send in self.sent if isinstance(send.message, Progress)]
        return [progress for progress in reports if progress.session][-1]

    def following(self) -> FollowerHarness:
        self.run(1)
        at = sum(position.sequence for position in self.last(Follow).message.positions)
        self.receive(self.batch(at, at))
        assert self.core.following
        return self


class FeedHarness:
    """A feed and a record of its decisions, with the messages by follower."""

    def __init__(self, settings: FeedSettings = FEED_SETTINGS) -> None:
        self.feed = Feed("relay", "r1", REGIONS, settings, Random(1), 0)
        self.now = 0
        self.sequence = 0
        self.sent: dict[str, list] = {}
        self.events: list[Event] = []
        self.subtree_reports: list[SubtreeProgress] = []

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.feed.wake_at() <= end:
            self.now = max(self.now, self.feed.wake_at())
            self.execute_decisions()
        self.now = end

    def execute_decisions(self) -> None:
        while (decision := self.feed.next_decision(self.now)) is not None:
            if isinstance(decision, Send):
                self.sent.setdefault(decision.to, []).append(_decode(_encode(decision.message)))
            else:
                (self.events if isinstance(decision, Event) else self.subtree_reports).append(decision)

    def commit(self, number: int, size: int = 10, name: str = "t{n}") -> None:
        changes = []
        for _ in range(number):
            self.sequence += 1
            value = b"x" * size
            key = name.format(n=self.sequence)
            changes.append(sealed("r1", Version(1, self.sequence), Kind.TENANT, key, value))
        self.feed.on_committed(self.now, "r1", changes)

    def follow(self, name: str, sequence: int = 0, session: int = 1, rate: int = 0) -> None:
        position = Position("r1", 1 if sequence else 0, sequence)
        self.feed.on_follow(self.now, Follow(name, session, [position], rate, ["r1"]))
        self.execute_decisions()

    def acknowledge(self, name: str, session: int = 1) -> None:
        messages = [each for each in self.sent.get(name, []) if isinstance(each, Batch | RangeSnapshot)]
        batches = [each.upto.sequence for each in messages if isinstance(each, Batch)]
        position = Position("r1", 1, max(batches, default=0))
        self.feed.on_progress(self.now, Progress(name, session, [position], [], len(messages)))
        self.execute_decisions()

    def batches(self, name: str) -> list[Batch]:
        return [each for each in self.sent.get(name, []) if isinstance(each, Batch) and each.changes]
