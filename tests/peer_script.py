"""A scripted proxy for the external processor: HTTP/2 and messages in memory, on a manual clock."""

from __future__ import annotations

import io
from random import Random

import h2.config
import h2.connection
import h2.events
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from linenbridge.policy import DecisionModule
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.processor import wire_pb2 as wire
from linenbridge.processor.evidence import Evidence
from linenbridge.processor.goaway_filter import GoAwayFilter
from linenbridge.processor.responses import ResponseFormat
from linenbridge.processor.stream_session import ProxyPeer, StreamSession
from linenbridge.processor.external_processor import ExternalProcessor
from linenbridge.processor.health import HealthService
from linenbridge.processor.http2 import Server
from linenbridge.processor.connection_limits import ConnectionLimits
from linenbridge.processor.store import ReservationStore
from linenbridge.processor.reservations import ReservationLedger, ReservationTerms
from linenbridge.processor.response_classification import NonExecutionRule, ResponseClassifier
from linenbridge.routes.table import table
from tests.helpers import MS, entry, startup

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ROUTES = """
route look   { when path starts "/look/"   method "look"    deadline header("x-wait") ms else 900ms }
route store  { when path starts "/store/"  method "store"   key segment(2) }
route charge { when path starts "/charge/" method "charge"  tenant header("x-tenant") else "none" }
"""
TERMS = ReservationTerms(100 * MS, 100 * MS, 60_000 * MS, 1_000, 2_000)
LIMITS = ConnectionLimits(100, 65536, 16384, 1 << 18, 2_000_000, 5_000_000, 600_000_000)
ADDRESSES = [(entry(n), ("10.0.0.1", 7000 + n)) for n in (1, 2, 3)]


class MemoryTransport(StringTransport):
    """A transport in memory; while `blocked` is set, written data waits in `dataBuffer`."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = self.blocked = False
        self.dataBuffer = b""

    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802

    def write(self, data: bytes) -> None:
        if self.blocked:
            self.dataBuffer += data
        else:
            super().write(data)

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True
        self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        if not self.disconnecting:
            self.disconnecting = True
            self.protocol.connectionLost(Failure(ConnectionDone()))


class Stream:
    """The messages and the status that a scripted proxy has received on one stream."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.replies: list[wire.ProcessingResponse] = []
        self.status: str | None = None
        self.message = ""
        self.reset = False
        self.buffer = b""

    @property
    def endpoint(self) -> str | None:
        """The endpoint that the processor assigned to the request, or None."""
        for reply in self.replies:
            for header_option in reply.request_headers.response.header_mutation.set_headers:
                if header_option.header.key == "x-gateway-destination-endpoint":
                    return header_option.header.raw_value.decode()
        return None

    @property
    def immediate_status(self) -> int | None:
        statuses = [
            reply.immediate_response.status.code
            for reply in self.replies
            if reply.HasField("immediate_response")
        ]
        return statuses[0] if statuses else None

    def header(self, name: str) -> str | None:
        for reply in self.replies:
            for mutation in (
                reply.immediate_response.headers,
                reply.request_headers.response.header_mutation,
                reply.response_headers.response.header_mutation,
            ):
                for header_option in mutation.set_headers:
                    if header_option.header.key == name:
                        return header_option.header.raw_value.decode()
        return None


class ScriptedProxy:
    """A scripted proxy with one connection to the processor."""

    def __init__(self, harness: ProcessorHarness) -> None:
        self.harness = harness
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding=None)
        )
        self.transport = MemoryTransport()
        self.transport.protocol = harness.server.buildProtocol(None)
        self.streams: dict[int, Stream] = {}
        self.goaway_filter = GoAwayFilter()
        self.transport.protocol.makeConnection(self.transport)
        self.h2.initiate_connection()
        self.deliver()

    @property
    def goaways(self) -> list[int]:
        return self.goaway_filter.last_streams

    def deliver(self) -> None:
        """Deliver the proxy's data to the processor, run a turn of the reactor, and read the replies."""
        data = self.h2.data_to_send()
        if data and not self.transport.disconnecting:
            self.transport.protocol.dataReceived(data)
        self.harness.advance()
        self.read()

    def read(self) -> None:
        data = self.transport.value()
        self.transport.clear()
        data = self.goaway_filter.feed(data)
        for event in self.h2.receive_data(data) if data else ():
            stream = self.streams.get(getattr(event, "stream_id", -1))
            match event:
                case h2.events.DataReceived() if stream is not None:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    stream.buffer += event.data
                    while len(stream.buffer) >= 5:
                        length = int.from_bytes(stream.buffer[1:5], "big")
                        if len(stream.buffer) < 5 + length:
                            break
                        stream.replies.append(
                            wire.ProcessingResponse.FromString(stream.buffer[5 : 5 + length])
                        )
                        stream.buffer = stream.buffer[5 + length :]
                case h2.events.ResponseReceived() | h2.events.TrailersReceived() if stream is not None:
                    received_headers = dict(event.headers)
                    if b"grpc-status" in received_headers:
                        stream.status = received_headers[b"grpc-status"].decode()
                        stream.message = received_headers.get(b"grpc-message", b"").decode()
                    elif received_headers.get(b":status", b"200") != b"200":
                        stream.status = "http " + received_headers[b":status"].decode()
                case h2.events.StreamReset() if stream is not None:
                    stream.reset = True

    def open(self, path: bytes = PATH, **extra_headers: str) -> Stream:
        stream_id = self.h2.get_next_available_stream_id()
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path),
            (b":authority", b"x"),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
            *((name.encode(), value.encode()) for name, value in extra_headers.items()),
        ]
        self.h2.send_headers(stream_id, headers)
        stream = self.streams[stream_id] = Stream(stream_id)
        return stream

    def send_message(
        self, stream: Stream, message: wire.ProcessingRequest | bytes, deliver: bool = True
    ) -> None:
        data = message if isinstance(message, bytes) else message.SerializeToString()
        self.h2.send_data(stream.number, b"\0" + len(data).to_bytes(4, "big") + data)
        if deliver:
            self.deliver()

    def send_request(
        self,
        path: str = "/look/1",
        request: str = "r1",
        attempt: int | str = 1,
        deliver: bool = True,
        **extra_headers: str,
    ) -> Stream:
        stream = self.open()
        self.send_message(stream, request_headers_message(path, request, attempt, **extra_headers), deliver)
        return stream

    def report(self, stream: Stream, status: int | str, *, details: str = "", **headers: str) -> None:
        message = wire.ProcessingRequest()
        header_list = message.response_headers.headers.headers
        header_list.add(key=":status", raw_value=str(status).encode())
        for name, value in headers.items():
            header_list.add(key=name.replace("_", "-"), value=value)
        if details:
            message.attributes["envoy.filters.http.ext_proc"].update({"response.code_details": details})
        self.send_message(stream, message)

    def half_close(self, stream: Stream) -> None:
        """End the stream on the proxy's side."""
        self.h2.end_stream(stream.number)
        self.deliver()

    def reset(self, stream: Stream, deliver: bool = True) -> None:
        if stream.status is None and not stream.reset:
            self.h2.reset_stream(stream.number, 8)
        if deliver:
            self.deliver()

    def close(self) -> None:
        self.transport.loseConnection()
        self.harness.advance()


