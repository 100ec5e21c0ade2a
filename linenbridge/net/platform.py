"""The platform: the rollout feed as it comes in, and this gateway's votes.

Owns the feed's watch and one connection for each vote, so that no vote meets a connection that the platform
has closed. It neither makes nor repeats a vote: the decision module learns what became of each, and decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import msgspec
import orjson
from msgspec import Struct
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.interface import Method, RolloutPhase, Vote
from linenbridge.logging.event_log import Log
from linenbridge.net import http
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.resp import MalformedError
from linenbridge.net.watch_stream import HTTP_OK, WatchSettings, WatchStream

KEEPALIVE_INTERVAL = 1.0  # seconds; PROTOCOL, The platform
HTTP_CONFLICT = 409
MICROSECONDS_PER_SECOND = 1e6
PHASES = {
    "testing": RolloutPhase.ON_TRIAL,
    "recalling": RolloutPhase.ROLLING_BACK,
    "live": RolloutPhase.RELEASED,
    "recalled": RolloutPhase.WITHDRAWN,
}
VOTES = {Vote.NONE: "none", Vote.PROMOTE: "on", Vote.HOLD: "hold", Vote.ROLL_BACK: "back"}


class RolloutStatus(Struct, rename="camel"):
    """The state of the newest build's rollout."""

    version: int
    step: int
    status: Literal["testing", "recalling", "live", "recalled"]
    max_weight: float


class Tally(Struct, rename="camel"):
    """The platform's counts of one method at one build."""

    version: int
    kind: str
    requests: int
    failures: int
    avg_ms: float = 0.0
    observed_ago_ms: float = 0.0


class Flag(Struct, rename="camel"):
    """A client's report of a wrong response."""

    pod: str
    kind: str
    observed_ago_ms: float = 0.0


class FeedMessage(Struct):
    """One line of the feed; a keep-alive is empty."""

    type: Literal["", "stage", "tally", "flag"] = ""
    object: msgspec.Raw = msgspec.Raw(b"{}")


class VoteError(Struct):
    """Why a vote was rejected."""

    error: Literal["limit", "moot", "error", "malformed"]


class Response(NamedTuple):
    """A complete response to a vote."""

    status: int
    body: bytes


