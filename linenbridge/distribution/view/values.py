"""Decoding and checks of the value of a change.

Publishers run the same checks before they accept a change, so a gateway seldom rejects one: it may run an
earlier release, or lack a method in its settings. Pure functions of the value and the settings' methods.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from math import isfinite

import msgspec

from linenbridge.distribution.changes import (
    MAX_NAME_CHARACTERS,
    MAX_VALUE_BYTES,
    InstanceValue,
    Kind,
    TenantValue,
    ZoneValue,
)
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.rules import pack_rules
from linenbridge.interface import InstanceState, Method
from linenbridge.routes.language import RouteError, parse_by_rule
from linenbridge.routes.table import RoutesError, checked_table

MAX_TEXT_LENGTH = 256  # characters of the name of a zone, a cell or a host
MAX_INTEGER = 1 << 53  # exclusive: JSON readers may round integers from here on
MAX_PORT = 65_535

Value = bytes | TenantValue | InstanceValue | ZoneValue


class ValueChecks:
    """The checks of a value, with the methods of this gateway."""

    def __init__(self, methods: Iterable[Method], max_deadline: int) -> None:
        """Check against these methods; `max_deadline` is the longest deadline of a route, in microseconds."""
        self.methods = list(methods)
        self.max_deadline = max_deadline

    def __call__(self, kind: int, name: str, value: bytes) -> str:
        """Return the reason to reject a value; "" if it passes the checks."""
        try:
            self.read(kind, name, value)
        except ChangeRejected as error:
            return error.what
        return ""

    def read(self, kind: int, name: str, value: bytes) -> Value:
        """Return the decoded value, or the packed rule set; raise ChangeRejected if it fails a check."""
        steps = self.read_in_steps(kind, name, value)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def read_in_steps(self, kind: int, name: str, value: bytes) -> Generator[None, None, Value]:
        """Return the same as `read`, in steps of about a millisecond.

        A rule set takes several milliseconds: a step parses one rule, or checks all rules against each other.
        """
        if not 0 < len(name) <= MAX_NAME_CHARACTERS:
            raise ChangeRejected(f"a name has 1 to {MAX_NAME_CHARACTERS} characters", name[:MAX_TEXT_LENGTH])
        if len(value) > MAX_VALUE_BYTES:
            raise ChangeRejected(f"{len(value)} bytes, {MAX_VALUE_BYTES} at most", name)
        try:
            match kind:
                case Kind.ROUTES:
                    return (yield from self._routes(value))
                case Kind.TENANT:
                    return _tenant(value)
                case Kind.INSTANCE:
                    return _instance(name, value)
                case Kind.ZONE:
                    return msgspec.msgpack.decode(value, type=ZoneValue)
        except (msgspec.MsgspecError, ValueError) as error:
            raise ChangeRejected(str(error), name) from error
        raise ChangeRejected(f"no kind of key is numbered {kind}", name)

    def _routes(self, value: bytes) -> Generator[None, None, bytes]:
        rules = []
        try:
            for rule in parse_by_rule(value.decode()):
                rules.append(rule)
                yield
            table = checked_table(rules, self.methods, self.max_deadline)
            yield
            return pack_rules(table)
        except (RoutesError, RouteError) as error:
            raise ValueError(str(error)) from error


def _tenant(value: bytes) -> TenantValue:
    found = msgspec.msgpack.decode(value, type=TenantValue)
    if not 0.0 <= found.share <= 1.0:
        raise ValueError(f"a share is 0 to 1, not {found.share}")
    if msgspec.msgpack.encode(found) != value:
        raise ValueError("a share is written as one 64-bit float")
    return found


def _instance(name: str, value: bytes) -> InstanceValue:
    service, _, instance = name.partition("/")
    if not service or not instance:
        raise ValueError("an instance's name is service/instance")
    found = msgspec.msgpack.decode(value, type=InstanceValue)
    if found.state not in (InstanceState.REMOVED, InstanceState.READY, InstanceState.DRAINING):
        raise ValueError(f"no state is numbered {found.state}")
    if not (isfinite(found.size) and found.size > 0.0):
        raise ValueError(f"a size is above 0, not {found.size}")
    if not (0 <= found.build < MAX_INTEGER and 0 <= found.started < MAX_INTEGER):
        raise ValueError("build and start are whole numbers from 0")
    longest = max(len(found.zone), len(found.cell), len(found.host))
    if longest > MAX_TEXT_LENGTH or not found.host:
        raise ValueError(
            f"zone, cell and host have {MAX_TEXT_LENGTH} characters at most, and there is a host"
        )
    if not 0 < found.port <= MAX_PORT:
        raise ValueError(f"no port is numbered {found.port}")
    return found
