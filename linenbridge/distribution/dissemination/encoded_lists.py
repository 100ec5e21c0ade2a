"""Lists of encoded changes: joined into one encoding, and split into messages.

Owns the form of such a list on the wire, which is msgpack's encoding of a list of `Change`.
"""

from __future__ import annotations

import msgspec
from msgspec import Raw

_encode = msgspec.msgpack.Encoder().encode
EMPTY_LIST = _encode([])


def joined(encoded: list[bytes]) -> bytes:
    """The encoding of a list, from the encodings of its members."""
    return _encode([Raw(each) for each in encoded])


def split(encoded: list[bytes], max_bytes: int) -> list[list[bytes]]:
    """Split a list into parts of at most `max_bytes` bytes, or one member. An empty list is one empty
    part."""
    parts: list[list[bytes]] = [[]]
    size = 0
    for each in encoded:
        if parts[-1] and size + len(each) > max_bytes:
            parts.append([])
            size = 0
        parts[-1].append(each)
        size += len(each)
    return parts
