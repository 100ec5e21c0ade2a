"""Requests of change clients at a publisher, from their arrival to their last response.

A state machine without I/O. Every request gets a response; the number and the bytes of queued requests are
limited. A change that a relay may have stored is reported as `unconfirmed`, never as `refused`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice

from linenbridge.distribution.changes import START, Version
from linenbridge.distribution.decisions import Send
from linenbridge.distribution.errors import NotPublisher, PublisherBusy, QuorumUnreached
from linenbridge.distribution.messages import ChangeState, Publish, Published
from linenbridge.errors import Rejection

MAX_QUEUED_CHANGES = 4_000  # changes that are not appended yet
MAX_QUEUED_BYTES = 16_000_000  # of the values of these changes
MAX_AWAITING_IN_FORCE = 20_000  # changes; above it, the client of the oldest gets no `in_force`
MAX_UNREACHED_NAMES = 32  # names in one response


@dataclass(slots=True)
class PendingChange:
    """A change client's request that still gets a response.

    `deadline` is in microseconds. `version` is START until the change is appended. `reported_unconfirmed` is
    set once the response `unconfirmed` was sent.
    """

    client: str
    request: int
    deadline: int
    version: Version = START
    reported_unconfirmed: bool = False

    def response(
        self, state: ChangeState, code: str = "", unreached: list[str] | None = None, unreached_count: int = 0
    ) -> Send:
        """Return the message that reports a state to the change's client."""
        names = (unreached or [])[:MAX_UNREACHED_NAMES]
        published = Published(self.request, state, self.version, code, names, unreached_count)
        return Send(self.client, published)


@dataclass(slots=True)
class QueuedChange:
    """A change that is not appended yet."""

    pending: PendingChange
    publish: Publish


class ChangeRequests:
    """The requests of one publisher. `responses` holds the messages to send, in order."""

    def __init__(self) -> None:
        self.responses: deque[Send] = deque()
        self.dropped_in_force = 0  # changes over MAX_AWAITING_IN_FORCE, whose clients get no `in_force`
        self._queue: deque[QueuedChange] = deque()
        self._queued_bytes = 0
        self._appended: deque[PendingChange] = deque()
        self._accepted: deque[PendingChange] = deque()

    def enqueue(self, client: str, publish: Publish, deadline: int) -> None:
        """Add a valid change to the queue, or reject the change if the queue is full."""
        size = len(publish.value)
        if len(self._queue) >= MAX_QUEUED_CHANGES or self._queued_bytes + size > MAX_QUEUED_BYTES:
            self.reject(client, publish, PublisherBusy)
            return
        self._queue.append(QueuedChange(PendingChange(client, publish.request, deadline), publish))
        self._queued_bytes += size

    def reject(self, client: str, publish: Publish, error: type[Rejection]) -> None:
        """Respond that a change is rejected: it is not appended and will not be."""
        change = PendingChange(client, publish.request, deadline=0)
        self.responses.append(change.response(ChangeState.REFUSED, error.code))

    def next_to_append(self) -> Publish | None:
        """Return the oldest queued change, or None."""
        return self._queue[0].publish if self._queue else None

    def on_append(self, version: Version) -> None:
        """Record that the oldest queued change is in the publisher's log, at this version."""
        change = self._pop_queue()
        change.version = version
        self._appended.append(change)

    def on_committed(self, sequence: int) -> None:
        """Respond `accepted` for the changes up to this sequence, which a majority has on disk."""
        while self._appended and self._appended[0].version.sequence <= sequence:
            change = self._appended.popleft()
            self.responses.append(change.response(ChangeState.ACCEPTED))
            self._accepted.append(change)
        while len(self._accepted) > MAX_AWAITING_IN_FORCE:
            self._accepted.popleft()
            self.dropped_in_force += 1

    def on_in_force(self, sequence: int, unreached: list[str], unreached_count: int) -> None:
        """Respond `in_force` for the changes up to this sequence, with the followers that are unreached."""
        while self._accepted and self._accepted[0].version.sequence <= sequence:
            change = self._accepted.popleft()
            self.responses.append(change.response(ChangeState.IN_FORCE, "", unreached, unreached_count))

    def on_time(self, now: int) -> None:
        """Respond to the requests whose deadline has passed."""
        while self._queue and self._queue[0].pending.deadline <= now:
            self.responses.append(self._pop_queue().response(ChangeState.REFUSED, PublisherBusy.code))
        for change in self._appended:
            if change.deadline > now:
                break
            self._report_unconfirmed(change)

    def on_lease_lost(self) -> None:
        """Respond to all requests, because this publisher can no longer commit changes."""
        for queued in self._queue:
            self.responses.append(queued.pending.response(ChangeState.REFUSED, NotPublisher.code))
        for change in self._appended:
            self._report_unconfirmed(change)
        self._queue.clear()
        self._appended.clear()
        self._accepted.clear()
        self._queued_bytes = 0

    def awaits_in_force(self) -> bool:
        """Return whether a client still gets `in_force` for an accepted change."""
        return bool(self._accepted)

    def wake_at(self) -> int | None:
        """Return the next deadline in microseconds, or None."""
        deadlines = [self._queue[0].pending.deadline] if self._queue else []
        unreported = (change.deadline for change in self._appended if not change.reported_unconfirmed)
        return min([*deadlines, *islice(unreported, 1)], default=None)

    def _report_unconfirmed(self, change: PendingChange) -> None:
        if not change.reported_unconfirmed:
            change.reported_unconfirmed = True
            self.responses.append(change.response(ChangeState.UNCONFIRMED, QuorumUnreached.code))

    def _pop_queue(self) -> PendingChange:
        queued = self._queue.popleft()
        self._queued_bytes -= len(queued.publish.value)
        return queued.pending
