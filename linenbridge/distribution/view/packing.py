"""A bucket: several named values in one bytes object.

An entry adds 6 bytes to its name and value, while a dict entry with its two objects adds about 200. A look-up
scans the names one after another, so a bucket is meant for about a dozen entries, such as the groups of one
range of keys. Pure functions.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct as Layout
from typing import NamedTuple

HEADER = Layout(">HI")  # size of the encoded name, size of the value; bytes


class _Span(NamedTuple):
    """Offsets in a bucket: where an entry begins, where its value begins, and where both end."""

    begin: int
    value: int
    end: int


def packed_entry(name: str, value: bytes) -> bytes:
    """Return a bucket with one entry. Buckets are joined by concatenation."""
    encoded_name = name.encode()
    return HEADER.pack(len(encoded_name), len(value)) + encoded_name + value


def value_of(bucket: bytes, name: str) -> bytes | None:
    """Return the value under a name; None if the bucket has none."""
    span = _find(bucket, name.encode())
    return None if span is None else bucket[span.value : span.end]


def with_value(bucket: bytes, name: str, value: bytes | None) -> bytes:
    """Return the bucket with the value set under a name, or with the name removed if the value is None."""
    span = _find(bucket, name.encode())
    entry = b"" if value is None else packed_entry(name, value)
    if span is None:
        return bucket + entry
    return b"".join((bucket[: span.begin], entry, bucket[span.end :]))


def names(bucket: bytes) -> Iterator[str]:
    """Yield every name of the bucket, in no particular order."""
    offset = 0
    while offset < len(bucket):
        name_size, value_size = HEADER.unpack_from(bucket, offset)
        offset += HEADER.size
        yield bucket[offset : offset + name_size].decode()
        offset += name_size + value_size


def _find(bucket: bytes, wanted: bytes) -> _Span | None:
    offset = 0
    size = len(bucket)
    wanted_size = len(wanted)
    header_size = HEADER.size
    while offset < size:
        name_size, value_size = HEADER.unpack_from(bucket, offset)
        name = offset + header_size
        if name_size == wanted_size and bucket[name : name + name_size] == wanted:
            value = name + name_size
            return _Span(offset, value, value + value_size)
        offset = name + name_size + value_size
    return None
