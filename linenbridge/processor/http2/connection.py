"""One peer's HTTP/2 connection: its streams from opening to status, and the data that is not yet written.

A connection owns its HTTP/2 state (kept by `h2`) and its budget, which limits the resources that a peer uses.
It never decodes a message: a service receives each complete one. A peer that breaks the protocol, floods the
connection or stops reading affects only this connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol as Interface

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame
from twisted.internet.protocol import Protocol

from linenbridge.logging.event_log import Log
from linenbridge.processor.goaway_filter import PREFACE, GoAwayFilter
from linenbridge.processor.http2.status import INVALID_ARGUMENT, UNAVAILABLE, UNIMPLEMENTED, percent_encoded
from linenbridge.processor.http2.stream import Call, MessageError, Peer, Receiver, framed
from linenbridge.processor.connection_limits import ConnectionBudget, ConnectionLimits, ControlFrame

CONNECTION_WINDOW = (
    1 << 20
)  # bytes that a peer may send unacknowledged, over all streams, beyond HTTP/2's default
MAX_GOAWAYS = 8

RESPONSE_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class ConnectionOwner(Interface):
    """The part of a server that a connection uses."""

    log: Log
    limits: ConnectionLimits
    services: dict[bytes, Callable[[Call], Receiver]]
    names: Callable[[Any], tuple[str, ...]]  # returns the names in the certificate of a transport's peer
    now: Callable[[], int]  # microseconds
    awaiting_first_message: dict[Call, None]  # in the order of opening
    dirty: list[Connection]  # connections with unwritten data
    draining: bool

    def flush_soon(self) -> None:
        """Schedule a flush of the dirty connections for the next turn of the reactor."""
        ...

    def connection_closed(self, connection: Connection) -> None:
        """Handle a connection whose transport is lost."""
        ...

    def close_drained(self, connection: Connection) -> None:
        """Close a connection whose last stream has ended while the server drains."""
        ...


class Connection(Protocol):
    """One peer's HTTP/2 connection, as a Twisted protocol and as the producer of its own transport.

    `ending` is set once the connection is being closed, `lost` once its transport is lost, `paused` while the
    peer does not read, and `settings_received` once the peer's first SETTINGS frame has arrived.
    """

    peer: Peer

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.calls: dict[int, Call] = {}
        self.stalled: dict[int, Call] = {}
        self.paused = self.lost = self.dirty = self.ending = self.settings_received = False
        self.connected_at = server.now()
        self.budget = ConnectionBudget(server.limits, server.now())
        self.goaways = GoAwayFilter(PREFACE)
        config = h2.config.H2Configuration(client_side=False, header_encoding=None)
        self.h2 = h2.connection.H2Connection(config)
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: server.limits.max_streams,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: server.limits.max_header_bytes,
                h2.settings.SettingCodes.ENABLE_CONNECT_PROTOCOL: 0,
            },
        )
        self.h2.decoder.max_header_list_size = server.limits.max_header_bytes
        self.h2.decoder.max_allowed_table_size = self.h2.local_settings.header_table_size

    # ---- the connection --------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Send the server's SETTINGS and enlarge the connection's window."""
        self.transport.setTcpNoDelay(True)
        self.peer = Peer(self.transport.getPeer().host)
        self.transport.registerProducer(self, True)
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW)
        self.flush()

    def dataReceived(self, data: bytes) -> None:
        """Handle the frames in `data`; close the connection if the peer breaks HTTP/2 or exceeds a limit."""
        if self.ending:
            return
        try:
            frames = self.goaways.feed(data)
            if self.goaways.oversized:
                self.end("a frame is longer than was allowed", h2.errors.ErrorCodes.FRAME_SIZE_ERROR)
                return
            for event in self.h2.receive_data(frames):
                if self.ending:
                    break
                self._handle_event(event)
            if len(self.goaways.last_streams) > MAX_GOAWAYS:
                self.end("it says goodbye again and again")
        except h2.exceptions.ProtocolError as error:
            self.server.log.event_sampled(
                "malformed", "proxy", error=str(error)[:200], peer=self.peer.address
            )
            self.end("it does not keep to HTTP/2", getattr(error, "error_code", None))
            return
        except Exception as error:
            self.server.log.failed("a proxy's connection", error)
            self.end("it could not be read")
            return
        self.flush()

    # Twisted's producer interface. While a peer does not read, nothing is read from it either.
    def pauseProducing(self) -> None:
        """Stop reading from the peer because the transport's write buffer is full."""
        self.paused = True
        if not self.lost and self.settings_received:  # during a TLS handshake, writes depend on reads
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Read from the peer again: the transport's write buffer is empty."""
        self.paused = False
        if not self.lost and not self.ending:
            self.transport.resumeProducing()
            self.budget.on_written(self._unsent_bytes(), self.server.now())

    def stopProducing(self) -> None:
        """Stop for good; connectionLost follows."""
        self.paused = True

    def connectionLost(self, reason: Any) -> None:  # noqa: ARG002  # Twisted's signature
        """Release the connection and all of its streams; nothing else releases a connection."""
        self.lost = self.ending = True
        for call in list(self.calls.values()):
            self._release(call, notify=True)
        self.server.connection_closed(self)

    def end(self, why: str, code: int | None = None) -> None:
        """Close the connection with a GOAWAY that carries `why`, and release its streams at once.

        `code` is an HTTP/2 error code, ENHANCE_YOUR_CALM by default. If the peer does not read, the transport
        is aborted without the GOAWAY.
        """
        if self.ending:
            return
        self.ending = True
        self.server.log.count("proxy.ended")
        self.server.log.event_sampled("proxy.end", why, peer=self.peer.address)
        try:
            error = h2.errors.ErrorCodes.ENHANCE_YOUR_CALM if code is None else code
            self.h2.close_connection(error, why.encode())
        except h2.exceptions.ProtocolError:
            pass  # h2 has closed the connection; its buffer holds h2's own GOAWAY
        unsent = self.h2.data_to_send()
        for call in list(self.calls.values()):
            self._release(call, notify=True)
        if not self.lost:
            self.transport.unregisterProducer()
            if self.paused:
                self.transport.abortConnection()
            else:
                self.transport.write(unsent)
                self.transport.loseConnection()

    # ---- received frames ---------------------------------------------------------------------------

    def _handle_event(self, event: Any) -> None:
        now = self.server.now()
        match event:
            case h2.events.DataReceived():
                self._handle_data(event, now)
            case h2.events.RequestReceived():
                self._handle_request(event, now)
            case h2.events.StreamEnded():
                if (call := self.calls.get(event.stream_id)) is not None:
                    call.half_closed = True
                    if call.partial_message:
                        self.finish(call, INVALID_ARGUMENT, "the stream ends within a message")
                    elif call.receiver is not None:
                        call.receiver.on_half_closed()
            case h2.events.StreamReset():
                if (call := self.calls.get(event.stream_id)) is not None:
                    self._enforce(self.budget.on_stream_reset(now))
                    self._release(call, notify=True, reset_counted=True)
            case h2.events.WindowUpdated():
                self._enforce(self.budget.on_control_frame(ControlFrame.WINDOW, now))
                self._resume_stalled(event.stream_id)
            case h2.events.PingReceived():
                self._enforce(self.budget.on_control_frame(ControlFrame.PING, now))
            case h2.events.RemoteSettingsChanged():
                self.settings_received = True
                self._enforce(self.budget.on_control_frame(ControlFrame.SETTINGS, now))
                self._resume_stalled(0)
            case h2.events.PriorityUpdated():
                self._enforce(self.budget.on_control_frame(ControlFrame.PRIORITY, now))
            case h2.events.UnknownFrameReceived():
                self._enforce(self.budget.on_control_frame(ControlFrame.UNKNOWN, now))
            case h2.events.TrailersReceived():
                if (call := self.calls.get(event.stream_id)) is not None:
                    self.finish(call, INVALID_ARGUMENT, "a request has no trailers here")

    def _enforce(self, why: str | None) -> None:
        if why is not None:
            self.end(why)

    def _handle_request(self, event: Any, now: int) -> None:
        call = self.calls[event.stream_id] = Call(self, event.stream_id, now)
        call.half_closed = event.stream_ended is not None
        if (why := self.budget.on_stream_opened()) is not None:
            self.end(why)
            return
        self.server.awaiting_first_message[call] = None
        if self.peer.names is None:  # the certificate is known only after the handshake
            self.peer.names = self.server.names(self.transport)
        request_headers = dict(event.headers)
        content = request_headers.get(b"content-type", b"")
        if request_headers.get(b":method") != b"POST" or not content.startswith(b"application/grpc"):
            self._respond_without_grpc(call, 415)
            return
        if self.server.draining:
            self.finish(call, UNAVAILABLE, "this gateway is about to stop")
            return
        service = self.server.services.get(request_headers.get(b":path", b""))
        if service is None:
            self.finish(call, UNIMPLEMENTED, "no such service here")
            return
        call.receiver = service(call)

    def _handle_data(self, event: Any, now: int) -> None:
        size = event.flow_controlled_length
        if size:
            self.h2.acknowledge_received_data(size, event.stream_id)
        call = self.calls.get(event.stream_id)
        if not event.data and event.stream_ended is None:
            self._enforce(self.budget.on_control_frame(ControlFrame.EMPTY, now))
        if call is None or call.ended or not event.data:
            return
        try:
            for message in call.read(event.data, self.server.limits.max_message_bytes):
                if not call.received_message:
                    call.received_message = True
                    self.server.awaiting_first_message.pop(call, None)
                call.receiver.on_message(message)
                if call.ended:
                    return
        except MessageError as error:
            self.finish(call, error.status, error.text)

    # ---- sent frames ---------------------------------------------------------------------------

    def send(self, call: Call, data: bytes) -> None:
        """Send a message on a stream; queue it if it exceeds the peer's flow-control window."""
        message = framed(data)
        try:
            self._send_headers(call)
            if call.unsent or len(message) > self._send_window(call):
                call.unsent.append(message)
                call.unsent_bytes += len(message)
                self.stalled[call.id] = call
            else:
                self.h2.send_data(call.id, message)
        except h2.exceptions.ProtocolError:
            self._release(call, notify=True)
            return
        self._schedule_flush()

    def _send_headers(self, call: Call) -> None:
        if not call.headers_sent:
            call.headers_sent = True
            self.h2.send_headers(call.id, RESPONSE_HEADERS)

    def _send_window(self, call: Call) -> int:
        return min(self.h2.local_flow_control_window(call.id), self.h2.max_outbound_frame_size)

    def _resume_stalled(self, stream: int) -> None:
        """Send queued messages as far as the windows allow: of one stream, or of all if `stream` is 0."""
        for call in list(self.stalled.values()) if stream == 0 else [self.stalled.get(stream)]:
            if call is not None and not call.ended:
                try:
                    self._drain(call)
                except h2.exceptions.ProtocolError:
                    self._release(call, notify=True)

    def _drain(self, call: Call) -> None:
        while call.unsent and (available := self._send_window(call)) > 0:
            chunk = call.unsent.popleft()
            if len(chunk) > available:
                call.unsent.appendleft(chunk[available:])
                chunk = chunk[:available]
            call.unsent_bytes -= len(chunk)
            self.h2.send_data(call.id, chunk)
        if not call.unsent:
            self.stalled.pop(call.id, None)

    def finish(self, call: Call, status: int, text: str) -> None:
        """End the stream with a gRPC status.

        If the peer has not half-closed the stream, it is reset with NO_ERROR so that the peer sends nothing
        more. Messages queued for the peer's flow-control window are dropped, and the stream is reset with
        CANCEL in place of a status.
        """
        trailers = [(b"grpc-status", b"%d" % status)]
        if text:
            trailers.append((b"grpc-message", percent_encoded(text)))
        self.server.log.count("stream.status", str(status))
        try:
            if call.unsent:
                self.h2.reset_stream(call.id, h2.errors.ErrorCodes.CANCEL)
            else:
                self.h2.send_headers(
                    call.id, trailers if call.headers_sent else RESPONSE_HEADERS + trailers, end_stream=True
                )
                if not call.half_closed:
                    self.h2.reset_stream(call.id, h2.errors.ErrorCodes.NO_ERROR)
        except h2.exceptions.ProtocolError:
            pass  # the peer has reset the stream meanwhile
        self._release(call, notify=False)
        self._schedule_flush()

    def _respond_without_grpc(self, call: Call, code: int) -> None:
        self.h2.send_headers(call.id, [(b":status", b"%d" % code)], end_stream=True)
        if not call.half_closed:
            self.h2.reset_stream(call.id, h2.errors.ErrorCodes.NO_ERROR)
        self._release(call, notify=False)

    def _release(self, call: Call, notify: bool, reset_counted: bool = False) -> None:
        """Release a stream; nothing else releases one.

        `notify` calls the service's `on_closed`. `reset_counted` says that the budget has already counted the
        end of the stream, as a reset.
        """
        if call.ended:
            return
        call.ended = True
        self.calls.pop(call.id, None)
        self.stalled.pop(call.id, None)
        self.server.awaiting_first_message.pop(call, None)
        call.unsent.clear()
        call.partial_message = b""
        if not reset_counted:
            self.budget.on_stream_ended(self.server.now())
        if notify and call.receiver is not None:
            call.receiver.on_closed()
        call.receiver = None
        if self.server.draining and not self.calls:
            self._schedule_flush()
            self.server.close_drained(self)

    def _schedule_flush(self) -> None:
        """Schedule one write for all frames of the current turn of the reactor."""
        if not self.dirty and not self.lost:
            self.dirty = True
            self.server.dirty.append(self)
            self.server.flush_soon()

    def _unsent_bytes(self) -> int:
        waiting = getattr(self.transport, "_tempDataLen", 0) + len(getattr(self.transport, "dataBuffer", b""))
        return waiting + sum(call.unsent_bytes for call in self.stalled.values())

    def flush(self) -> None:
        """Write the unwritten frames; close the connection if too much stays unsent."""
        self.dirty = False
        if self.lost or self.ending:
            return
        if data := self.h2.data_to_send():
            self.transport.write(data)
        self._enforce(self.budget.on_written(self._unsent_bytes(), self.server.now()))

    # ---- draining -------------------------------------------------------------------------

    def send_goaway(self, last: int) -> None:
        """Send a GOAWAY with the last stream id `last` while open streams continue.

        The frame does not pass through `h2`, which would close the whole connection.
        """
        if not self.ending and not self.lost:
            frame = GoAwayFrame(0, last_stream_id=last, error_code=h2.errors.ErrorCodes.NO_ERROR)
            self.flush()
            self.transport.write(frame.serialize())

    def highest_stream_id(self) -> int:
        """Return the highest stream id that the peer has opened."""
        return self.h2.highest_inbound_stream_id
