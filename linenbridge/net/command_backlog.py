"""The commands that have been read and not handled yet: in turns, a few of each connection at a time.

Owns which connections have such commands, and which are not read from until they have been handled. Reading
from a connection that is held does not tell that its client has closed it, so held connections are looked at
in intervals.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol

from linenbridge.net.admission import TurnAdmission

HELD_CHECK_INTERVAL = 0.05  # seconds; an attempt may begin 0.1 s after its client's close at the latest


class HeldConnection(Protocol):
    """A connection that is not read from while its earlier commands wait."""

    transport: Any

    def handle_commands(self, limit: int) -> int:
        """Handle up to `limit` commands, and return how many were handled."""


class CommandBacklog:
    """The connections with unhandled commands, in the order in which they get their share.

    `enqueue` calls a function in the next turn of the loop.
    """

    def __init__(
        self,
        reactor: Any,
        enqueue: Callable[[Callable[[int], None]], None],
        admission: TurnAdmission,
    ) -> None:
        self.reactor = reactor
        self.enqueue = enqueue
        self.admission = admission
        self.left = admission.commands_per_turn  # commands that may still be handled in this turn
        self.waiting: dict[HeldConnection, None] = {}
        self.held: dict[HeldConnection, None] = {}
        self.is_enqueued = False
        self.timer: Any = None

    def share(self) -> int:
        """Return how many commands behind its first one a connection may handle now."""
        return self.admission.turn_share(self.left)

    def spend(self, count: int) -> None:
        """Note that `count` commands have been handled; those that are first on their connection are free."""
        if count > 0:
            self.left -= count
            self._enqueue()

    def hold(self, connection: HeldConnection) -> None:
        """Stop to read from a connection."""
        if connection not in self.held:
            self.held[connection] = None
            connection.transport.hold_reading()
            if self.timer is None:
                self.timer = self.reactor.callLater(HELD_CHECK_INTERVAL, self._close_left)

    def release(self, connection: HeldConnection) -> None:
        """Read from a connection again; its commands have been handled."""
        if connection in self.held:
            del self.held[connection]
            connection.transport.release_reading()

    def add(self, connection: HeldConnection) -> None:
        """Handle the commands of a held connection as its turn comes."""
        self.waiting[connection] = None
        self._enqueue()

    def remove(self, connection: HeldConnection) -> None:
        """Forget a connection that has closed."""
        self.waiting.pop(connection, None)
        self.held.pop(connection, None)

    def _enqueue(self) -> None:
        if not self.is_enqueued:
            self.is_enqueued = True
            self.enqueue(self._on_turn)

    def _on_turn(self, _now: int) -> None:
        """Handle commands of the connections that wait; those with more get their next share last."""
        self.is_enqueued = False
        self.left = self.admission.commands_per_turn
        for connection in list(islice(self.waiting, self.left)):
            if self.left <= 0:
                break
            self.waiting.pop(connection, None)
            if connection.transport.has_peer_closed():
                connection.transport.close()
            elif connection in self.held:
                self.left -= max(1, connection.handle_commands(self.share()))
        if self.waiting:
            self._enqueue()

    def _close_left(self) -> None:
        """Close the held connections that their clients have closed."""
        self.timer = None
        for connection in list(self.held):
            if connection.transport.has_peer_closed():
                connection.transport.close()
        if self.held:
            self.timer = self.reactor.callLater(HELD_CHECK_INTERVAL, self._close_left)
