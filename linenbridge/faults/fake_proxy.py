"""A stand-in proxy: asks a processor for each request, sends it where it is told, reports, retries.

Written from the published protocol. It can be told to lose patience, to reset, to fail open, to keep silent
and to lie, each at a request named beforehand. It must never help the processor: it shows no more than a
proxy would, and keeps a record of each word for the checker.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.faults.fake_world import LOOPBACK, World
from linenbridge.processor import wire_pb2 as wire
from linenbridge.processor.goaway_filter import GoAwayFilter

PROCESS = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ENDPOINT = "x-gateway-destination-endpoint"
AGAIN = "x-linenbridge-again"


@dataclass
class PlannedRequest:
    """One request of the day, with what the proxy does amiss on it."""

    id: str
    method: str
    at: float
    path: str
    verb: str
    fault: str = ""


@dataclass
class RequestRecord:
    """What became of one request: its final answers at the proxy, and where it was sent."""

    planned: PlannedRequest
    final_responses: list[tuple[float, str]] = field(default_factory=list)
    sent: list[tuple[float, str, int, bool]] = field(default_factory=list)  # when, node, build, by a ticket
    streams: int = 0
    # Of each stream's messages, answers beyond what is owed.
    unexpected_responses: list[int] = field(default_factory=list)
    # Each decision's time, from the intended time on.
    decision_times: list[float] = field(default_factory=list)
    statuses: list[str] = field(default_factory=list)


class Line(Protocol):
    """One connection to a processor."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding=None)
        )
        self.streams: dict[int, Stream] = {}
        self.goaways = GoAwayFilter()
        self.usable = False
        self.rest: dict[int, bytes] = {}
        self.flushing: Any = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 24)
        self.usable = True
        self.flush()

    def open(self, stream: Stream) -> None:
        number = self.h2.get_next_available_stream_id()
        self.h2.send_headers(number, [
            (b":method", b"POST"), (b":scheme", b"http"), (b":path", PROCESS), (b":authority", b"processor"),
            (b"te", b"trailers"), (b"content-type", b"application/grpc"),
        ])  # fmt: skip
        stream.number, stream.line = number, self
        self.streams[number] = stream

    def say(self, stream: Stream, message: wire.ProcessingRequest) -> None:
        data = message.SerializeToString()
        if self.streams.get(stream.number) is stream:
            self.h2.send_data(stream.number, b"\0" + len(data).to_bytes(4, "big") + data)
            self.soon()

    def half_close(self, stream: Stream) -> None:
        if self.streams.get(stream.number) is stream:
            self.h2.end_stream(stream.number)
            self.soon()

    def reset(self, stream: Stream) -> None:
        if self.streams.pop(stream.number, None) is not None:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(stream.number, h2.errors.ErrorCodes.CANCEL)
            self.soon()

    def soon(self) -> None:
        if self.flushing is None:
            self.flushing = self.proxy.world.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        self.flushing = None
        if data := self.h2.data_to_send():
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        for event in self.h2.receive_data(self.goaways.feed(data)):
            match event:
                case h2.events.DataReceived():
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    self._messages(event.stream_id, event.data)
                case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                    status = dict(event.headers).get(b"grpc-status")
                    if status is not None and (stream := self.streams.get(event.stream_id)) is not None:
                        stream.status = status.decode()
                case h2.events.StreamEnded() | h2.events.StreamReset():
                    if (stream := self.streams.pop(event.stream_id, None)) is not None:
                        stream.ended()
        if self.goaways.last_streams and self.usable:
            self.usable = False  # What is open runs to its end; new streams go by another connection.
            self.proxy.redial(self)
        self.flush()

    def _messages(self, number: int, data: bytes) -> None:
        buffer = self.rest.pop(number, b"") + data
        while len(buffer) >= 5 and len(buffer) >= 5 + int.from_bytes(buffer[1:5], "big"):
            length = int.from_bytes(buffer[1:5], "big")
            message, buffer = buffer[5 : 5 + length], buffer[5 + length :]
            if (stream := self.streams.get(number)) is not None:
                stream.heard(wire.ProcessingResponse.FromString(message))
        if buffer:
            self.rest[number] = buffer

    def connectionLost(self, reason: Any) -> None:
        self.usable = False
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream.ended()
        self.proxy.redial(self)


