"""What the network layer asks of the policy: which connections have room, and how much is handled at once."""

from __future__ import annotations

from typing import Protocol


class RoomAdmission(Protocol):
    """Decides which connections make room, and whose requests are refused."""

    def is_short(self, available: int) -> bool:
        """Return whether a batch of new connections would take all descriptors that are available."""

    def needs_room(self, staying: int, available: int) -> bool:
        """Return whether connections have to end."""

    def refuses(self, available: int) -> bool:
        """Return whether the requests of a new connection are refused."""

    def may_end_unasked(self, idle_time: int, request_count: int) -> bool:
        """Return whether a connection may end between two requests, after `idle_time` microseconds."""

    def may_end_with_response(self, available: int, request_count: int) -> bool:
        """Return whether an open connection ends with a response, after this number of requests."""


class TurnAdmission(Protocol):
    """Decides how much of what clients have sent is handled at once."""

    commands_per_turn: int

    def turn_share(self, left: int) -> int:
        """Return how many commands a connection may handle at once, of those left in this turn."""

    def may_handle(self, pending: int, unanswered: int) -> bool:
        """Return whether a connection's next command may be handled."""
