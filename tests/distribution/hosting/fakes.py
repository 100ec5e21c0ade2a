"""Fakes in memory for tests of hosts: a reactor whose threads run on request, peers, and a fleet member.

The fake reactor has its own clock; state machines read the machine's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from linenbridge.distribution.messages import (
    Append,
    Appended,
    Batch,
    Prepare,
    Prepared,
    Progress,
    Published,
)
from linenbridge.fleet.hosting.task_actions import ActiveLease
from linenbridge.peering.connections import PeerConnections


class FakeThreads:
    """A thread pool whose calls wait until `run_all`."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def callInThreadWithCallback(  # noqa: N802
        self, on_result: Callable[[bool, Any], None], function: Callable, *arguments: Any, **options: Any
    ) -> None:
        def run() -> None:
            try:
                result = True, function(*arguments, **options)
            except Exception:
                result = False, Failure()
            on_result(*result)

        self.calls.append(run)

    def run_all(self) -> int:
        """Run all calls, and those that they add; return their number."""
        count = 0
        while self.calls:
            self.calls.pop(0)()
            count += 1
        return count


class FakeReactor(MemoryReactorClock):
    """A reactor with `FakeThreads`; `callFromThread` calls at once."""

    def __init__(self) -> None:
        super().__init__()
        self.threads = FakeThreads()

    def getThreadPool(self) -> FakeThreads:  # noqa: N802
        return self.threads

    def callFromThread(self, function: Callable, *arguments: Any, **options: Any) -> None:  # noqa: N802
        function(*arguments, **options)


Received = Prepare | Prepared | Append | Appended | Batch | Published | Progress
_decode = msgspec.msgpack.Decoder(Received).decode


class ConnectedPeer:
    """A connected peer; `received()` returns what was sent to it since the last call, except `Progress`."""

    def __init__(self, connections: PeerConnections, name: str) -> None:
        self.connections = connections
        self.name = name
        self._received = []
        self.connection = connections.buildProtocol(None)
        self.connection.makeConnection(FakeTransport())
        self.connection.peer = name
        self.connection.hello_timer.cancel()
        connections.on_connected(self.connection)
        self.connection.callRemote = lambda command, **arguments: self._received.append(
            _decode(*arguments.values())
        )

    def send(self, message: object) -> None:
        self.connections.on_message(self.name, message)

    def received(self) -> list:
        received = [message for message in self._received if not isinstance(message, Progress)]
        self._received.clear()
        return received


class FakeTransport(StringTransport):
    """A transport in memory that has the options of TCP."""

    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802


class FakeMember:
    """Holds the task `publish-eu` under the `term` that the test sets; None: the task is not held."""

    def __init__(self, *_arguments: object, on_task_changed: Callable[[str], None]) -> None:
        self.on_task_changed = on_task_changed
        self.term: int | None = None

    def active_lease(self, task: str) -> ActiveLease | None:
        return None if task != "publish-eu" or self.term is None else ActiveLease(self.term, 0)

    def facts(self) -> dict[str, int]:
        return {}