class Stream:
    """One attempt's stream."""

    def __init__(self, proxy: Proxy, record: RequestRecord, attempt: int, intended: float) -> None:
        self.proxy, self.record, self.attempt, self.intended = proxy, record, attempt, intended
        self.line: Line | None = None
        self.number = -1
        self.owed = 0
        self.status = ""
        self.phase = "asking"
        self.timer: Any = None
        self.outcome = ""

    def start(self, line: Line) -> None:
        self.line = line
        self.record.streams += 1
        line.open(self)
        request, message = self.record.planned, wire.ProcessingRequest()
        headers = message.request_headers.headers.headers
        for name, value in (
            (":method", request.verb), (":path", request.path), (":authority", "bookings"),
            (":scheme", "http"), ("x-request-id", request.id),
            ("x-envoy-attempt-count", str(self.attempt)), ("x-tenant", "t1"),
        ):  # fmt: skip
            headers.add(key=name, raw_value=value.encode())
        message.request_headers.end_of_stream = True
        self.owed += 1
        line.say(self, message)
        fault = self.record.planned.fault if self.attempt == 1 else ""
        if fault == "reset-before-read":
            line.reset(self)  # In the same write: the processor reads both at once.
            self.proxy.impatient(self)
            return
        patience = 0.0003 if fault == "impatient" else self.proxy.patience
        self.timer = self.proxy.world.reactor.callLater(patience, self._impatient)

    def _impatient(self) -> None:
        self.timer = None
        if self.phase == "asking" and self.line is not None:
            self.line.reset(self)
            self.phase = "over"
            self.proxy.impatient(self)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def heard(self, answer: wire.ProcessingResponse) -> None:
        self.owed -= 1
        if self.owed < 0:
            self.record.unexpected_responses.append(self.owed)
        kind = answer.WhichOneof("response")
        if self.phase == "asking":
            self._stop_timer()
            self.record.decision_times.append(self.proxy.world.clock() - self.intended)
            if kind == "immediate_response":
                self.phase = "refused"
                self.proxy.final(self.record, f"immediate {answer.immediate_response.status.code}")
            elif kind == "request_headers":
                self._go(answer)
        elif self.phase == "reporting":
            self.phase = "over"
            named = {o.header.key for o in answer.response_headers.response.header_mutation.set_headers}
            if self.line is not None:
                self.line.half_close(self)
            self.proxy.reported(self, AGAIN in named)

    def _go(self, answer: wire.ProcessingResponse) -> None:
        named = {
            option.header.key: option.header.raw_value.decode()
            for option in answer.request_headers.response.header_mutation.set_headers
        }
        self.phase = "upstream"
        fault = self.record.planned.fault if self.attempt == 1 else ""
        if fault == "leave-after-hand-out":
            # As if the answer had come too late: the proxy does not send, and tries once more.
            if self.line is not None:
                self.line.reset(self)
            self.proxy.impatient(self)
            return
        node = self.proxy.world.by_address.get(named.get(ENDPOINT, ""))
        if node is None:
            self.proxy.final(self.record, "no endpoint")
            return
        self.record.sent.append((self.proxy.world.clock(), node.name, node.build, True))
        self.timer = self.proxy.world.reactor.callLater(self.proxy.upstream_most, self._done, "timeout")
        node.serve(self.record.planned.id, self.record.planned.method, self._done)

    def _done(self, outcome: str) -> None:
        """The upstream has answered: report it, unless this proxy keeps silent or lies."""
        if self.phase != "upstream":
            return
        self._stop_timer()
        self.outcome = outcome
        fault = self.record.planned.fault if self.attempt == 1 else ""
        if fault == "silent" and self.line is not None:
            self.phase = "over"
            self.line.reset(self)
            self.proxy.final(self.record, outcome)
            return
        if self.line is None or self.line.streams.get(self.number) is not self:
            self.phase = "over"
            self.proxy.final(self.record, outcome)  # The processor has gone: what came is passed on.
            return
        status = {"ok": "200", "error": "500", "full": "503", "unreached": "503", "timeout": "504"}[outcome]
        message = wire.ProcessingRequest()
        headers = message.response_headers.headers.headers
        headers.add(key=":status", raw_value=(b"200" if self.proxy.rosy else status.encode()))
        if outcome == "full":
            headers.add(key="x-never-ran", raw_value=b"1")
        if outcome == "unreached":
            details = "upstream_reset_before_response_started{connection_failure}"
            message.attributes["envoy.filters.http.ext_proc"].update({"response.code_details": details})
        self.phase = "reporting"
        self.owed += 1
        self.line.say(self, message)

    def ended(self) -> None:
        """The processor has ended the stream, or is gone."""
        self._stop_timer() if self.phase == "asking" else None
        if self.status:
            self.record.statuses.append(self.status)
        if self.phase == "asking":
            self.phase = "over"
            self.proxy.unanswered(self)
        elif self.phase == "reporting":
            self.phase = "over"
            self.proxy.final(self.record, self.outcome)


