"""What authors of changes are told, and when: accepted, unconfirmed, in force.

Keeps state without I/O. Every request taken is answered; those that wait are bounded in number and bytes. It
must never say `refused` of a change that a relay may have kept.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from linenbridge.distribution.changes import START, Version
from linenbridge.distribution.decisions import Send
from linenbridge.distribution.errors import NotPublisher, PublisherBusy, QuorumUnreached
from linenbridge.distribution.messages import Publish, Published
from linenbridge.errors import Refusal

MAX_QUEUED_CHANGES = 4_000  # changes that wait to be appended
MAX_QUEUED_BYTES = 16_000_000
MAX_AWAITING_IN_FORCE = 20_000  # authors that wait to hear of `in_force`; the oldest is let go
MAX_UNREACHED_NAMES = 32  # names in one answer


@dataclass
class PendingChange:
    """One change client's change. `version` is START until it is appended, `publish` None from then on;
    `reported_unconfirmed` once `unconfirmed` was said."""

    client: str
    request: int
    deadline: int
    publish: Publish | None
    version: Version = START
    reported_unconfirmed: bool = False

    def answer(self, state: str, code: str = "", unreached: list[str] | None = None, count: int = 0) -> Send:
        names = (unreached or [])[:MAX_UNREACHED_NAMES]
        return Send(self.client, Published(self.request, state, self.version, code, names, count))


class ChangeRequests:
    """`out` holds the answers, in order."""

    def __init__(self) -> None:
        self.out: deque[Send] = deque()
        self.dropped_in_force = 0  # authors let go without `in_force`
        self._queue: deque[PendingChange] = deque()
        self._queued_bytes = 0
        self._appended: deque[PendingChange] = deque()
        self._accepted: deque[PendingChange] = deque()

    def take(self, client: str, publish: Publish, deadline: int) -> None:
        """A change that may be appended waits for its turn."""
        size = len(publish.value)
        if len(self._queue) >= MAX_QUEUED_CHANGES or self._queued_bytes + size > MAX_QUEUED_BYTES:
            self.refuse(client, publish, PublisherBusy)
            return
        self._queue.append(PendingChange(client, publish.request, deadline, publish))
        self._queued_bytes += size

    def refuse(self, client: str, publish: Publish, error: type[Refusal]) -> None:
        """A change that is not appended and will not be."""
        self.out.append(PendingChange(client, publish.request, 0, None).answer("refused", error.code))

    def next_to_append(self) -> Publish | None:
        return self._queue[0].publish if self._queue else None

    def on_append(self, version: Version) -> None:
        """The next one is in the publisher's log at this version."""
        pending = self._take_from_queue()
        pending.version, pending.publish = version, None
        self._appended.append(pending)

    def on_committed(self, sequence: int) -> None:
        """A majority has everything up to this sequence on disk."""
        while self._appended and self._appended[0].version.sequence <= sequence:
            pending = self._appended.popleft()
            self.out.append(pending.answer("accepted"))
            self._accepted.append(pending)
        while len(self._accepted) > MAX_AWAITING_IN_FORCE:
            self._accepted.popleft()
            self.dropped_in_force += 1

    def on_in_force(self, sequence: int, unreached: list[str], count: int) -> None:
        """Everything up to this sequence is in force wherever anybody is reached."""
        while self._accepted and self._accepted[0].version.sequence <= sequence:
            self.out.append(self._accepted.popleft().answer("in_force", "", unreached, count))

    def on_time(self, now: int) -> None:
        """Answers that are due whatever happens."""
        while self._queue and self._queue[0].deadline <= now:
            self.out.append(self._take_from_queue().answer("refused", PublisherBusy.code))
        for pending in self._appended:
            if pending.deadline > now:
                break
            if not pending.reported_unconfirmed:
                pending.reported_unconfirmed = True
                self.out.append(pending.answer("unconfirmed", QuorumUnreached.code))

    def on_lease_lost(self) -> None:
        """Nothing more can be brought about for those that wait."""
        for pending in self._queue:
            self.out.append(pending.answer("refused", NotPublisher.code))
        for pending in self._appended:
            if not pending.reported_unconfirmed:
                self.out.append(pending.answer("unconfirmed", QuorumUnreached.code))
        self._queue.clear()
        self._appended.clear()
        self._accepted.clear()
        self._queued_bytes = 0

    def awaits_in_force(self) -> bool:
        return bool(self._accepted)

    def wake_at(self) -> int | None:
        """The next deadline."""
        queued = [self._queue[0].deadline] if self._queue else []
        unsure = [pending.deadline for pending in self._appended if not pending.reported_unconfirmed][:1]
        return min(queued + unsure, default=None)

    def _take_from_queue(self) -> PendingChange:
        pending = self._queue.popleft()
        self._queued_bytes -= len(pending.publish.value)
        return pending
