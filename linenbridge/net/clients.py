"""Clients: the listener, their connections, and the order in which answers go out.

Owns the listening port, every client connection and the answers owed on each. It must never answer an RPC
by itself: what is no RPC gets its `-ERR` or `+PONG` here, an RPC's answer comes from the loop.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from linenbridge import interface as face
from linenbridge.net import resp
from linenbridge.net.instances import Descriptors
from linenbridge.net.log import Log
from linenbridge.net.loop import Loop, Taken, Words, write_out

LAST_CONNECTIONS = 0.4 + 0.05  # PROTOCOL, Figures and rules: how long after SIGTERM new ones come, in s
BATCH_STEP = 20  # Twisted's Port, doRead: after a full batch it accepts so many more in the next
COMMANDS = {b"SVC.QUERY": True, b"SVC.SUBMIT": False}  # whether they take methods that may run again


class UnfitError(ValueError):
    """A command that is no RPC; the text goes to the client."""


class Owed:
    """The place of one command in the order of answers."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.words: Words | None = None
        self.taken: Taken | None = None

    def answer(self, words: Words) -> None:
        self.words, self.taken = words, None
        self.client.flush()


class Client(Protocol):
    """One client's connection: commands in, answers out in the same order."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = resp.Reader(commands=True)
        self.owed: deque[Owed] = deque()
        self.leaving = False
        self.last = clients.loop.now()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # A client that does not read its answers is not read from either.
        self.transport.registerProducer(self.transport, True)
        self.clients.open.add(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            for words in self.reader.feed(data):
                owed = Owed(self)
                self.owed.append(owed)
                self.last = self.clients.loop.now()
                try:
                    self.clients.command(owed, words)
                except UnfitError as error:
                    self.clients.log.count("unfit")
                    owed.answer((f"-ERR {error}\r\n".encode(),))
        except resp.MalformedError as error:
            self.clients.log.malformed("client", error)
            self.transport.pauseProducing()
            self.owed.append(owed := Owed(self))
            self.leaving = True
            owed.answer((f"-ERR {error}\r\n".encode(),))

    def flush(self) -> None:
        """Answers go out in the order of the commands, each once all before it have gone."""
        while self.owed and self.owed[0].words is not None:
            write_out(self.transport, b"".join(self.owed.popleft().words or ()))
        if self.leaving and not self.owed:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def leave(self) -> None:
        """Close as soon as nothing is owed."""
        self.leaving = True
        self.flush()

    def connectionLost(self, reason: Any) -> None:
        """The one place where a client's connection and all that was owed on it are given back."""
        for owed in self.owed:
            if owed.taken is not None:
                taken, owed.taken = owed.taken, None
                self.clients.loop.gone(taken)
        self.owed.clear()
        self.clients.closed(self)


class Clients(Factory):
    """All clients of one gateway."""

    def __init__(
        self, loop: Loop, methods: dict[str, face.Method], longest: int, descriptors: Descriptors, log: Log
    ) -> None:
        self.loop, self.longest, self.descriptors, self.log = loop, longest, descriptors, log
        self.methods = {name.encode(): method for name, method in methods.items()}
        self.open: set[Client] = set()
        self.port: Any = None
        self.paused, self.going = False, 0
        self.stopped: Callable[[], None] | None = None

    def listen(self, reactor: Any, host: str, port: int) -> None:
        self.port = reactor.listenTCP(port, self, backlog=self.descriptors.most, interface=host)

    def buildProtocol(self, addr: Any) -> Client | None:
        if not self.descriptors.take():
            self.log.count("client.turned_away")
            return None
        self.log.count("client.connected")
        if not self.paused and self.descriptors.left() + self.going <= self._batch():
            self._make_room()
        return Client(self)

    def _make_room(self) -> None:
        """What is accepted is owed an answer, and a whole batch may come at once. Idle connections go, the
        oldest first; only where too few are do new ones wait in the system's queue, where time runs on. One
        used within a deadline is not idle: where this gateway lags, its next RPC may lie unread in it."""
        before = self.loop.now() - self.longest
        idle = [c for c in self.open if not c.owed and not c.leaving and c.last < before]
        for client in sorted(idle, key=lambda client: client.last)[: self._batch()]:
            self.log.count("client.spared")
            self.going += 1
            client.leave()
        if self.descriptors.left() + self.going <= self._batch():
            self.paused = True
            self.port.stopReading()
            self.log.event("accept.paused", clients=len(self.open))
        self.port.numberAccepts = 1

    def _batch(self) -> int:
        return self.port.numberAccepts + BATCH_STEP

    def closed(self, client: Client) -> None:
        self.open.discard(client)
        self.descriptors.give_back()
        self.going -= client.leaving and self.going > 0
        if self.paused and self.port is not None and self.descriptors.left() > self._batch():
            self.paused = False
            self.port.startReading()
            self.log.event("accept.resumed", clients=len(self.open))
        self._last()

    def command(self, owed: Owed, words: Any) -> None:
        """One command: an RPC goes to the loop, all else is answered here."""
        name = bytes(words[0]).upper() if words else b""
        again = COMMANDS.get(name)
        if again is None:
            if name == b"PING":
                owed.answer((b"+PONG\r\n",))
                return
            raise UnfitError("unknown command")
        if not 4 <= len(words) <= 5:
            raise UnfitError("a command holds a key, an id, fields and at most one body")
        # Copied, as they outlive the buffer: further picks need them.
        key, rpc, fields = bytes(words[1]), bytes(words[2]).decode("latin-1"), bytes(words[3]).split(b",")
        try:
            named = dict([field.split(b"=", 1) for field in fields])
        except ValueError:
            raise UnfitError("the fields are no names and values") from None
        wait, work, tenant = named.get(b"d", b""), named.get(b"h", b""), named.get(b"t", b"")
        method = self.methods.get(named.get(b"c", b""))
        if method is None:
            raise UnfitError("no such method" if b"c" in named else "the field c is missing")
        if again != (method.effect == face.IDEMPOTENT):
            raise UnfitError("this method goes by the other command")
        if not (wait.isdigit() and len(wait) <= resp.DIGITS_MOST):
            raise UnfitError("the field d is missing or no number")
        if rpc in self.loop.open or not rpc:
            raise UnfitError("this id is in use" if rpc else "the id is empty")
        passed = b"".join([field + b"," for field in fields if field[:2] != b"d="])
        head = (b"SVC.QUERY" if again else b"SVC.SUBMIT", key, rpc.encode("latin-1"))
        owed.taken = Taken(rpc, method.name, (*head, *map(bytes, words[4:])), passed, owed.answer)
        hint = int(work) if work.isdigit() and len(work) <= resp.DIGITS_MOST else None
        self.loop.take(owed.taken, int(wait) * 1000, hint, tenant.decode("latin-1"), key.decode("latin-1"))

    # ---- the stop --------------------------------------------------------------------------------

    def stop(self, reactor: Any, stopped: Callable[[], None]) -> None:
        """Serve on while new connections may still come, then let go of each as soon as nothing is owed."""
        if self.stopped is None:
            self.stopped = stopped
            reactor.callLater(LAST_CONNECTIONS, self._close)

    def _close(self) -> None:
        port, self.port = self.port, None
        port.stopListening()
        for client in list(self.open):
            client.leave()
        self._last()

    def _last(self) -> None:
        if self.stopped is not None and self.port is None and not self.open:
            stopped, self.stopped = self.stopped, lambda: None
            stopped()
