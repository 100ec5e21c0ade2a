"""The gRPC status codes that are used here, and the encoding of a status message for its trailer."""

from __future__ import annotations

OK, CANCELLED, INVALID_ARGUMENT, DEADLINE_EXCEEDED, NOT_FOUND = 0, 1, 3, 4, 5
PERMISSION_DENIED, RESOURCE_EXHAUSTED, FAILED_PRECONDITION, UNIMPLEMENTED = 7, 8, 9, 12
INTERNAL, UNAVAILABLE = 13, 14

MAX_MESSAGE_BYTES = 1024  # bytes of a status message before it is encoded


FIRST_PRINTABLE = 0x20  # printable ASCII
LAST_PRINTABLE = 0x7E
PERCENT = 0x25


def percent_encoded(text: str) -> bytes:
    """Return a status message for the trailer: printable ASCII as it is, all other bytes percent-encoded."""
    return b"".join(
        bytes((byte,)) if FIRST_PRINTABLE <= byte <= LAST_PRINTABLE and byte != PERCENT else b"%%%02X" % byte
        for byte in text.encode()[:MAX_MESSAGE_BYTES]
    )
