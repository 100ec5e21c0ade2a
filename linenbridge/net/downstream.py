"""Clients: the listener, their connections, and the order in which answers go out.

Owns the listening port, every client connection, the answers owed on each, and the bytes of commands that
have not wholly come. It must never answer an RPC by itself: what is no RPC gets its `-ERR` or `+PONG` here,
an RPC's answer comes from the loop. Nobody's silence, noise or haste may cost another client its place.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from linenbridge.interface import Idempotency, Method, Outcome
from linenbridge.net import resp
from linenbridge.net.upstream import Descriptors
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import (
    REJECTED,
    AttemptTransport,
    DecisionLoop,
    ActiveRequest,
    read_out,
    untouched,
    watch_end,
    write_out,
)

LAST_CONNECTIONS = 0.4 + 0.05  # PROTOCOL, Figures and rules: how long after SIGTERM new ones come, in s
LAST_COMMANDS = 0.7  # PROTOCOL, Figures: what comes later than this after SIGTERM may be met by SIGKILL, in s
IDLE_TIMEOUT = 2_000_000  # LATER, The long day: a connection with no open RPC may be closed after 2 s
BATCH = 21  # Twisted's Port, doRead: after a batch of one it accepts up to twenty more in the next
COMMANDS = {b"SVC.QUERY": True, b"SVC.SUBMIT": False}  # whether they take methods that may run again


# The life of a client's connection, one way only: commands are read; what is owed is still answered, nothing
# more is read; our sending has ended and the client's end is waited for.
OPEN, DRAINING, LINGERING = range(3)


class InvalidCommandError(ValueError):
    """A command that is no RPC; the text goes to the client."""


class PendingResponse:
    """The place of one command in the order of answers."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.words: Sequence[bytes | memoryview] | None = None
        self.taken: ActiveRequest | None = None

    def final(self, outcome: str, retry_after: int, value: Sequence[bytes | memoryview]) -> None:
        """An RPC's one answer, worded as PROTOCOL has it."""
        if outcome == Outcome.OK:
            self.answer(value)
        elif outcome == REJECTED:
            wait = -(-retry_after // 1000)
            self.answer((b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n",))
        else:
            self.answer((b"-ERR aborted\r\n",))

    def answer(self, words: Sequence[bytes | memoryview]) -> None:
        self.words, self.taken = words, None
        self.client.flush()


class Client(Protocol):
    """One client's connection: commands in, answers out in the same order."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = resp.Reader(commands=True)
        self.pending: deque[PendingResponse] = deque()
        self.state = OPEN
        self.asked = self.reading = False
        self.held, self.since = 0, 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # A client that does not read its answers is not read from either.
        self.transport.registerProducer(self.transport, True)
        self.clients.waits(self)

    def dataReceived(self, data: bytes) -> None:
        if self.state != OPEN:
            return
        self.reading = True  # It must not be let go while commands lie in what was read.
        try:
            for words in self.reader.feed(data):
                response = PendingResponse(self)
                self.pending.append(response)
                try:
                    self.clients.command(response, words)
                    self.asked = True
                except InvalidCommandError as error:
                    self.clients.log.count("unfit")
                    response.answer((f"-ERR {error}\r\n".encode(),))
        except resp.MalformedError as error:
            self.clients.log.rarely("malformed", "client", error=str(error))
            self.reading = False
            self.refuse(str(error))
        self.reading = False
        if self.state == OPEN:
            self.clients.set_buffered(self, self.reader.size)
        if self.state == OPEN and not self.pending:
            self.clients.waits(self)
        if self.clients.closing and not self.reader.size:
            self.leave()

    def refuse(self, error: str) -> None:
        """The one error line, after all that is owed before it, and the close. What still comes is not read:
        it can't be, or has come too late."""
        if self.state == OPEN:
            self._drain()
            self.pending.append(response := PendingResponse(self))
            response.answer((f"-ERR {error}\r\n".encode(),))

    def leave(self) -> None:
        """Close as soon as nothing is owed."""
        if self.state == OPEN:
            self._drain()
            self.flush()

    def _drain(self) -> None:
        """No command is read any more: what comes was not taken, its client sends it once more elsewhere."""
        self.state, self.reader = DRAINING, resp.Reader(commands=True)
        self.clients.set_buffered(self, 0)
        watch_end(self.transport)

    def flush(self) -> None:
        """Answers go out in the order of the commands, each once all before it have gone."""
        while self.pending and self.pending[0].words is not None:
            write_out(self.transport, b"".join(self.pending.popleft().words or ()))
        if self.pending or self.reading or self.state == LINGERING:
            return
        if self.state == DRAINING:
            # Only our sending ends. A close with something unread would be a reset, and that takes with it
            # what the client has not read yet: the answers just written.
            self.state = LINGERING
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
        self.clients.waits(self)

    def connectionLost(self, reason: Any) -> None:
        """The one place where a client's connection and all that was owed on it are given back."""
        for response in self.pending:
            if response.taken is not None:
                taken, response.taken = response.taken, None
                self.clients.loop.client_disconnected(taken)
        self.pending.clear()
        self.clients.closed(self)


class Clients(Factory):
    """All clients of one gateway."""

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        instances: AttemptTransport,
        methods: dict[str, Method],
        longest: int,
        max_buffered: int,
        descriptors: Descriptors,
        pool: int,
        log: Log,
    ) -> None:
        self.loop, self.reactor, self.descriptors, self.log = loop, reactor, descriptors, log
        self.instances = instances
        self.pool = pool  # Its usual clients hold so many connections at most: an idle one keeps an RPC out.
        self.methods = {name.encode(): method for name, method in methods.items()}
        self.longest, self.held, self.max_buffered = longest, 0, max_buffered
        self.open: dict[Client, None] = {}
        # Connections with no open RPC, each kind in the order in which they came to be so: those that have
        # asked nothing yet or half of something, those that have asked before, and those told to go.
        self.silent: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}
        self.closing_clients: dict[Client, None] = {}
        self.timer: Any = None
        self.port: Any = None
        self.paused = self.closing = False
        self.stopped: Callable[[], None] | None = None

    def listen(self, reactor: Any, host: str, port: int) -> None:
        self.port = reactor.listenTCP(port, self, backlog=self.descriptors.most, interface=host)

    def buildProtocol(self, addr: Any) -> Client | None:
        if not self.descriptors.take():
            self.log.count("client.turned_away")
            return None
        self.log.count("client.connected")
        self.port.numberAccepts = 1
        if not self.paused and self._is_saturated():
            self._evict_idle()
        client = Client(self)
        self.open[client] = None
        return client

    # ---- connections with no open RPC --------------------------------------------------------------

    def waits(self, client: Client) -> None:
        """Nothing is owed on it; one that goes on with what it has half sent stands where it stood."""
        kind = self.silent if client.state == OPEN else self.closing_clients
        if client not in self.open:
            return
        if client.asked and not client.reader.size and client.state == OPEN:
            kind = self.idle
        elif client in kind:
            return
        self.busy(client)
        kind[client], client.since = None, self.loop.now()
        if kind is self.idle and self.paused:
            self._evict_idle()
        elif kind is not self.idle and self.timer is None:
            self.timer = self.reactor.callLater(IDLE_TIMEOUT / 1e6, self._sweep)

    def busy(self, client: Client) -> None:
        for kind in (self.silent, self.idle, self.closing_clients):
            kind.pop(client, None)

    def _sweep(self) -> None:
        """Who has asked nothing, or half of something, for the whole time is told so and closed; who was told
        and has not closed its end is cut off. The others of `idle` go only where room is short."""
        before = self.loop.now() - IDLE_TIMEOUT
        for client in [client for client in self.silent if client.since <= before]:
            if not client.reader.size and not untouched(client.transport):
                continue  # After a stall: what it asked has come and is read next.
            self.log.count("client.silent")
            client.refuse("nothing was asked in time")
        for client in [client for client in self.closing_clients if client.since <= before]:
            self.log.count("client.cut_off")
            client.transport.abortConnection()
        if self.paused:
            self._evict_idle()
        first = [next(iter(kind)).since for kind in (self.silent, self.closing_clients) if kind]
        self.timer = None  # Not before: what was done above would have set one too.
        if first or self.paused:
            due = min(first, default=self.loop.now()) + IDLE_TIMEOUT - self.loop.now()
            self.timer = self.reactor.callLater(max(0, due) / 1e6, self._sweep)

    def set_buffered(self, client: Client, size: int) -> None:
        """Bytes of commands half read, over all clients: whoever holds most goes where they are too many."""
        self.held, client.held = self.held + size - client.held, size
        while self.held > self.max_buffered:
            most = max(self.open, key=lambda other: other.held)
            self.held, most.held = self.held - most.held, 0
            self.log.count("client.too_much")
            most.refuse("too much of a command without its end")

    def _descriptors_short(self, more: int = 0) -> bool:
        return self.descriptors.left() + more <= BATCH

    def _is_saturated(self) -> bool:
        return len(self.open) - len(self.closing_clients) >= self.pool - BATCH or self._descriptors_short(
            len(self.closing_clients)
        )

    def _evict_idle(self) -> None:
        """What is accepted is owed an answer, and a whole batch may come at once. Those idle for the time
        go, then silent ones, those that have just had their answer, and those slow with a command, the oldest
        of each first and none with something unread: PROTOCOL lets a gateway close between RPCs, and a crowd
        of clients that ask once and stay would else keep all others out. Where these are too few, new ones
        wait in the system's queue, where time runs on."""
        before = self.loop.now() - IDLE_TIMEOUT
        for client in list(self.closing_clients)[: max(0, BATCH + 1 - self.descriptors.left())]:
            client.transport.abortConnection()
        free = [client for client in self.idle if client.since <= before]
        free += [client for client in self.silent if not client.reader.size]
        free += [client for client in self.idle if client.since > before]
        free += [client for client in self.silent if client.reader.size]
        for client in free:
            if not self._is_saturated():
                break
            if untouched(client.transport):
                self.log.count("client.spared")
                # To one that has asked before an error line would pass as the answer to what it asks next.
                client.leave() if client in self.idle else client.refuse("room is short, nothing was asked")
        if not self.closing and self.paused != self._descriptors_short():
            self.paused = not self.paused
            (self.port.stopReading if self.paused else self.port.startReading)()
            self.log.rarely("accept", "paused" if self.paused else "resumed", clients=len(self.open))
        if self.paused and self.timer is None:
            self.timer = self.reactor.callLater(IDLE_TIMEOUT / 1e6, self._sweep)

    def closed(self, client: Client) -> None:
        self.open.pop(client, None)
        self.busy(client)
        self.set_buffered(client, 0)
        self.descriptors.give_back()
        if self.paused:
            self._evict_idle()
        self._last()

    def command(self, response: PendingResponse, words: Any) -> None:
        """One command: an RPC goes to the loop, all else is answered here."""
        self.busy(response.client)
        name = bytes(words[0]).upper() if words else b""
        again = COMMANDS.get(name)
        if again is None:
            if name == b"PING":
                response.answer((b"+PONG\r\n",))
                return
            raise InvalidCommandError("unknown command")
        if not 4 <= len(words) <= 5:
            raise InvalidCommandError("a command holds a key, an id, fields and at most one body")
        # Copied, as they outlive the buffer: further picks need them.
        key, rpc, fields = bytes(words[1]), bytes(words[2]).decode("latin-1"), bytes(words[3]).split(b",")
        try:
            named = dict([field.split(b"=", 1) for field in fields])
        except ValueError:
            raise InvalidCommandError("the fields are no names and values") from None
        wait, work, tenant = named.get(b"d", b""), named.get(b"h", b""), named.get(b"t", b"")
        method = self.methods.get(named.get(b"c", b""))
        if method is None:
            raise InvalidCommandError("no such method" if b"c" in named else "the field c is missing")
        if again != (method.idempotency == Idempotency.IDEMPOTENT):
            raise InvalidCommandError("this method goes by the other command")
        if not (wait.isdigit() and len(wait) <= resp.MAX_DIGITS):
            raise InvalidCommandError("the field d is missing or no number")
        if rpc in self.loop.open or not rpc:
            raise InvalidCommandError("this id is in use" if rpc else "the id is empty")
        if work and not (work.isdigit() and len(work) <= resp.MAX_DIGITS):
            raise InvalidCommandError("the field h is no number")
        passed = b"".join([field + b"," for field in fields if field[:2] != b"d="])
        head = (b"SVC.QUERY" if again else b"SVC.SUBMIT", key, rpc.encode("latin-1"))
        command = resp.ForwardedCommand((*head, *map(bytes, words[4:])), passed)
        response.taken = ActiveRequest(rpc, method.name, self.instances, command, response.final)
        # Nobody waits longer than the settings say; a longer time would only keep what is forgotten open.
        ttl = min(int(wait) * 1000, self.longest)
        hint = int(work) if work else None
        self.loop.accept(response.taken, ttl, hint, tenant.decode("utf-8", "replace"), key.decode("latin-1"))

    # ---- the stop --------------------------------------------------------------------------------

    def stop(self, reactor: Any, stopped: Callable[[], None]) -> None:
        """Serve on while new connections may still come, then let go of each as soon as nothing is owed."""
        if self.stopped is not None:
            return
        self.stopped = stopped
        if self.port is None:
            self.closing = True
            self._last()
        else:
            reactor.callLater(LAST_CONNECTIONS, self._close)

    def _close(self) -> None:
        """Whoever waits to be accepted is; what lies unread is taken. A connection on which nothing has been
        asked yet, or half of something, has a command on the way: it is waited for while that can still be
        answered."""
        self.port.numberAccepts = self.descriptors.left()
        self.port.doRead()
        self.port.stopListening()
        self.closing, self.paused = True, False
        for client in list(self.open):
            if not client.pending and not untouched(client.transport):
                read_out(client.transport)
            if client.asked and not client.reader.size:
                client.leave()
        self.reactor.callLater(LAST_COMMANDS - LAST_CONNECTIONS, self._close_all)
        self._last()

    def _close_all(self) -> None:
        for client in list(self.open):
            client.leave()
        self._last()

    def _last(self) -> None:
        if self.stopped is not None and self.closing and not self.open:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            stopped, self.stopped = self.stopped, lambda: None
            stopped()
