"""gRPC over HTTP/2 for proxies: connections, their streams, and messages in and out.

`status` holds gRPC's statuses, `stream` one gRPC stream, `connection` one peer's connection with its HTTP/2
state (by `h2`), `server` the listening side with all connections. No part reads a message: a service is
handed each whole one and gives back bytes and a status. Whatever a peer sends or withholds costs its own
connection.
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
