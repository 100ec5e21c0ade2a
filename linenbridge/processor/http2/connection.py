"""One peer's HTTP/2 connection: its streams from their opening to their status, and what waits to be written.

Owns the connection's HTTP/2 state (by `h2`) and its budget for what the peer costs. It must never read a
message: a service is handed each whole one. Whatever a peer sends or withholds costs this connection alone.
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

WINDOW = 1 << 20  # bytes that a whole connection may send before they are read
GOAWAYS_MOST = 8

HEAD = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class ConnectionOwner(Interface):
    """What a connection needs of its server."""

    log: Log
    limits: ConnectionLimits
    services: dict[bytes, Callable[[Call], Receiver]]
    names: Callable[[Any], tuple[str, ...]]  # by the transport: the names in the peer's certificate
    now: Callable[[], int]  # microseconds
    silent: dict[Call, None]  # streams on which no message has come yet
    dirty: list[Connection]  # connections with something to write
    leaving: bool

    def flush_soon(self) -> None: ...
    def closed(self, connection: Connection) -> None: ...
    def left(self, connection: Connection) -> None: ...


class Connection(Protocol):
    """One peer's connection."""

    peer: Peer

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.calls: dict[int, Call] = {}
        self.stalled: dict[int, Call] = {}
        self.paused = self.lost = self.dirty = self.ending = self.greeted = False
        self.born = server.now()
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
        self.transport.setTcpNoDelay(True)
        self.peer = Peer(self.transport.getPeer().host)
        self.transport.registerProducer(self, True)
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(WINDOW)
        self.flush()

    def dataReceived(self, data: bytes) -> None:
        if self.ending:
            return
        try:
            read = self.goaways.feed(data)
            if self.goaways.oversized:
                self.end("a frame is longer than was allowed", h2.errors.ErrorCodes.FRAME_SIZE_ERROR)
                return
            for event in self.h2.receive_data(read):
                if self.ending:
                    break
                self._event(event)
            if len(self.goaways.last_streams) > GOAWAYS_MOST:
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

    # Twisted's producer: a peer that does not read is not read from either.
    def pauseProducing(self) -> None:
        self.paused = True
        if not self.lost and self.greeted:  # A handshake's writes wait for its reads.
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.paused = False
        if not self.lost and not self.ending:
            self.transport.resumeProducing()
            self.budget.on_written(self._queued(), self.server.now())

    def stopProducing(self) -> None:
        self.paused = True

    def connectionLost(self, reason: Any) -> None:
        """The one place where a connection and all of its streams are given back."""
        self.lost = self.ending = True
        for call in list(self.calls.values()):
            self._over(call, gone=True)
        self.server.closed(self)

    def end(self, why: str, code: int | None = None) -> None:
        """Tell the peer why, as far as it reads, and close. Streams are told of their end at once."""
        if self.ending:
            return
        self.ending = True
        self.server.log.count("proxy.ended")
        self.server.log.event_sampled("proxy.end", why, peer=self.peer.address)
        try:
            error = h2.errors.ErrorCodes.ENHANCE_YOUR_CALM if code is None else code
            self.h2.close_connection(error, why.encode())
        except h2.exceptions.ProtocolError:
            pass  # It has ended by itself; what it had to say lies in its buffer.
        rest = self.h2.data_to_send()
        for call in list(self.calls.values()):
            self._over(call, gone=True)
        if not self.lost:
            self.transport.unregisterProducer()
            if self.paused:
                self.transport.abortConnection()
            else:
                self.transport.write(rest)
                self.transport.loseConnection()

    # ---- what comes in ---------------------------------------------------------------------------

    def _event(self, event: Any) -> None:
        now = self.server.now()
        match event:
            case h2.events.DataReceived():
                self._data(event, now)
            case h2.events.RequestReceived():
                self._opened(event, now)
            case h2.events.StreamEnded():
                if (call := self.calls.get(event.stream_id)) is not None:
                    call.half = True
                    if call.rest:
                        self.finish(call, INVALID_ARGUMENT, "the stream ends within a message")
                    elif call.receiver is not None:
                        call.receiver.on_half_closed()
            case h2.events.StreamReset():
                if (call := self.calls.get(event.stream_id)) is not None:
                    self._bound(self.budget.on_stream_reset(now))
                    self._over(call, gone=True, counted=True)
            case h2.events.WindowUpdated():
                self._bound(self.budget.on_control_frame(ControlFrame.WINDOW, now))
                self._unstall(event.stream_id)
            case h2.events.PingReceived():
                self._bound(self.budget.on_control_frame(ControlFrame.PING, now))
            case h2.events.RemoteSettingsChanged():
                self.greeted = True
                self._bound(self.budget.on_control_frame(ControlFrame.SETTINGS, now))
                self._unstall(0)
            case h2.events.PriorityUpdated():
                self._bound(self.budget.on_control_frame(ControlFrame.PRIORITY, now))
            case h2.events.UnknownFrameReceived():
                self._bound(self.budget.on_control_frame(ControlFrame.UNKNOWN, now))
            case h2.events.TrailersReceived():
                if (call := self.calls.get(event.stream_id)) is not None:
                    self.finish(call, INVALID_ARGUMENT, "a request has no trailers here")

    def _bound(self, why: str | None) -> None:
        if why is not None:
            self.end(why)

    def _opened(self, event: Any, now: int) -> None:
        call = self.calls[event.stream_id] = Call(self, event.stream_id, now)
        call.half = event.stream_ended is not None
        if (why := self.budget.on_stream_opened()) is not None:
            self.end(why)
            return
        self.server.silent[call] = None
        if self.peer.names is None:  # Not before: a certificate is known once the handshake is over.
            self.peer.names = self.server.names(self.transport)
        named = dict(event.headers)
        content = named.get(b"content-type", b"")
        if named.get(b":method") != b"POST" or not content.startswith(b"application/grpc"):
            self._plain(call, 415)
            return
        if self.server.leaving:
            self.finish(call, UNAVAILABLE, "this gateway is about to stop")
            return
        service = self.server.services.get(named.get(b":path", b""))
        if service is None:
            self.finish(call, UNIMPLEMENTED, "no such service here")
            return
        call.receiver = service(call)

    def _data(self, event: Any, now: int) -> None:
        size = event.flow_controlled_length
        if size:
            self.h2.acknowledge_received_data(size, event.stream_id)
        call = self.calls.get(event.stream_id)
        if not event.data and event.stream_ended is None:
            self._bound(self.budget.on_control_frame(ControlFrame.EMPTY, now))
        if call is None or call.ended or not event.data:
            return
        try:
            for message in call.read(event.data, self.server.limits.max_message_bytes):
                if not call.spoke:
                    call.spoke = True
                    self.server.silent.pop(call, None)
                call.receiver.on_message(message)
                if call.ended:
                    return
        except MessageError as error:
            self.finish(call, error.status, error.text)

    # ---- what goes out ---------------------------------------------------------------------------

    def send(self, call: Call, data: bytes) -> None:
        message = framed(data)
        try:
            self._start(call)
            if call.queue or len(message) > self._window(call):
                call.queue.append(message)
                call.queued += len(message)
                self.stalled[call.id] = call
            else:
                self.h2.send_data(call.id, message)
        except h2.exceptions.ProtocolError:
            self._over(call, gone=True)
            return
        self._soon()

    def _start(self, call: Call) -> None:
        if not call.started:
            call.started = True
            self.h2.send_headers(call.id, HEAD)

    def _window(self, call: Call) -> int:
        return min(self.h2.local_flow_control_window(call.id), self.h2.max_outbound_frame_size)

    def _unstall(self, stream: int) -> None:
        """What waited for the peer's window goes on, in pieces where it must."""
        for call in list(self.stalled.values()) if stream == 0 else [self.stalled.get(stream)]:
            if call is not None and not call.ended:
                try:
                    self._drain(call)
                except h2.exceptions.ProtocolError:
                    self._over(call, gone=True)

    def _drain(self, call: Call) -> None:
        while call.queue and (room := self._window(call)) > 0:
            piece = call.queue.popleft()
            if len(piece) > room:
                call.queue.appendleft(piece[room:])
                piece = piece[:room]
            call.queued -= len(piece)
            self.h2.send_data(call.id, piece)
        if not call.queue:
            self.stalled.pop(call.id, None)

    def finish(self, call: Call, status: int, text: str) -> None:
        """The status ends the stream on our side. Where the peer has not ended its own, it is reset without
        blame, so that nothing more is sent on it. What a stalled peer has not taken is dropped."""
        end = [(b"grpc-status", b"%d" % status)]
        if text:
            end.append((b"grpc-message", percent_encoded(text)))
        self.server.log.count("stream.status", str(status))
        try:
            if call.queue:
                self.h2.reset_stream(call.id, h2.errors.ErrorCodes.CANCEL)
            else:
                self.h2.send_headers(call.id, end if call.started else HEAD + end, end_stream=True)
                if not call.half:
                    self.h2.reset_stream(call.id, h2.errors.ErrorCodes.NO_ERROR)
        except h2.exceptions.ProtocolError:
            pass  # The peer has ended it meanwhile.
        self._over(call, gone=False)
        self._soon()

    def _plain(self, call: Call, code: int) -> None:
        self.h2.send_headers(call.id, [(b":status", b"%d" % code)], end_stream=True)
        if not call.half:
            self.h2.reset_stream(call.id, h2.errors.ErrorCodes.NO_ERROR)
        self._over(call, gone=False)

    def _over(self, call: Call, gone: bool, counted: bool = False) -> None:
        """The one place where a stream is given back; `gone` where its service has yet to be told."""
        if call.ended:
            return
        call.ended = True
        self.calls.pop(call.id, None)
        self.stalled.pop(call.id, None)
        self.server.silent.pop(call, None)
        call.queue.clear()
        call.rest = b""
        if not counted:
            self.budget.on_stream_ended(self.server.now())
        if gone and call.receiver is not None:
            call.receiver.on_closed()
        call.receiver = None
        if self.server.leaving and not self.calls:
            self._soon()
            self.server.left(self)

    def _soon(self) -> None:
        """One write for all that a turn brings."""
        if not self.dirty and not self.lost:
            self.dirty = True
            self.server.dirty.append(self)
            self.server.flush_soon()

    def _queued(self) -> int:
        waiting = getattr(self.transport, "_tempDataLen", 0) + len(getattr(self.transport, "dataBuffer", b""))
        return waiting + sum(call.queued for call in self.stalled.values())

    def flush(self) -> None:
        self.dirty = False
        if self.lost or self.ending:
            return
        if data := self.h2.data_to_send():
            self.transport.write(data)
        self._bound(self.budget.on_written(self._queued(), self.server.now()))

    # ---- the planned end -------------------------------------------------------------------------

    def say_leaving(self, last: int) -> None:
        """GOAWAY without h2's own, which would end its state: streams that are open run to their end."""
        if not self.ending and not self.lost:
            frame = GoAwayFrame(0, last_stream_id=last, error_code=h2.errors.ErrorCodes.NO_ERROR)
            self.flush()
            self.transport.write(frame.serialize())

    def highest(self) -> int:
        return self.h2.highest_inbound_stream_id
