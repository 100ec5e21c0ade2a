"""The socket of one client's connection: looks at what is unread, and ends the connection.

This module owns the system calls that end a connection. It does not decide when one ends.
"""

from __future__ import annotations

import array
import fcntl
import socket
import termios
from contextlib import suppress
from socket import MSG_MORE, MSG_PEEK, SHUT_WR

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure


# States of a socket whose peer has closed, as TCP_INFO names them in its first byte (linux/tcp.h).
TIME_WAIT, CLOSED, CLOSE_WAIT, LAST_ACK, CLOSING = 6, 7, 8, 9, 11
PEER_CLOSED = frozenset({TIME_WAIT, CLOSED, CLOSE_WAIT, LAST_ACK, CLOSING})


def has_peer_closed(connection: socket.socket) -> bool:
    """Return whether the peer of a connection has closed it, whatever is unread before the end."""
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_CLOSED
    except OSError:
        return False


class ClientTransport(tcp.Server):
    """An accepted socket.

    Its two directions end one after the other: a client whose command crosses the end reads the end of the
    stream. A reset would look like the end of a command that has been read.
    """

    def has_unread(self) -> bool:
        """Return whether there is something to read: bytes, the end of the stream, or an error."""
        try:
            self.socket.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def undelivered(self) -> int:
        """Return how many bytes the client's system has not received yet."""
        waiting = len(self.dataBuffer) - self.offset + self._tempDataLen
        queued = array.array("i", [0])
        with suppress(OSError):
            fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, queued)
        return waiting + queued[0]

    def has_peer_closed(self) -> bool:
        """Return whether the client has closed its connection, whatever is unread before the end."""
        return has_peer_closed(self.socket)

    def send_last(self, data: bytes) -> None:
        """Send the last data and end the sending side.

        The end goes out in one segment with the data: a client that waits for a response before it sends the
        next command learns of both at once.
        """
        sent = 0
        if not self.dataBuffer and not self._tempDataBuffer:
            with suppress(OSError):
                sent = self.socket.send(data, MSG_MORE) if data else 0
        if sent < len(data):
            self.write(data[sent:])
        if self.dataBuffer or self._tempDataBuffer:
            self.loseWriteConnection()
            return
        with suppress(OSError):
            self.socket.shutdown(SHUT_WR)

    def close(self) -> None:
        """Close the socket now."""
        self.connectionLost(Failure(CONNECTION_DONE))
