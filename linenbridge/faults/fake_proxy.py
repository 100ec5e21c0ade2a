"""A fake proxy: asks a processor about each request, sends it to the endpoint given, reports and retries.

The proxy is written from the published protocol. At requests planned beforehand it can lose patience, reset a
stream, fail open, send no report, or report success falsely. It sends only what a real proxy would send, and
records each event for the checker.
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
ENDPOINT_HEADER = "x-gateway-destination-endpoint"
MORE_ATTEMPTS_HEADER = "x-linenbridge-again"


@dataclass
class PlannedRequest:
    """One request of the day, and the fault of `plan.FAULTS` that the proxy injects at its first attempt."""

    id: str
    method: str
    at: float
    path: str
    verb: str
    fault: str = ""


@dataclass
class RequestRecord:
    """The history of one request: its final responses at the proxy, and each node to which it was sent.

    An entry of `sent` holds the time in seconds, the node, its build, and whether the processor reserved the
    node. `decision_times` are seconds from the intended time of the request.
    """

    planned: PlannedRequest
    final_responses: list[tuple[float, str]] = field(default_factory=list)
    sent: list[tuple[float, str, int, bool]] = field(default_factory=list)
    streams: int = 0
    # For each unexpected response, the stream's pending_responses after it.
    unexpected_responses: list[int] = field(default_factory=list)
    decision_times: list[float] = field(default_factory=list)
    statuses: list[str] = field(default_factory=list)


class ProxyConnection(Protocol):
    """One HTTP/2 connection to a processor."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding=None)
        )
        self.streams: dict[int, Stream] = {}
        self.goaways = GoAwayFilter()
        self.usable = False
        self.partial_messages: dict[int, bytes] = {}
        self.flush_timer: Any = None

    def connectionMade(self) -> None:
        """Send the client's SETTINGS and enlarge the connection's window."""
        self.transport.setTcpNoDelay(True)
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 24)
        self.usable = True
        self.flush()

    def open(self, stream: Stream) -> None:
        """Open a gRPC stream for an attempt."""
        number = self.h2.get_next_available_stream_id()
        self.h2.send_headers(
            number,
            [
                (b":method", b"POST"),
                (b":scheme", b"http"),
                (b":path", PROCESS),
                (b":authority", b"processor"),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
            ],
        )
        stream.number, stream.connection = number, self
        self.streams[number] = stream

    def send_message(self, stream: Stream, message: wire.ProcessingRequest) -> None:
        """Send a message on a stream that is still open."""
        data = message.SerializeToString()
        if self.streams.get(stream.number) is stream:
            self.h2.send_data(stream.number, b"\0" + len(data).to_bytes(4, "big") + data)
            self.schedule_flush()

    def half_close(self, stream: Stream) -> None:
        """End the proxy's messages of a stream that is still open."""
        if self.streams.get(stream.number) is stream:
            self.h2.end_stream(stream.number)
            self.schedule_flush()

    def reset(self, stream: Stream) -> None:
        """Reset a stream that is still open."""
        if self.streams.pop(stream.number, None) is not None:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(stream.number, h2.errors.ErrorCodes.CANCEL)
            self.schedule_flush()

    def schedule_flush(self) -> None:
        """Schedule one write for all frames of the current turn of the reactor."""
        if self.flush_timer is None:
            self.flush_timer = self.proxy.world.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        """Write the unwritten frames."""
        self.flush_timer = None
        if data := self.h2.data_to_send():
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Pass messages, statuses and ends of streams to their streams, and reconnect after a GOAWAY."""
        for event in self.h2.receive_data(self.goaways.feed(data)):
            match event:
                case h2.events.DataReceived():
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    self._handle_data(event.stream_id, event.data)
                case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                    status = dict(event.headers).get(b"grpc-status")
                    if status is not None and (stream := self.streams.get(event.stream_id)) is not None:
                        stream.status = status.decode()
                case h2.events.StreamEnded() | h2.events.StreamReset():
                    if (stream := self.streams.pop(event.stream_id, None)) is not None:
                        stream.on_ended()
        if self.goaways.last_streams and self.usable:
            self.usable = False  # open streams continue; new streams use another connection
            self.proxy.redial(self)
        self.flush()

    def _handle_data(self, number: int, data: bytes) -> None:
        buffer = self.partial_messages.pop(number, b"") + data
        while len(buffer) >= 5 and len(buffer) >= 5 + int.from_bytes(buffer[1:5], "big"):
            length = int.from_bytes(buffer[1:5], "big")
            message, buffer = buffer[5 : 5 + length], buffer[5 + length :]
            if (stream := self.streams.get(number)) is not None:
                stream.handle_response(wire.ProcessingResponse.FromString(message))
        if buffer:
            self.partial_messages[number] = buffer

    def connectionLost(self, reason: Any) -> None:  # noqa: ARG002  # Twisted's signature
        """End all streams of the connection, and reconnect."""
        self.usable = False
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream.on_ended()
        self.proxy.redial(self)


class Stream:
    """The stream of one attempt.

    `pending_responses` counts messages sent without a response yet; a negative count is an error.
    """

    def __init__(self, proxy: Proxy, record: RequestRecord, attempt: int, intended: float) -> None:
        self.proxy, self.record, self.attempt, self.intended = proxy, record, attempt, intended
        self.connection: ProxyConnection | None = None
        self.number = -1
        self.pending_responses = 0
        self.status = ""
        self.phase = "asking"
        self.timer: Any = None
        self.outcome = ""

    def start(self, connection: ProxyConnection) -> None:
        """Open the stream, send the request's headers, and inject a fault that is due at the start."""
        self.connection = connection
        self.record.streams += 1
        connection.open(self)
        request, message = self.record.planned, wire.ProcessingRequest()
        headers = message.request_headers.headers.headers
        for name, value in (
            (":method", request.verb),
            (":path", request.path),
            (":authority", "bookings"),
            (":scheme", "http"),
            ("x-request-id", request.id),
            ("x-envoy-attempt-count", str(self.attempt)),
            ("x-tenant", "t1"),
        ):
            headers.add(key=name, raw_value=value.encode())
        message.request_headers.end_of_stream = True
        self.pending_responses += 1
        connection.send_message(self, message)
        fault = self.record.planned.fault if self.attempt == 1 else ""
        if fault == "reset-before-read":
            connection.reset(self)  # in the same write, so that the processor reads both at once
            self.proxy.on_patience_exceeded(self)
            return
        patience = 0.0003 if fault == "impatient" else self.proxy.patience
        self.timer = self.proxy.world.reactor.callLater(patience, self._on_patience_timer)

    def _on_patience_timer(self) -> None:
        self.timer = None
        if self.phase == "asking" and self.connection is not None:
            self.connection.reset(self)
            self.phase = "over"
            self.proxy.on_patience_exceeded(self)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def handle_response(self, processing_response: wire.ProcessingResponse) -> None:
        """Handle a response of the processor to the request's headers or to the report."""
        self.pending_responses -= 1
        if self.pending_responses < 0:
            self.record.unexpected_responses.append(self.pending_responses)
        kind = processing_response.WhichOneof("response")
        if self.phase == "asking":
            self._stop_timer()
            self.record.decision_times.append(self.proxy.world.clock() - self.intended)
            if kind == "immediate_response":
                self.phase = "refused"
                self.proxy.record_final_response(
                    self.record, f"immediate {processing_response.immediate_response.status.code}"
                )
            elif kind == "request_headers":
                self._send_upstream(processing_response)
        elif self.phase == "reporting":
            self.phase = "over"
            header_names = {
                o.header.key
                for o in processing_response.response_headers.response.header_mutation.set_headers
            }
            if self.connection is not None:
                self.connection.half_close(self)
            self.proxy.on_report_acknowledged(self, MORE_ATTEMPTS_HEADER in header_names)

    def _send_upstream(self, processing_response: wire.ProcessingResponse) -> None:
        header_values = {
            option.header.key: option.header.raw_value.decode()
            for option in processing_response.request_headers.response.header_mutation.set_headers
        }
        self.phase = "upstream"
        fault = self.record.planned.fault if self.attempt == 1 else ""
        if fault == "leave-after-hand-out":
            # Treat the response as late: do not send the request upstream, and retry.
            if self.connection is not None:
                self.connection.reset(self)
            self.proxy.on_patience_exceeded(self)
            return
        node = self.proxy.world.by_address.get(header_values.get(ENDPOINT_HEADER, ""))
        if node is None:
            self.proxy.record_final_response(self.record, "no endpoint")
            return
        self.record.sent.append((self.proxy.world.clock(), node.name, node.build, True))
        self.timer = self.proxy.world.reactor.callLater(
            self.proxy.upstream_timeout, self._on_upstream_result, "timeout"
        )
        node.serve(self.record.planned.id, self.record.planned.method, self._on_upstream_result)

    def _on_upstream_result(self, outcome: str) -> None:
        """Report the upstream's response, unless this proxy is planned to send no report or a false one."""
        if self.phase != "upstream":
            return
        self._stop_timer()
        self.outcome = outcome
        fault = self.record.planned.fault if self.attempt == 1 else ""
        if fault == "silent" and self.connection is not None:
            self.phase = "over"
            self.connection.reset(self)
            self.proxy.record_final_response(self.record, outcome)
            return
        if self.connection is None or self.connection.streams.get(self.number) is not self:
            self.phase = "over"
            # The processor is gone; pass the response to the client.
            self.proxy.record_final_response(self.record, outcome)
            return
        status = {"ok": "200", "error": "500", "full": "503", "unreached": "503", "timeout": "504"}[outcome]
        message = wire.ProcessingRequest()
        headers = message.response_headers.headers.headers
        headers.add(
            key=":status", raw_value=(b"200" if self.proxy.always_reports_success else status.encode())
        )
        if outcome == "full":
            headers.add(key="x-never-ran", raw_value=b"1")
        if outcome == "unreached":
            details = "upstream_reset_before_response_started{connection_failure}"
            message.attributes["envoy.filters.http.ext_proc"].update({"response.code_details": details})
        self.phase = "reporting"
        self.pending_responses += 1
        self.connection.send_message(self, message)

    def on_ended(self) -> None:
        """Handle a stream that the processor has ended or whose connection is lost."""
        self._stop_timer() if self.phase == "asking" else None
        if self.status:
            self.record.statuses.append(self.status)
        if self.phase == "asking":
            self.phase = "over"
            self.proxy.on_unanswered(self)
        elif self.phase == "reporting":
            self.phase = "over"
            self.proxy.record_final_response(self.record, self.outcome)


