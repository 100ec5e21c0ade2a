"""The listening port: accepts a connection only if there is room for it, whatever system call fails."""

from __future__ import annotations

from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM, errorcode
from typing import Any, Protocol

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.protocol import Protocol as ConnectionProtocol
from twisted.python.failure import Failure

from linenbridge.logging.event_log import Log
from linenbridge.net.client_transport import ClientTransport
from linenbridge.net.sockets import has_peer_closed

MAX_ACCEPTED = 1_024  # connections accepted before other sockets are served; most may have been left
ACCEPT_RETRY = 0.02  # seconds after the system had no resources for a connection
EXHAUSTED = {EMFILE, ENFILE, ENOBUFS, ENOMEM}  # errors that last; all others are those of one connection


class ConnectionFactory(Protocol):
    """Makes the protocols of accepted connections."""

    log: Log

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted."""

    def on_pause(self) -> None:
        """Note that no connection is accepted until `resume`."""

    def buildProtocol(self, addr: Any) -> ConnectionProtocol:
        """Return the protocol of a connection that has been accepted."""


class Listener(tcp.Port):
    """A listening port whose connections are `ClientTransport`."""

    factory: Any  # a ConnectionFactory

    def __init__(self, reactor: Any, factory: ConnectionFactory, host: str, port: int, backlog: int) -> None:
        super().__init__(port, factory, backlog, host, reactor)  # type: ignore[arg-type]
        self.is_paused = False

    def doRead(self) -> None:
        """Accept connections; called by the reactor when some wait in the queue."""
        self.accept_queued()

    def accept_queued(self) -> bool:
        """Accept a batch of the connections in the queue; return whether the queue is empty.

        A connection that its client has left is closed at once: in an overload most of the queue are such.
        """
        for _ in range(MAX_ACCEPTED):
            if not self.factory.has_room():
                self._pause()
                return False
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                name = errorcode.get(error.errno or 0, str(error.errno))
                self.factory.log.event_sampled("accept", "failed", error=name)
                if error.errno in EXHAUSTED:
                    self._pause()
                    self.reactor.callLater(ACCEPT_RETRY, self.resume)
                    return False
                continue
            if has_peer_closed(accepted):
                self.factory.log.count("client.left_queue")
                accepted.close()
            else:
                self._serve(accepted, address)
        return False

    def _serve(self, accepted: Any, address: Any) -> None:
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        try:
            transport = ClientTransport(accepted, protocol, address, self, self.sessionno, self.reactor)
        except OSError as error:  # The system can't watch one more socket.
            accepted.close()
            protocol.connectionLost(Failure(error))
            self.factory.log.failed("accepting", error)
            return
        self.sessionno += 1
        protocol.makeConnection(transport)

    def _pause(self) -> None:
        if not self.is_paused:
            self.is_paused = True
            self.stopReading()
            self.factory.on_pause()

    def resume(self) -> None:
        """Accept connections again."""
        if self.is_paused and self.connected:
            self.is_paused = False
            self.startReading()

    def close(self) -> None:
        """Close the port now."""
        if self.connected:
            self.stopReading()
            self.connectionLost(Failure(CONNECTION_DONE))
