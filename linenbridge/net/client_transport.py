"""The socket of one client's connection: looks at what is unread, and ends the connection.

This module owns the system calls that end a connection. It does not decide when one ends.
"""

from __future__ import annotations

import array
import fcntl
import termios
from contextlib import suppress
from socket import MSG_MORE, SHUT_WR

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure

from linenbridge.net import sockets


class ClientTransport(tcp.Server):
    """An accepted socket.

    Its two directions end one after the other: a client whose command crosses the end reads the end of the
    stream. A reset would look like the end of a command that has been read.
    """

    is_read_held = False

    def hold_reading(self) -> None:
        """Read nothing until `release_reading`, whatever the producer does."""
        self.is_read_held = True
        self.stopReading()

    def release_reading(self) -> None:
        """Read again, unless the client does not read its responses."""
        self.is_read_held = False
        if self.connected and not self.disconnecting and not self.producerPaused:
            self.startReading()

    def resumeProducing(self) -> None:
        """Twisted: read again, as the client has read its responses, unless reading is held."""
        if not self.is_read_held:
            super().resumeProducing()

    def has_unread(self) -> bool:
        """Return whether there is something to read: bytes, the end of the stream, or an error."""
        return sockets.has_unread(self.socket)

    def undelivered(self) -> int:
        """Return how many bytes the client's system has not received yet."""
        waiting = len(self.dataBuffer) - self.offset + self._tempDataLen
        queued = array.array("i", [0])
        with suppress(OSError):
            fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, queued)
        return waiting + queued[0]

    def has_peer_closed(self) -> bool:
        """Return whether the client has closed its connection, whatever is unread before the end."""
        return sockets.has_peer_closed(self.socket)

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
