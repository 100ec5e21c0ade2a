"""Connection admission: which connections make room for others, and whose requests are refused at once.

While few descriptors are left, a new connection is still accepted, and its request is refused at once: in the
system's queue it would get no response at all.
"""

from __future__ import annotations

ACCEPT_BATCH = 21  # connections that may arrive at once
REFUSING_DIVISOR = 8  # 1/8 of the descriptors, one batch at most, is for connections that are refused
MIN_IDLE_TIME = 1_000_000  # microseconds; a connection in regular use is rarely idle for longer
MIN_IDLE_TIME_ONCE = 50_000  # microseconds; after the only request of a connection, or none but PING
LONGEST_KILL_DEADLINE = 3_000_000  # microseconds; PROTOCOL, Figures: longer deadlines count as 3 s
LAST_COMMANDS = 700_000  # microseconds from SIGTERM to the last commands; PROTOCOL, Figures
STOP_MARGIN = 200_000  # microseconds before the earliest SIGKILL; the process may be held up for 0.15 s


class ConnectionAdmission:
    """Decides by the number of connections.

    `limit` is the number of descriptors for clients. `pool` is how many connections the usual clients hold at
    most in total, so that an idle connection may keep out a client that has a request.
    """

    def __init__(self, limit: int, pool: int) -> None:
        self.pool = pool
        self.refusing = min(ACCEPT_BATCH, max(1, limit // REFUSING_DIVISOR))

    def is_short(self, available: int) -> bool:
        """Return whether a batch of new connections would take all descriptors that are available."""
        return available <= ACCEPT_BATCH

    def needs_room(self, staying: int, available: int) -> bool:
        """Return whether connections have to end; `staying` is the number of those that are not ending."""
        return staying >= self.pool - ACCEPT_BATCH or self.is_short(available)

    def refuses(self, available: int) -> bool:
        """Return whether a surplus connection, which holds a descriptor itself, is refused its request."""
        return available < self.refusing

    def may_end_unasked(self, idle_time: int, request_count: int) -> bool:
        """Return whether a connection may end between two requests, after `idle_time` microseconds.

        On one in regular use the next request may be on its way.
        """
        return idle_time >= (MIN_IDLE_TIME_ONCE if request_count <= 1 else MIN_IDLE_TIME)

    def may_end_with_response(self, available: int, request_count: int) -> bool:
        """Return whether an open connection ends with a response, after this number of requests.

        The client of one in regular use would only open another.
        """
        return request_count == 1 and self.is_short(available)


def stop_time(max_deadline: int) -> int:
    """Return the microseconds from SIGTERM in which all requests get their final responses."""
    return min(max_deadline, LONGEST_KILL_DEADLINE) + LAST_COMMANDS - STOP_MARGIN
