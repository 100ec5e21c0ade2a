"""A gRPC server over HTTP/2, to which proxies connect.

`status` holds the gRPC status codes, `stream` one gRPC stream, `connection` one connection with its HTTP/2
state (kept by `h2`), and `server` the listening port with all connections. No module decodes a message: a
service receives each complete message as bytes and returns bytes and a status. A peer that breaks the
protocol or stops reading affects only its own connection.
"""

from linenbridge.processor.http2.connection import Connection
from linenbridge.processor.http2.server import LAST_STREAM, FINAL_GOAWAY_DELAY, SWEEP_INTERVAL, Server
from linenbridge.processor.http2.status import (
    CANCELLED,
    DEADLINE_EXCEEDED,
    FAILED_PRECONDITION,
    INTERNAL,
    INVALID_ARGUMENT,
    NOT_FOUND,
    OK,
    PERMISSION_DENIED,
    RESOURCE_EXHAUSTED,
    UNAVAILABLE,
    UNIMPLEMENTED,
)
from linenbridge.processor.http2.stream import Call, Peer, Receiver

__all__ = [
    "CANCELLED",
    "DEADLINE_EXCEEDED",
    "FAILED_PRECONDITION",
    "FINAL_GOAWAY_DELAY",
    "INTERNAL",
    "INVALID_ARGUMENT",
    "LAST_STREAM",
    "NOT_FOUND",
    "OK",
    "PERMISSION_DENIED",
    "RESOURCE_EXHAUSTED",
    "SWEEP_INTERVAL",
    "UNAVAILABLE",
    "UNIMPLEMENTED",
    "Call",
    "Connection",
    "Peer",
    "Receiver",
    "Server",
]
