"""Several named values in one bucket of bytes, for many small values: a name and a value cost 6 bytes beside
their own, where a dict entry with its two objects costs some 200.

Decides without I/O. A look-up goes through the names in order, so that a bucket is for a dozen of them: the
groups of one range of keys.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct as Layout

HEADER = Layout(">HI")  # bytes of the name, bytes of the value


def packed_entry(name: str, value: bytes) -> bytes:
    """A bucket that holds one value."""
    encoded_name = name.encode()
    return HEADER.pack(len(encoded_name), len(value)) + encoded_name + value


def value_of(bucket: bytes, name: str) -> bytes | None:
    """The value of that name; None where there is none."""
    found = _find_entry(bucket, name.encode())
    return None if found is None else bucket[found[1] : found[2]]


def with_value(bucket: bytes, name: str, value: bytes | None) -> bytes:
    """The bucket with another value of that name, or without it."""
    found = _find_entry(bucket, name.encode())
    begin, _, end = (len(bucket),) * 3 if found is None else found
    new = b"" if value is None else packed_entry(name, value)
    return b"".join((bucket[:begin], new, bucket[end:]))


def names(bucket: bytes) -> Iterator[str]:
    """Every name, in no particular order."""
    at = 0
    while at < len(bucket):
        name, value = HEADER.unpack_from(bucket, at)
        at += HEADER.size
        yield bucket[at : at + name].decode()
        at += name + value


def _find_entry(bucket: bytes, wanted: bytes) -> tuple[int, int, int] | None:
    """Where the entry of that name begins, where its value does, and where both end."""
    at, size, length, head = 0, len(bucket), len(wanted), HEADER.size
    while at < size:
        name, value = HEADER.unpack_from(bucket, at)
        begin = at + head
        if name == length and bucket[begin : begin + name] == wanted:
            return at, begin + name, begin + name + value
        at = begin + name + value
    return None
