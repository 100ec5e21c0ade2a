"""Clients' commands: checked, and turned into requests.

Owns what PROTOCOL asks of a command. It answers nothing and holds nothing: what is no request raises
InvalidCommandError with the text for the client.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass

from linenbridge.interface import Idempotency, Method
from linenbridge.net import resp

PING = b"PING"
QUERY = b"SVC.QUERY"  # takes idempotent methods alone
SUBMIT = b"SVC.SUBMIT"  # takes all others
MIN_ARGUMENTS = 4  # name, key, id, fields
MAX_ARGUMENTS = 5  # and a body
MICROSECONDS_PER_MILLISECOND = 1_000


class InvalidCommandError(ValueError):
    """A command that is no request; its text goes to the client."""


@dataclass(frozen=True, slots=True)
class RequestCommand:
    """A client's command that is a request; `ttl` is in microseconds, `work` the client's estimate."""

    rpc_id: str
    method: Method
    key: str
    tenant: str
    ttl: int
    work: int | None
    forwarded: resp.ForwardedCommand


def command_name(arguments: Sequence[bytes | memoryview]) -> bytes:
    """Return a command's name in upper case; empty where it has none."""
    return bytes(arguments[0]).upper() if arguments else b""


def parse_request(
    arguments: Sequence[bytes | memoryview],
    methods: dict[bytes, Method],
    open_ids: Container[str],
    max_ttl: int,
) -> RequestCommand:
    """Check a command and return the request in it; InvalidCommandError where it is none.

    `methods` are known by their names as bytes. A `ttl` beyond `max_ttl` microseconds counts as that.
    """
    name = command_name(arguments)
    if name not in (QUERY, SUBMIT):
        raise InvalidCommandError("unknown command")
    if not MIN_ARGUMENTS <= len(arguments) <= MAX_ARGUMENTS:
        raise InvalidCommandError("a command holds a key, an id, fields and at most one body")
    # Copied, as they outlive the buffer: further attempts need them.
    key = bytes(arguments[1])
    rpc_id = bytes(arguments[2]).decode("latin-1")
    fields = bytes(arguments[3]).split(b",")
    values = _parse_fields(fields)
    method = methods.get(values.get(b"c", b""))
    if method is None:
        raise InvalidCommandError("no such method" if b"c" in values else "the field c is missing")
    if (name == QUERY) != (method.idempotency == Idempotency.IDEMPOTENT):
        raise InvalidCommandError("this method goes by the other command")
    time_left = values.get(b"d", b"")
    if not _is_number(time_left):
        raise InvalidCommandError("the field d is missing or no number")
    if rpc_id in open_ids or not rpc_id:
        raise InvalidCommandError("this id is in use" if rpc_id else "the id is empty")
    work = values.get(b"h", b"")
    if work and not _is_number(work):
        raise InvalidCommandError("the field h is no number")
    return RequestCommand(
        rpc_id,
        method,
        key.decode("latin-1"),
        values.get(b"t", b"").decode("utf-8", "replace"),
        # Nobody waits longer than the settings allow; a longer time would only keep ended requests open.
        min(int(time_left) * MICROSECONDS_PER_MILLISECOND, max_ttl),
        int(work) if work else None,
        _forwarded_command(name, key, rpc_id, fields, arguments[MIN_ARGUMENTS:]),
    )


def _parse_fields(fields: list[bytes]) -> dict[bytes, bytes]:
    try:
        return dict([field.split(b"=", 1) for field in fields])
    except ValueError:
        raise InvalidCommandError("the fields are no names and values") from None


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= resp.MAX_DIGITS


def _forwarded_command(
    name: bytes, key: bytes, rpc_id: str, fields: list[bytes], body: Sequence[bytes | memoryview]
) -> resp.ForwardedCommand:
    """Return the command as it goes to instances: all its fields but the time left."""
    forwarded_fields = b"".join([field + b"," for field in fields if field[:2] != b"d="])
    return resp.ForwardedCommand((name, key, rpc_id.encode("latin-1"), *map(bytes, body)), forwarded_fields)
