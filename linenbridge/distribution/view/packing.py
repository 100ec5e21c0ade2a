"""Several named values in one piece of bytes, for many small values: a name and a value cost 6 bytes beside
their own, where a dict entry with its two objects costs some 200.

Decides without I/O. A look-up goes through the names in order, so that a piece is for a dozen of them: the
groups of one range of keys.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct as Layout

HEAD = Layout(">HI")  # bytes of the name, bytes of the value


def entry(name: str, value: bytes) -> bytes:
    """A piece that holds one value."""
    words = name.encode()
    return HEAD.pack(len(words), len(value)) + words + value


def value_of(piece: bytes, name: str) -> bytes | None:
    """The value of that name; None where there is none."""
    found = _place(piece, name.encode())
    return None if found is None else piece[found[1] : found[2]]


def replaced(piece: bytes, name: str, value: bytes | None) -> bytes:
    """The piece with another value of that name, or without it."""
    found = _place(piece, name.encode())
    begin, _, end = (len(piece),) * 3 if found is None else found
    new = b"" if value is None else entry(name, value)
    return b"".join((piece[:begin], new, piece[end:]))


def names(piece: bytes) -> Iterator[str]:
    """Every name, in no particular order."""
    at = 0
    while at < len(piece):
        name, value = HEAD.unpack_from(piece, at)
        at += HEAD.size
        yield piece[at : at + name].decode()
        at += name + value


def _place(piece: bytes, wanted: bytes) -> tuple[int, int, int] | None:
    """Where the entry of that name begins, where its value does, and where both end."""
    at, size, length, head = 0, len(piece), len(wanted), HEAD.size
    while at < size:
        name, value = HEAD.unpack_from(piece, at)
        begin = at + head
        if name == length and piece[begin : begin + name] == wanted:
            return at, begin + name, begin + name + value
        at = begin + name + value
    return None
