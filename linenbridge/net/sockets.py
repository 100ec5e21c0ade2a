"""System calls on connected sockets and on Twisted's transports: looks, watches and writes without a wait.

This module keeps no state and decides nothing. A look never reads what it finds.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from socket import MSG_PEEK, SHUT_WR
from typing import Any

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST

# States of a socket whose peer has closed, as TCP_INFO names them in its first byte (linux/tcp.h).
TIME_WAIT, CLOSED, CLOSE_WAIT, LAST_ACK, CLOSING = 6, 7, 8, 9, 11
PEER_CLOSED = frozenset({TIME_WAIT, CLOSED, CLOSE_WAIT, LAST_ACK, CLOSING})


def has_unread(connection: Any) -> bool:
    """Return whether a socket has something to read: bytes, the end of the stream, or an error."""
    try:
        connection.recv(1, MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def has_peer_closed(connection: socket.socket) -> bool:
    """Return whether the peer of a connection has closed it, whatever is unread before the end."""
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_CLOSED
    except OSError:
        return False


def watch_for_close(transport: Any) -> None:
    """Stop reading from a connection, but detect when the other side closes it.

    Unread bytes stay in the socket and hide the end of the stream behind them, so a caller that waits for the
    close has to limit that wait.
    """

    def check_for_close() -> Any:
        try:
            if not transport.socket.recv(1, MSG_PEEK):
                return CONNECTION_DONE
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        transport.stopReading()
        return None

    transport.doRead = check_for_close


def shut_down_sending(transport: Any) -> None:
    """Shut down the sending side at once, without waiting for the reactor's next iteration."""
    with suppress(OSError):
        transport.socket.shutdown(SHUT_WR)


def read_remaining(transport: Any) -> None:
    """Read the unread bytes of a connection that is about to be closed."""
    if transport.connected:
        transport.doRead()


def write_immediately(transport: Any, data: bytes) -> bool:
    """Write to the socket at once if no earlier data is queued, and leave the rest to the reactor.

    This saves each message the wait for the next iteration and two system calls. Returns True if all bytes
    have been written.
    """
    if transport.dataBuffer or transport._tempDataBuffer or not transport.connected:  # noqa: SLF001  # Twisted has no public name for these
        transport.write(data)
        return False
    sent = transport.writeSomeData(data)
    if isinstance(sent, int) and sent == len(data):
        return True
    transport.write(data[sent:] if isinstance(sent, int) and sent > 0 else data)
    return False
