"""Checks clients' commands and converts them to requests.

This module owns the rules that PROTOCOL sets for a command. It keeps no state and sends no response: for a
command that is not a valid request it raises InvalidCommandError with the text for the client.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass

from linenbridge.interface import Idempotency, Method
from linenbridge.net import resp

PING = b"PING"
QUERY = b"SVC.QUERY"  # for idempotent methods only
SUBMIT = b"SVC.SUBMIT"  # for all other methods
MIN_ARGUMENTS = 4  # command name, key, id, fields
MAX_ARGUMENTS = 5  # the same and a body
MICROSECONDS_PER_MILLISECOND = 1_000


class InvalidCommandError(ValueError):
    """A command is not a valid request; the text of the error is sent to the client."""


@dataclass(frozen=True, slots=True)
class RequestCommand:
    """A valid request; `ttl` and `work`, the client's estimate of the work, are in microseconds."""

    rpc_id: str
    method: Method
    key: str
    tenant: str
    ttl: int
    work: int | None
    forwarded: resp.ForwardedCommand


def command_name(arguments: Sequence[bytes | memoryview]) -> bytes:
    """Return a command's name in upper case, or an empty value for an empty command."""
    return bytes(arguments[0]).upper() if arguments else b""


def parse_request(
    arguments: Sequence[bytes | memoryview],
    methods: dict[bytes, Method],
    open_ids: Container[str],
    max_ttl: int,
) -> RequestCommand:
    """Check a command and return its request.

    `methods` maps names as bytes to methods. The time left is limited to `max_ttl` microseconds.
    Raises InvalidCommandError if the command is not a valid request.
    """
    name = command_name(arguments)
    if name not in (QUERY, SUBMIT):
        raise InvalidCommandError("unknown command")
    if not MIN_ARGUMENTS <= len(arguments) <= MAX_ARGUMENTS:
        raise InvalidCommandError("a command holds a key, an id, fields and at most one body")
    # Copied, as later attempts use these values after the buffer is gone.
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
        # No client waits longer than the settings allow; a longer time would only keep ended requests open.
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
    """Return the command that is sent to instances: all fields except `d`, the time left."""
    forwarded_fields = b"".join([field + b"," for field in fields if field[:2] != b"d="])
    return resp.ForwardedCommand((name, key, rpc_id.encode("latin-1"), *map(bytes, body)), forwarded_fields)