class Proxy:
    """One proxy with its connections; `fail_open` says what it does without an answer."""

    def __init__(
        self, world: World, port: int, lines: int, *, patience: float = 1.0, attempts: int = 3,
        fail_open: bool = False, rosy: bool = False,
    ) -> None:  # fmt: skip
        self.world, self.port, self.count = world, port, lines
        self.patience, self.attempts, self.fail_open, self.rosy = patience, attempts, fail_open, rosy
        self.upstream_most = 2.0
        self.lines: list[Line] = []
        self.records: list[RequestRecord] = []
        self.next = 0
        self.closed = False
        self.dialling = 0
        self.ready: Callable[[], None] | None = None

    def dial(self) -> None:
        for _ in range(self.count):
            self._dial()

    def _dial(self) -> None:
        self.dialling += 1
        made = ClientCreator(self.world.reactor, Line, self).connectTCP(LOOPBACK, self.port, timeout=1.0)
        made.addCallbacks(self._up, self._not_up)

    def _up(self, line: Line) -> None:
        self.dialling -= 1
        self.lines.append(line)
        if self.ready is not None and len(self.lines) == self.count:
            ready, self.ready = self.ready, None
            ready()

    def _not_up(self, failure: Any) -> None:
        self.dialling -= 1
        if not self.closed:
            self.world.reactor.callLater(0.05, self._dial)

    def redial(self, line: Line) -> None:
        if line in self.lines:
            self.lines.remove(line)
            if not self.closed and len(self.lines) + self.dialling < self.count:
                self._dial()

    def close(self) -> None:
        self.closed = True
        for line in list(self.lines):
            line.transport.abortConnection()

    def start_request(self, request: PlannedRequest, intended: float) -> RequestRecord:
        record = RequestRecord(request)
        self.records.append(record)
        self._attempt(record, 1, intended)
        return record

    def _attempt(self, record: RequestRecord, attempt: int, intended: float) -> None:
        usable = [line for line in self.lines if line.usable]
        stream = Stream(self, record, attempt, intended)
        if not usable:
            stream.phase = "over"
            self.unanswered(stream)
            return
        self.next += 1
        stream.start(usable[self.next % len(usable)])

    def _retry(self, stream: Stream, wait: float = 0.002) -> bool:
        if stream.attempt >= self.attempts:
            return False
        later = self.world.reactor.callLater
        later(wait, lambda: self._attempt(stream.record, stream.attempt + 1, self.world.clock()))
        return True

    def impatient(self, stream: Stream) -> None:
        """No answer in time. A proxy that fails open sends the request by itself; another asks again."""
        stream.phase = "over"
        if self.fail_open:
            self._bypass(stream)
        elif not self._retry(stream):
            self.final(stream.record, "no answer")

    def unanswered(self, stream: Stream) -> None:
        """The processor has gone or refused the stream: the same, a little later."""
        if self.fail_open:
            self._bypass(stream)
        elif not self._retry(stream, 0.05):
            self.final(stream.record, "no answer")

    def _bypass(self, stream: Stream) -> None:
        record, up = stream.record, [node for node in self.world.nodes.values() if node.state == "active"]
        node = up[len(self.records) % len(up)]
        record.sent.append((self.world.clock(), node.name, node.build, False))

        def done(outcome: str) -> None:
            if outcome == "ok" or not self._retry(stream):
                self.final(record, outcome)

        node.serve(record.planned.id, record.planned.method, done)

    def reported(self, stream: Stream, again: bool) -> None:
        """The processor has heard. A failure is tried again where it says that there is more to come."""
        if stream.outcome == "ok" or not again or not self._retry(stream):
            self.final(stream.record, stream.outcome)

    def final(self, record: RequestRecord, outcome: str) -> None:
        record.final_responses.append((self.world.clock(), outcome))
