"""Task actions: fenced requests that the holder of a task's lease sends to the resource it works on.

Owns the requests. The lease is checked right before each one is sent, and each carries the lease's term, so
that the resource can reject an older term. A request that was rejected or failed is not repeated: the next
one is due after the task's interval.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from linenbridge.fleet.configuration import TaskSettings
from linenbridge.logging.event_log import Log

CONNECT_TIMEOUT = 1.0  # seconds
RESPONSE_TIMEOUT = 5.0  # seconds
MAX_RESPONSE_BYTES = 65_536
HEADERS = Headers({b"content-type": [b"application/json"]})


class ActiveLease(NamedTuple):
    """The term and the slot under which this member may act on a task at this moment."""

    term: int
    slot: int


@implementer(IBodyProducer)
class RequestBody:
    """A short request body that is written at once."""

    def __init__(self, data: bytes) -> None:
        """Store the bytes of the body."""
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Twisted: write the body."""
        consumer.write(self.data)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Twisted: nothing is left to pause."""

    def resumeProducing(self) -> None:
        """Twisted: nothing was paused."""

    def stopProducing(self) -> None:
        """Twisted: nothing is left to stop."""


class DiscardedBody(Protocol):
    """Discards a response's body; closes the connection if the body exceeds `MAX_RESPONSE_BYTES`."""

    transport: Any  # a TCP transport: Twisted declares the general type

    def __init__(self) -> None:
        """Start with no bytes received."""
        self.received_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        """Twisted: count the received bytes."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_RESPONSE_BYTES:
            self.transport.loseConnection()


class TaskActions:
    """The actions of all tasks that have an address.

    `active_lease(task)` is called before each action and returns the lease, None if this member holds none.
    """

    def __init__(
        self,
        member: str,
        tasks: tuple[TaskSettings, ...],
        reactor: Any,
        log: Log,
        active_lease: Callable[[str], ActiveLease | None],
    ) -> None:
        """Set a timer for each task that has an address."""
        self.member = member
        self.reactor = reactor
        self.log = log
        self.active_lease = active_lease
        self.agent = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT, pool=HTTPConnectionPool(reactor, persistent=False)
        )
        self.timers: dict[str, Any] = {}
        self.in_flight: set[str] = set()  # tasks whose last action has no response yet
        for task in tasks:
            if task.action_address is not None:
                self._schedule(task, task.action_address)

    def _schedule(self, task: TaskSettings, address: tuple[str, int]) -> None:
        self.timers[task.task] = self.reactor.callLater(
            task.action_interval / 1e6, self._send_action, task, address
        )

    def _send_action(self, task: TaskSettings, address: tuple[str, int]) -> None:
        self._schedule(task, address)
        lease = self.active_lease(task.task)
        if lease is None or task.task in self.in_flight:
            return
        action = {"task": task.task, "place": lease.slot, "term": lease.term, "by": self.member}
        host, port = address
        body: Any = RequestBody(msgspec.json.encode(action))  # mypy does not support zope's interfaces
        response = self.agent.request(b"POST", f"http://{host}:{port}/act".encode(), HEADERS, body)
        self.in_flight.add(task.task)
        response.addTimeout(RESPONSE_TIMEOUT, self.reactor)
        response.addCallbacks(
            self._on_response, self._on_failure, callbackArgs=(action,), errbackArgs=(action,)
        )

    def _on_response(self, response: Any, action: dict[str, Any]) -> None:
        self.in_flight.discard(action["task"])
        self.log.count("task_action", str(response.code))
        if response.code == HTTPStatus.CONFLICT:  # the resource has seen a newer term
            self.log.event("task_action.rejected", **self._log_fields(action))
        response.deliverBody(DiscardedBody())

    def _on_failure(self, failure: Any, action: dict[str, Any]) -> None:
        self.in_flight.discard(action["task"])
        self.log.event_sampled(
            "task_action.failed",
            action["task"],
            error=failure.getErrorMessage(),
            **self._log_fields(action),
        )

    @staticmethod
    def _log_fields(action: dict[str, Any]) -> dict[str, Any]:
        """Return an action's fields under the names that the log uses."""
        return {
            "task": action["task"],
            "slot": action["place"],
            "term": action["term"],
            "member": action["by"],
        }

    def close(self) -> None:
        """Stop the timers, so that no further action is sent."""
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
