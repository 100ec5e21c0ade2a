"""Acts of a task's holder: a request to the thing acted on, with the term that it is to check.

Owns the requests. The clock is looked at right before each one is sent; one that is refused for an older term
is said and not repeated. It must never act for a task that this member does not hold at that moment.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from linenbridge.fleet.configuration import TaskSettings
from linenbridge.logging.event_log import Log

ANSWER_WAIT, ANSWER_MOST = 5.0, 65_536  # seconds and bytes of one answer
STALE = 409  # the answer of a thing that has seen a newer term
TYPE = Headers({b"content-type": [b"application/json"]})


@implementer(IBodyProducer)
class Body:
    """A short body, written at once."""

    def __init__(self, data: bytes) -> None:
        self.data, self.length = data, len(data)

    def startProducing(self, consumer: Any) -> Deferred:
        consumer.write(self.data)
        done = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None: ...
    def resumeProducing(self) -> None: ...
    def stopProducing(self) -> None: ...


class Unread(Protocol):
    """An answer's body, which is of no interest; one too long ends its connection."""

    heard = 0

    def dataReceived(self, data: bytes) -> None:
        self.heard += len(data)
        if self.heard > ANSWER_MOST:
            self.transport.loseConnection()


class TaskActions:
    """`term(task)` is asked at each act: the term and place under which this member may act now, or None."""

    def __init__(
        self, name: str, tasks: tuple[TaskSettings, ...], reactor: Any, log: Log,
        term: Callable[[str], tuple[int, int] | None],
    ) -> None:  # fmt: skip
        self.name, self.reactor, self.log, self.term = name, reactor, log, term
        self.agent = Agent(reactor, connectTimeout=1.0, pool=HTTPConnectionPool(reactor, persistent=False))
        self.timers: dict[str, Any] = {}
        self.out: set[str] = set()  # tasks whose last act has no answer yet
        for task in tasks:
            if task.action_address is not None:
                self._again(task)

    def _again(self, task: TaskSettings) -> None:
        self.timers[task.task] = self.reactor.callLater(task.action_interval / 1e6, self._act, task)

    def _act(self, task: TaskSettings) -> None:
        self._again(task)
        held = self.term(task.task)
        if held is None or task.task in self.out:
            return
        term, place = held
        said = {"task": task.task, "place": place, "term": term, "by": self.name}
        host, port = task.action_address
        asked = self.agent.request(
            b"POST", f"http://{host}:{port}/act".encode(), TYPE, Body(msgspec.json.encode(said))
        )
        self.out.add(task.task)
        asked.addTimeout(ANSWER_WAIT, self.reactor)
        asked.addCallbacks(self._done, self._failed, callbackArgs=(said,), errbackArgs=(said,))

    def _done(self, response: Any, said: dict) -> None:
        self.out.discard(said["task"])
        self.log.count("act", str(response.code))
        if response.code == STALE:
            self.log.event("act.refused", **said)
        response.deliverBody(Unread())

    def _failed(self, failure: Any, said: dict) -> None:
        self.out.discard(said["task"])
        self.log.rarely("act.failed", said["task"], error=failure.getErrorMessage(), **said)

    def close(self) -> None:
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
