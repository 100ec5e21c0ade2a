"""Client of the platform: receives the rollout feed from it, and sends this gateway's votes to it.

This module owns the watch of the feed and one connection for each vote, so that no vote is sent on a
connection that the platform has closed. It neither creates nor retries votes: it reports the result of
each vote to the decision module, which decides whether to vote again.
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
    """State of the newest build's rollout."""

    version: int
    step: int
    status: Literal["testing", "recalling", "live", "recalled"]
    max_weight: float


class Tally(Struct, rename="camel"):
    """The platform's counts for one method and one build."""

    version: int
    kind: str
    requests: int
    failures: int
    avg_ms: float = 0.0
    observed_ago_ms: float = 0.0


class Flag(Struct, rename="camel"):
    """A client's report of a wrong response by an instance."""

    pod: str
    kind: str
    observed_ago_ms: float = 0.0


class FeedMessage(Struct):
    """One message of the feed; a keep-alive has an empty type."""

    type: Literal["", "stage", "tally", "flag"] = ""
    object: msgspec.Raw = msgspec.Raw(b"{}")


class VoteError(Struct):
    """The platform's reason for rejecting a vote."""

    error: Literal["limit", "moot", "error", "malformed"]


class Response(NamedTuple):
    """The complete response to a vote."""

    status: int
    body: bytes


class VoteCall(Protocol):
    """One request on a separate connection; the Deferred `response` fires with the response or a failure."""

    transport: Any  # an ITCPTransport; mypy can't read its methods

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.parser = http.ResponseParser()
        self.body = b""
        self.response: Deferred[Response] = Deferred(lambda _: self.transport.abortConnection())

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:
        """Read the response; the call fails if the response is malformed or too long."""
        try:
            for part in self.parser.feed(data):
                self.body += part.body
                if len(self.body) > http.MAX_HEAD_BYTES:
                    raise MalformedError(f"the response to a vote has more than {http.MAX_HEAD_BYTES} bytes")
                if part.last and not self.response.called:
                    self.response.callback(Response(part.status, self.body))
                    self.transport.loseConnection()
        except MalformedError as error:
            if not self.response.called:
                self.response.errback(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Fail the call if the response is not complete."""
        if not self.response.called:
            self.response.errback(reason)


class Platform:
    """Reports the rollout feed to the decision module, and sends the module's votes to the platform.

    `connect_timeout` and `response_timeout` are in microseconds, `max_length` in bytes of one message of the
    feed. `open_watch` creates a watch from its settings.
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
        """Use another address for the feed and later votes; a vote in flight stays at the former address."""
        self.address = address
        self.feed.move(address)

    # ---- the feed --------------------------------------------------------------------------------

    def on_message(self, line: memoryview) -> None:
        """Report one message of the feed to the decision module.

        Raises MalformedError, which ends the stream, if the message can't be parsed.
        """
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
        """Report the state of the rollout to the decision module.

        If the state has changed, the module decides again on all attempts that have not been sent: their
        connections may be established only after a lower cap has taken effect.
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
        """Send one vote to the platform, and report its result to the decision module exactly once."""
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
            self._on_not_counted("vote.unanswered", is_stale=False)  # The platform may have counted the vote.
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
