"""Whether a change's value can be read and passes its checks.

Decides without I/O. Publishers ask the same before they accept a change, so that what a gateway refuses is
rare: a gateway of an earlier release, or a method that its settings do not have.
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
from linenbridge.interface import DRAINING, GONE, READY, Method
from linenbridge.routes.language import RouteError, parse_by_rule
from linenbridge.routes.table import FaultsError, checked_table

WORD_MOST = 256  # characters of a zone's, cell's or host's name
NUMBER_MOST = 1 << 53
PORT_MOST = 65_535

Value = bytes | TenantValue | InstanceValue | ZoneValue


class ValueChecks:
    """Reads values against the methods of this gateway. `longest` is the longest deadline, in
    microseconds."""

    def __init__(self, methods: Iterable[Method], longest: int) -> None:
        self.methods, self.longest = list(methods), longest

    def __call__(self, kind: int, name: str, value: bytes) -> str:
        """Why a value would be refused; "" where it would not."""
        try:
            self.read(kind, name, value)
        except ChangeRejected as error:
            return error.what
        return ""

    def read(self, kind: int, name: str, value: bytes) -> Value:
        """The value in its table's form, a set of routes packed; else ChangeRefused."""
        steps = self.reading(kind, name, value)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def reading(self, kind: int, name: str, value: bytes) -> Generator[None, None, Value]:
        """The same in steps: a set of routes takes some milliseconds, a step one rule, or the checks of all
        against each other."""
        if not 0 < len(name) <= MAX_NAME_CHARACTERS:
            raise ChangeRejected(f"a name has 1 to {MAX_NAME_CHARACTERS} characters", name[:WORD_MOST])
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
            raise ChangeRejected(str(error), name) from None
        raise ChangeRejected(f"no kind of key is numbered {kind}", name)

    def _routes(self, value: bytes) -> Generator[None, None, bytes]:
        rules = []
        try:
            for rule in parse_by_rule(value.decode()):
                rules.append(rule)
                yield
            table = checked_table(rules, self.methods, self.longest)
            yield
            return pack_rules(table)
        except (FaultsError, RouteError) as error:
            raise ValueError(str(error)) from None


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
    if found.state not in (GONE, READY, DRAINING):
        raise ValueError(f"no state is numbered {found.state}")
    if not (isfinite(found.size) and found.size > 0.0):
        raise ValueError(f"a size is above 0, not {found.size}")
    if not (0 <= found.build < NUMBER_MOST and 0 <= found.started < NUMBER_MOST):
        raise ValueError("build and start are whole numbers from 0")
    if max(len(found.zone), len(found.cell), len(found.host)) > WORD_MOST or not found.host:
        raise ValueError(f"zone, cell and host have {WORD_MOST} characters at most, and there is a host")
    if not 0 < found.port <= PORT_MOST:
        raise ValueError(f"no port is numbered {found.port}")
    return found
