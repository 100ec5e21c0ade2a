"""Command admission: how much of what clients have sent is handled before others' commands are looked at.

Decides without I/O. The first command of a connection that is read is always handled in the same turn. What
follows it waits at the cost of its own connection: by PROTOCOL, "Figures", the time that a command waits for
the responses before it does not count.
"""

from __future__ import annotations

COMMANDS_PER_TURN = 512  # commands behind another one of their connection, handled in one turn: some 25 ms
COMMANDS_AT_ONCE = 64  # of one connection, before other connections get their share
MAX_PENDING = 256  # commands of one connection without a response
MAX_UNANSWERED = 8_192  # requests of all connections; beyond it a connection has one command at a time


class CommandAdmission:
    """Decides by numbers alone; `commands_per_turn` leaves out the first command of each connection."""

    commands_per_turn = COMMANDS_PER_TURN

    def turn_share(self, left: int) -> int:
        """Return how many commands a connection may handle at once; `left` may still be in this turn."""
        return min(left, COMMANDS_AT_ONCE)

    def may_handle(self, pending: int, unanswered: int) -> bool:
        """Return whether a connection's next command may be handled.

        `pending` is the number of its commands without a response, `unanswered` that of all open requests.
        """
        return pending == 0 or (pending < MAX_PENDING and unanswered < MAX_UNANSWERED)