class VoteCall(Protocol):
    """One request on a connection of its own; `response` fires with its response, or fails."""

    transport: Any  # ITCPTransport, whose methods mypy can't read

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.parser = http.ResponseParser()
        self.body = b""
        self.response: Deferred[Response] = Deferred(lambda _: self.transport.abortConnection())

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:
        """Read the response; one that is malformed or too long fails the call."""
        try:
            for part in self.parser.feed(data):
                self.body += part.body
                if len(self.body) > http.MAX_HEAD_BYTES:
                    raise MalformedError("a response to a vote is too long")
                if part.last and not self.response.called:
                    self.response.callback(Response(part.status, self.body))
                    self.transport.loseConnection()
        except MalformedError as error:
            if not self.response.called:
                self.response.errback(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Fail the call, unless it has its response."""
        if not self.response.called:
            self.response.errback(reason)


class Platform:
    """Reports the rollout feed to the decision module, and the module's votes to the platform.

    `connect_timeout` and `response_timeout` are microseconds; `open_watch` makes the watch of given settings.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        address: tuple[str, int],
        methods: dict[str, Method],
        connect_timeout: int,
        response_timeout: int,
        max_length: int,
        log: Log,
        open_watch: Callable[..., WatchStream],
    ) -> None:
        self.loop = loop
        self.reactor = reactor
        self.address = address
        self.methods = methods
        self.log = log
        self.connect_timeout = connect_timeout / MICROSECONDS_PER_SECOND
        self.response_timeout = response_timeout / MICROSECONDS_PER_SECOND
        self.status: RolloutStatus | None = None
        settings = WatchSettings("rollout_feed", KEEPALIVE_INTERVAL, connect_timeout, max_length)
        self.feed = open_watch(settings, path=lambda: "/api/feed", on_message=self.on_message)

    def start(self) -> None:
        """Open the feed."""
        self.feed.start()

    def move(self, address: tuple[str, int]) -> None:
        """Use another address for the feed and for votes; a vote in flight ends where it was sent."""
        self.address = address
        self.feed.move(address)

    # ---- the feed --------------------------------------------------------------------------------

    def on_message(self, line: memoryview) -> None:
        """Report one message; MalformedError where it can't be read, which ends the stream."""
        try:
            message = msgspec.json.decode(line, type=FeedMessage)
            match message.type:
                case "stage":
                    status = msgspec.json.decode(message.object, type=RolloutStatus)
                    self.on_rollout_status(status, is_vote_response=False)
                case "tally":
                    self._on_tally(msgspec.json.decode(message.object, type=Tally))
                case "flag":
                    self._on_flag(msgspec.json.decode(message.object, type=Flag))
        except msgspec.DecodeError as error:
            raise MalformedError(str(error)) from None

    def on_rollout_status(self, status: RolloutStatus, *, is_vote_response: bool) -> None:
        """Report the rollout's state.

        Attempts that were decided on in another state and are not sent yet are rescheduled: their connections
        may come up only after a lower cap binds.
        """
        phase = PHASES[status.status]
        if status != self.status:
            self.status = status
            self.loop.reschedule_unsent()
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_rollout_update(
                now,
                status.version,
                status.step,
                phase,
                status.max_weight,
                is_vote_response=is_vote_response,
                is_valid=True,
                is_stale=False,
            )
        )

    def _on_tally(self, tally: Tally) -> None:
        ended = self.loop.now() - round(tally.observed_ago_ms * 1000)
        duration = round(tally.avg_ms * 1000)
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_tally(
                now, tally.version, tally.kind, tally.requests, tally.failures, duration, ended
            )
        )

    def _on_flag(self, flag: Flag) -> None:
        sent = self.loop.now() - round(flag.observed_ago_ms * 1000)
        if flag.kind in self.methods:
            self.loop.enqueue(lambda now: self.loop.decision_module.on_flag(now, flag.pod, flag.kind, sent))

    # ---- votes -----------------------------------------------------------------------------------

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Send one vote; the module learns once what became of it."""
        body = orjson.dumps({"version": build, "step": stage, "vote": VOTES[vote]})
        host, port = self.address
        request = http.request("POST", "/api/ballots", f"{host}:{port}", body)
        response = ClientCreator(self.reactor, VoteCall, request).connectTCP(
            *self.address, timeout=self.connect_timeout
        )
        response.addCallback(lambda call: call.response)
        response.addTimeout(self.response_timeout, self.reactor)
        response.addCallbacks(self._on_response, self._on_no_response)
        response.addErrback(lambda failure: self.log.failed("vote", failure.value))

    def _on_response(self, response: Response) -> None:
        try:
            if response.status == HTTP_OK:
                status = msgspec.json.decode(response.body, type=RolloutStatus)
                self.on_rollout_status(status, is_vote_response=True)
                self.log.count("vote.counted")
                return
            msgspec.json.decode(response.body, type=VoteError)
        except msgspec.DecodeError as error:
            self.log.event_sampled("malformed", "vote", error=str(error))
            self._on_not_counted("vote.unanswered", is_stale=False)  # It may have counted.
            return
        is_stale = response.status == HTTP_CONFLICT
        self._on_not_counted(
            "vote.stale" if is_stale else f"vote.status_{response.status}", is_stale=is_stale
        )

    def _on_no_response(self, failure: Any) -> None:
        if failure.check(MalformedError):
            self.log.event_sampled("malformed", "vote", error=str(failure.value))
        self._on_not_counted("vote.unanswered", is_stale=False)

    def _on_not_counted(self, counter: str, *, is_stale: bool) -> None:
        self.log.count(counter)
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_rollout_update(
                now,
                0,
                0,
                RolloutPhase.ON_TRIAL,
                0.0,
                is_vote_response=True,
                is_valid=False,
                is_stale=is_stale,
            )
        )
