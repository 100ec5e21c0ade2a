"""A stand-in proxy: asks the processor about requests over one HTTP/2 connection, and reports outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import suppress

import h2.config
import h2.connection
import h2.events
import h2.exceptions

from linenbridge.processor import wire_pb2 as wire
from standins.case import LOOPBACK

PROCESS = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
PREFIX = 5  # bytes before each gRPC message


class Stream:
    """One stream; `answers` gets the processor's messages in order, and None at its end."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.answers: asyncio.Queue[wire.ProcessingResponse | None] = asyncio.Queue()
        self.partial = b""


class ProcessorLink(asyncio.Protocol):
    """One connection to a processor."""

    def __init__(self) -> None:
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.streams: dict[int, Stream] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the settings."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 24)
        self.flush()

    def flush(self) -> None:
        """Write what is to be sent."""
        self.transport.write(self.h2.data_to_send())

    def data_received(self, data: bytes) -> None:
        """Pass messages and ends on to their streams."""
        for event in self.h2.receive_data(data):
            if isinstance(event, h2.events.DataReceived):
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    for message in self._messages(stream, event.data):
                        stream.answers.put_nowait(message)
            elif isinstance(event, h2.events.StreamEnded | h2.events.StreamReset):
                stream = self.streams.pop(event.stream_id, None)
                if stream is not None:
                    stream.answers.put_nowait(None)
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """End all streams."""
        for stream in self.streams.values():
            stream.answers.put_nowait(None)
        self.streams.clear()

    @staticmethod
    def _messages(stream: Stream, data: bytes) -> Iterator[wire.ProcessingResponse]:
        buffer = stream.partial + data
        while len(buffer) >= PREFIX:
            end = PREFIX + int.from_bytes(buffer[1:PREFIX], "big")
            if len(buffer) < end:
                break
            yield wire.ProcessingResponse.FromString(buffer[PREFIX:end])
            buffer = buffer[end:]
        stream.partial = buffer

    def open(self) -> Stream:
        """Open a stream."""
        stream = Stream(self.h2.get_next_available_stream_id())
        self.streams[stream.number] = stream
        self.h2.send_headers(
            stream.number,
            [
                (b":method", b"POST"),
                (b":scheme", b"http"),
                (b":path", PROCESS),
                (b":authority", b"processor"),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
            ],
        )
        return stream

    def send(self, stream: Stream, message: wire.ProcessingRequest) -> None:
        """Send one message, unless the stream has ended."""
        data = message.SerializeToString()
        with suppress(h2.exceptions.ProtocolError):
            self.h2.send_data(stream.number, b"\0" + len(data).to_bytes(PREFIX - 1, "big") + data)
        self.flush()

    def half_close(self, stream: Stream) -> None:
        """End this side's messages."""
        with suppress(h2.exceptions.ProtocolError):
            self.h2.end_stream(stream.number)
        self.flush()

    def reset(self, stream: Stream) -> None:
        """Reset a stream."""
        self.streams.pop(stream.number, None)
        with suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(stream.number, 8)
        self.flush()


async def connect(port: int) -> ProcessorLink:
    """Connect to a processor."""
    _, link = await asyncio.get_running_loop().create_connection(ProcessorLink, LOOPBACK, port)
    return link


def request_headers(request: str, attempt: int, verb: str, path: str) -> wire.ProcessingRequest:
    """Return the first message of a stream."""
    message = wire.ProcessingRequest()
    for name, value in (
        (":method", verb),
        (":path", path),
        (":authority", "bookings"),
        (":scheme", "http"),
        ("x-request-id", request),
        ("x-envoy-attempt-count", str(attempt)),
        ("x-tenant", "t1"),
    ):
        message.request_headers.headers.headers.add(key=name, raw_value=value.encode())
    message.request_headers.end_of_stream = True
    return message


def response_headers(status: int) -> wire.ProcessingRequest:
    """Return the report of an upstream's response."""
    message = wire.ProcessingRequest()
    message.response_headers.headers.headers.add(key=":status", raw_value=str(status).encode())
    return message


def set_headers(response: wire.CommonResponse) -> dict[str, str]:
    """Return the headers that an answer sets."""
    return {one.header.key: one.header.raw_value.decode() for one in response.header_mutation.set_headers}
