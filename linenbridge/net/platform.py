"""The platform: its news as they come, and this gateway's votes.

Owns the feed's stream and one connection a vote, so that no vote meets a connection that the platform has
closed. It must never word or repeat a vote by itself: the module hears what became of each and decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal

import msgspec
import orjson
from msgspec import Struct
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.interface import Method, RolloutPhase, Vote
from linenbridge.net import http
from linenbridge.net.watch_stream import HTTP_OK, Follow
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.resp import MalformedError

SIGN_OF_LIFE = 1.0  # PROTOCOL, The platform: every second a sign of life comes
MOOT = 409
PHASES = {
    "testing": RolloutPhase.ON_TRIAL,
    "recalling": RolloutPhase.ROLLING_BACK,
    "live": RolloutPhase.RELEASED,
    "recalled": RolloutPhase.WITHDRAWN,
}
VERDICTS = {Vote.NONE: "none", Vote.PROMOTE: "on", Vote.HOLD: "hold", Vote.ROLL_BACK: "back"}


class News(Struct, rename="camel"):
    """How the newest build stands."""

    version: int
    step: int
    status: Literal["testing", "recalling", "live", "recalled"]
    max_weight: float


class Tally(Struct, rename="camel"):
    """What the platform counted of one method at one build."""

    version: int
    kind: str
    requests: int
    failures: int
    avg_ms: float = 0.0
    observed_ago_ms: float = 0.0


class Flag(Struct, rename="camel"):
    """A wrong answer that a client has reported."""

    pod: str
    kind: str
    observed_ago_ms: float = 0.0


class Told(Struct):
    """One line of the feed; a sign of life holds nothing."""

    type: Literal["", "stage", "tally", "flag"] = ""
    object: msgspec.Raw = msgspec.Raw(b"{}")


class Refusal(Struct):
    """Why a vote was not taken."""

    error: Literal["limit", "moot", "error", "malformed"]


class Call(Protocol):
    """One request on a connection of its own; `answer` fires with its status and body, or fails."""

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.answers, self.body = http.Answers(), b""
        self.answer: Deferred = Deferred(lambda _: self.transport.abortConnection())

    def connectionMade(self) -> None:
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:
        try:
            for piece in self.answers.feed(data):
                self.body += piece.body
                if len(self.body) > http.HEAD_MOST:
                    raise MalformedError("an answer to a vote is too long")
                if piece.last and not self.answer.called:
                    self.answer.callback((piece.status, self.body))
                    self.transport.loseConnection()
        except MalformedError as error:
            if not self.answer.called:
                self.answer.errback(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        if not self.answer.called:
            self.answer.errback(reason)


class Platform:
    """What the platform tells, handed to the module; what the module votes, handed to the platform."""

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        address: tuple[str, int],
        methods: dict[str, Method],
        connect_wait: int,
        answer_wait: int,
        log: Log,
        follow: Callable[..., Follow],
    ) -> None:
        self.loop, self.reactor, self.address, self.methods, self.log = loop, reactor, address, methods, log
        self.connect_wait, self.answer_wait = connect_wait / 1e6, answer_wait / 1e6
        self.news: News | None = None
        self.feed = follow(name="feed", path=lambda: "/api/feed", told=self.told, sign=SIGN_OF_LIFE)

    def start(self) -> None:
        self.feed.start()

    def move(self, address: tuple[str, int]) -> None:
        """News and votes go by another address; a vote that is out ends where it went."""
        self.address = address
        self.feed.move(address)

    # ---- news ------------------------------------------------------------------------------------

    def told(self, line: memoryview) -> None:
        """One that can be read whole is true; another ends its stream, and the next begins with the stage."""
        try:
            told = msgspec.json.decode(line, type=Told)
            match told.type:
                case "stage":
                    self.stands(msgspec.json.decode(told.object, type=News), vote=False)
                case "tally":
                    self._tally(msgspec.json.decode(told.object, type=Tally))
                case "flag":
                    self._flag(msgspec.json.decode(told.object, type=Flag))
        except msgspec.DecodeError as error:
            raise MalformedError(str(error)) from None

    def stands(self, news: News, vote: bool) -> None:
        """How the newest build stands. What was decided when it stood otherwise and has not left yet is
        decided anew: its connection may come up only after a lower cap binds."""
        phase = PHASES[news.status]
        if news != self.news:
            self.news = news
            self.loop.reschedule_unsent()
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_rollout_update(
                now,
                news.version,
                news.step,
                phase,
                news.max_weight,
                is_vote_response=vote,
                is_valid=True,
                is_stale=False,
            )
        )

    def _tally(self, tally: Tally) -> None:
        ended = self.loop.now() - round(tally.observed_ago_ms * 1000)
        took = round(tally.avg_ms * 1000)
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_tally(
                now, tally.version, tally.kind, tally.requests, tally.failures, took, ended
            )
        )

    def _flag(self, flag: Flag) -> None:
        sent = self.loop.now() - round(flag.observed_ago_ms * 1000)
        if flag.kind in self.methods:
            self.loop.enqueue(lambda now: self.loop.decision_module.on_flag(now, flag.pod, flag.kind, sent))

    # ---- votes -----------------------------------------------------------------------------------

    def vote(self, build: int, stage: int, verdict: int) -> None:
        """One call; whatever comes of it, the module hears it once."""
        body = orjson.dumps({"version": build, "step": stage, "vote": VERDICTS[verdict]})
        host = f"{self.address[0]}:{self.address[1]}"
        request = http.request("POST", "/api/ballots", host, body)
        asked = ClientCreator(self.reactor, Call, request).connectTCP(
            *self.address, timeout=self.connect_wait
        )
        asked.addCallback(lambda call: call.answer)
        asked.addTimeout(self.answer_wait, self.reactor)
        asked.addCallbacks(self._answered, self._unanswered)
        asked.addErrback(lambda failure: self.log.failed("vote", failure.value))

    def _answered(self, answer: tuple[int, bytes]) -> None:
        status, body = answer
        try:
            if status == HTTP_OK:
                self.stands(msgspec.json.decode(body, type=News), vote=True)
                self.log.count("vote.counted")
                return
            msgspec.json.decode(body, type=Refusal)
        except msgspec.DecodeError as error:
            self.log.rarely("malformed", "vote", error=str(error))
            self._uncounted("vote.unanswered", False)  # It may have counted.
            return
        self._uncounted("vote.moot" if status == MOOT else f"vote.status_{status}", status == MOOT)

    def _unanswered(self, failure: Any) -> None:
        if failure.check(MalformedError):
            self.log.rarely("malformed", "vote", error=str(failure.value))
        self._uncounted("vote.unanswered", False)

    def _uncounted(self, what: str, moot: bool) -> None:
        self.log.count(what)
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_rollout_update(
                now, 0, 0, RolloutPhase.ON_TRIAL, 0.0, is_vote_response=True, is_valid=False, is_stale=moot
            )
        )