class Proxy:
    """One fake proxy with its connections to a processor.

    Without a response from the processor, the proxy sends the request by itself if `fail_open` is set, and
    retries otherwise. `patience` is the time in seconds for which it waits for a decision. With
    `always_reports_success` it reports status 200 for every outcome.
    """

    def __init__(
        self,
        world: World,
        port: int,
        connection_count: int,
        *,
        patience: float = 1.0,
        attempts: int = 3,
        fail_open: bool = False,
        always_reports_success: bool = False,
    ) -> None:
        self.world, self.port, self.target_count = world, port, connection_count
        self.patience, self.attempts, self.fail_open, self.always_reports_success = (
            patience,
            attempts,
            fail_open,
            always_reports_success,
        )
        self.upstream_timeout = 2.0
        self.connections: list[ProxyConnection] = []
        self.records: list[RequestRecord] = []
        self.next_connection = 0
        self.closed = False
        self.connecting = 0
        self.ready: Callable[[], None] | None = None

    def dial(self) -> None:
        """Open all connections."""
        for _ in range(self.target_count):
            self._dial()

    def _dial(self) -> None:
        self.connecting += 1
        attempt_to_connect = ClientCreator(self.world.reactor, ProxyConnection, self).connectTCP(
            LOOPBACK, self.port, timeout=1.0
        )
        attempt_to_connect.addCallbacks(self._on_connected, self._on_connect_failed)

    def _on_connected(self, connection: ProxyConnection) -> None:
        self.connecting -= 1
        self.connections.append(connection)
        if self.ready is not None and len(self.connections) == self.target_count:
            ready, self.ready = self.ready, None
            ready()

    def _on_connect_failed(self, _failure: Any) -> None:
        self.connecting -= 1
        if not self.closed:
            self.world.reactor.callLater(0.05, self._dial)

    def redial(self, connection: ProxyConnection) -> None:
        """Replace a connection that is lost or draining."""
        if connection in self.connections:
            self.connections.remove(connection)
            if not self.closed and len(self.connections) + self.connecting < self.target_count:
                self._dial()

    def close(self) -> None:
        """Abort all connections and open no others."""
        self.closed = True
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def start_request(self, request: PlannedRequest, intended: float) -> RequestRecord:
        """Start the first attempt of a request and return its record; `intended` is in seconds."""
        record = RequestRecord(request)
        self.records.append(record)
        self._attempt(record, 1, intended)
        return record

    def _attempt(self, record: RequestRecord, attempt: int, intended: float) -> None:
        usable = [connection for connection in self.connections if connection.usable]
        stream = Stream(self, record, attempt, intended)
        if not usable:
            stream.phase = "over"
            self.on_unanswered(stream)
            return
        self.next_connection += 1
        stream.start(usable[self.next_connection % len(usable)])

    def _retry(self, stream: Stream, wait: float = 0.002) -> bool:
        if stream.attempt >= self.attempts:
            return False
        later = self.world.reactor.callLater
        later(wait, lambda: self._attempt(stream.record, stream.attempt + 1, self.world.clock()))
        return True

    def on_patience_exceeded(self, stream: Stream) -> None:
        """Handle a late decision: send the request without the processor if failing open, or retry."""
        stream.phase = "over"
        if self.fail_open:
            self._bypass(stream)
        elif not self._retry(stream):
            self.record_final_response(stream.record, "no answer")

    def on_unanswered(self, stream: Stream) -> None:
        """Handle a refused or lost stream like a late decision, but wait longer before a retry."""
        if self.fail_open:
            self._bypass(stream)
        elif not self._retry(stream, 0.05):
            self.record_final_response(stream.record, "no answer")

    def _bypass(self, stream: Stream) -> None:
        record, active_nodes = (
            stream.record,
            [node for node in self.world.nodes.values() if node.state == "active"],
        )
        node = active_nodes[len(self.records) % len(active_nodes)]
        record.sent.append((self.world.clock(), node.name, node.build, False))

        def done(outcome: str) -> None:
            if outcome == "ok" or not self._retry(stream):
                self.record_final_response(record, outcome)

        node.serve(record.planned.id, record.planned.method, done)

    def on_report_acknowledged(self, stream: Stream, more_attempts: bool) -> None:
        """Handle the response to a report: retry a failure if the processor allows more attempts."""
        if stream.outcome == "ok" or not more_attempts or not self._retry(stream):
            self.record_final_response(stream.record, stream.outcome)

    def record_final_response(self, record: RequestRecord, outcome: str) -> None:
        """Record the outcome of a request that the client sees."""
        record.final_responses.append((self.world.clock(), outcome))
