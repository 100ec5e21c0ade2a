"""Joining encoded changes into one encoded list, and splitting them into the parts of several messages.

The list has the form of msgpack's encoding of a list of `Change`.
"""

from __future__ import annotations

import msgspec
from msgspec import Raw

_encode = msgspec.msgpack.Encoder().encode
EMPTY_LIST = _encode([])


def encode_list(encoded: list[bytes]) -> bytes:
    """Return the encoding of a list, given the encodings of its items."""
    return _encode([Raw(each) for each in encoded])


def split(encoded: list[bytes], max_bytes: int) -> list[list[bytes]]:
    """Split a list of encoded items into parts of at most `max_bytes` bytes.

    An item that is larger is a part of its own. An empty list gives one empty part.
    """
    parts: list[list[bytes]] = [[]]
    size = 0
    for each in encoded:
        if parts[-1] and size + len(each) > max_bytes:
            parts.append([])
            size = 0
        parts[-1].append(each)
        size += len(each)
    return parts