def request_headers_message(
    path: str, request: str, attempt: int | str = 1, **extra_headers: str
) -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    headers = message.request_headers.headers.headers
    header_values = {
        ":method": "GET",
        ":path": path,
        ":authority": "desk",
        "x-request-id": request,
        "x-envoy-attempt-count": str(attempt),
    }
    header_values |= {name.replace("_", "-"): value for name, value in extra_headers.items()}
    for name, value in header_values.items():
        if value:
            headers.add(key=name, raw_value=value.encode())
    return message


class ProcessorHarness:
    """One external processor with a real decision module, on a manual clock."""

    def __init__(
        self,
        *,
        attempts: int = 3,
        fail_open: bool = False,
        is_own: bool = True,
        store: ReservationStore | None = None,
        module: object = None,
        limits: ConnectionLimits = LIMITS,
        terms: ReservationTerms = TERMS,
        connections: int = 8,
        pass_unrouted: bool = False,
        instances: int = 3,
        **changes: object,
    ) -> None:
        self.reactor = MemoryReactorClock()
        self.lines = io.BytesIO()
        self.log = Log(self.lines)
        self.now = lambda: int(self.reactor.seconds() * 1e6)
        start = startup(**changes)
        self.module = module or DecisionModule(start, 7, self.now())
        self.loop = DecisionLoop(self.module, self.reactor, self.now, self.log)
        self.proxy_peer = ProxyPeer("desk", is_own, attempts, fail_open)
        self.proxy_peers = [self.proxy_peer]
        self.processor = ExternalProcessor(
            self.loop,
            self.reactor,
            table(ROUTES, start.methods, 900 * MS),
            ReservationLedger(terms),
            Evidence(frozenset({"desk"} if is_own else ())),
            ResponseClassifier((NonExecutionRule(503, "x-never-ran", "1"),)),
            ResponseFormat(),
            store,
            pass_unrouted,
            lambda: 1_000_000 + self.reactor.seconds(),
        )
        self.processor.start()
        self.server = Server(self.reactor, self.now, limits, connections, self.log)
        self.health = HealthService()
        self.server.services = {
            PATH: lambda call: StreamSession(self.processor, self.proxy_peers[0], call),
            b"/grpc.health.v1.Health/Check": self.health.check,
            b"/grpc.health.v1.Health/Watch": self.health.watch,
        }
        self.loop.on_turn_end.append(self.server.flush)
        self.update_endpoints(ADDRESSES[:instances])

    def update_endpoints(self, listed: list, is_full_list: bool = True) -> None:
        self.processor.listed(listed, is_full_list)
        entries = [listed_entry for listed_entry, _ in listed]
        self.loop.enqueue(
            lambda now: self.module.on_endpoint_list(
                now, entries, is_snapshot=is_full_list, is_poll_response=True
            )
        )
        self.advance()

    def update_rollout(self, build: int, stage: int, phase: int, cap: float) -> None:
        self.loop.enqueue(
            lambda now: self.module.on_rollout_update(
                now, build, stage, phase, cap, is_vote_response=False, is_valid=True, is_stale=False
            )
        )
        self.advance()

    def advance(self, seconds: float = 0.0) -> None:
        self.reactor.advance(seconds)
        for _ in range(4):
            self.reactor.advance(0)

    def connect(self) -> ScriptedProxy:
        return ScriptedProxy(self)

    def counts(self, *names: str) -> int:
        return self.log.counts[names]

    def is_idle(self) -> bool:
        """Return whether the module, the loop, the ledger and the processor hold no state of any request."""
        processor = self.processor
        module_is_idle = not getattr(self.module, "requests", None)
        return module_is_idle and not (
            self.loop.open
            or processor.ledger.by_id
            or processor.ledger.open
            or processor.active
            or processor.pending.decisions
            or processor.pending.reports
            or processor.dispatches.pending
            or processor.ledger.per_proxy
        )

    def log_text(self) -> str:
        return self.lines.getvalue().decode()


def seeded_random(seed: int) -> Random:
    return Random(f"processor/{seed}")
