"""`linenbridge publish`: send one change to its region's publisher and print the responses.

This module defines the options, the printed lines, the exit codes, and the format of values in files.
`ChangeClient` (distribution/hosting/change_client.py) selects the publisher that a change is sent to.
"""

from __future__ import annotations

import io
import json
import secrets
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.main import installReactor

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.distribution.changes import InstanceValue, Kind, TenantValue, ZoneValue
from linenbridge.distribution.configuration import DistributionSettings, Region, distribution
from linenbridge.distribution.errors import (
    ChangeRejected,
    ForeignKey,
    NotPublisher,
    OlderEpoch,
    PublisherBusy,
    QuorumUnreached,
)
from linenbridge.distribution.hosting.change_client import ChangeClient, Outcome
from linenbridge.distribution.hosting.methods import methods_of
from linenbridge.distribution.messages import Publish, Published
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.errors import Rejection
from linenbridge.logging.event_log import Log
from linenbridge.net.reactor import Reactor


class ExitCode(IntEnum):
    """Exit codes of `publish`."""

    IN_FORCE = 0
    ACCEPTED = 1  # but not known to be in force everywhere
    REJECTED = 2  # or not published
    UNKNOWN = 3  # the change may be accepted later


KINDS = {"routes": Kind.ROUTES, "tenant": Kind.TENANT, "instance": Kind.INSTANCE, "zone": Kind.ZONE}
VALUE_TYPES = {Kind.TENANT: TenantValue, Kind.INSTANCE: InstanceValue, Kind.ZONE: ZoneValue}
REJECTION_TYPES: dict[str, type[Rejection]] = {
    kind.code: kind
    for kind in (ChangeRejected, ForeignKey, NotPublisher, OlderEpoch, PublisherBusy, QuorumUnreached)
}
MAX_REQUEST_ID = 1 << 53  # larger integers are not exact in JSON


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """The options of the command. Times are in seconds."""

    kind: str
    name: str
    value: Path | None
    delete: bool
    region: str
    accepted_within: float
    in_force_within: float


def publish(configuration: Configuration, options: ChangeOptions, *, as_json: bool) -> int:
    """Publish a change, wait until it is in force or a timeout ends, and return the exit code.

    Raise ConfigurationError, ValueError or OSError if the settings, the options or the value are invalid.
    """
    settings = distribution(configuration)
    if settings is None:
        raise ConfigurationError(f"{configuration.path}: the element `distribution` is missing; add it")
    name = options.region or settings.region
    region = settings.regions.get(name)
    if region is None or not region.publishers:
        raise ConfigurationError(
            f"{configuration.path}: no publisher in region {name}; add one, or correct --region"
        )
    change = Publish(
        secrets.randbelow(MAX_REQUEST_ID), name, _parse_kind(options.kind), options.name, _read_value(options)
    )
    _check_value(settings, change)
    printer = ResponsePrinter(name, as_json=as_json)
    outcome = _send_change(region, change, options, printer)
    return printer.finish(outcome)


def _parse_kind(name: str) -> Kind:
    if name not in KINDS:
        raise ValueError(f"unknown kind {name}; set --kind to one of {', '.join(KINDS)}")
    return KINDS[name]


def _read_value(options: ChangeOptions) -> bytes:
    """Return the encoded value of the change; b"" to delete the key.

    Routes are text; a value of another kind is a JSON object with every field of its type.
    """
    if options.delete and options.value is None:
        return b""
    if options.delete or options.value is None:
        raise ValueError("a change requires either --value or --delete; give exactly one of the two")
    data = options.value.read_bytes()
    kind = _parse_kind(options.kind)
    if kind == Kind.ROUTES:
        return data
    value_type = VALUE_TYPES[kind]
    try:
        found = msgspec.json.decode(data, type=dict[str, Any])
        value = msgspec.convert([found.pop(field) for field in value_type.__struct_fields__], value_type)
    except KeyError as error:
        raise ValueError(f"{options.value}: the field {error.args[0]} is missing; add it") from None
    except msgspec.MsgspecError as error:
        raise ValueError(f"{options.value}: {error}; correct the value") from None
    if found:
        raise ValueError(f"{options.value}: unknown fields {', '.join(found)}; remove them")
    return msgspec.msgpack.encode(value)


def _check_value(settings: DistributionSettings, change: Publish) -> None:
    """Make the publisher's checks before the change is sent; unlike its response, the error has the place.

    Routes are checked only if the settings name the platform's configuration.
    """
    if not change.value or (change.kind == Kind.ROUTES and not settings.platform):
        return
    methods = methods_of(settings)
    if fault := ValueChecks(methods.methods, methods.max_deadline)(change.kind, change.name, change.value):
        raise ValueError(f"{change.name}: {fault}; {ChangeRejected.advice}")


def _send_change(
    region: Region, change: Publish, options: ChangeOptions, printer: ResponsePrinter
) -> Outcome:
    """Send the change and run the reactor until the last response or a timeout."""
    reactor = Reactor()
    installReactor(reactor)
    log = Log(io.BytesIO())  # log lines about connections are not printed
    deadline: list[Any] = []

    def on_response(published: Published) -> None:
        printer.print_response(published)
        if published.state == "accepted":
            deadline.pop().cancel()
            deadline.append(reactor.callLater(options.in_force_within, reactor.stop))

    def begin() -> None:
        deadline.append(reactor.callLater(options.accepted_within, reactor.stop))

    client = ChangeClient(region, change, reactor, log, on_response, reactor.stop)
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=True)
    client.close()
    return client.outcome


class ResponsePrinter:
    """Prints the publisher's responses, one line each."""

    def __init__(self, region: str, *, as_json: bool) -> None:
        self.region = region
        self.as_json = as_json

    def print_response(self, published: Published) -> None:
        """Print one response, as text or as a JSON object."""
        if self.as_json:
            row = msgspec.structs.asdict(published)
            print(json.dumps({**row, "version": msgspec.structs.asdict(published.version)}), flush=True)
            return
        place = f"{self.region} {published.version.epoch}.{published.version.sequence}"
        if published.state == "accepted":
            print(f"accepted    {place}", flush=True)
        elif published.state == "in_force":
            print(f"in force    {place}", flush=True)
            self._print_unreached(published)
        else:
            print(f"{published.state:<12}{_with_advice(published.code)}", flush=True)

    def _print_unreached(self, published: Published) -> None:
        if published.unreached_count:
            more = published.unreached_count - len(published.unreached)
            names = " ".join(published.unreached) + (f" and {more} more" if more > 0 else "")
            print(f"unreached   {published.unreached_count}: {names}", flush=True)

    def finish(self, outcome: Outcome) -> ExitCode:
        """Print a last line if no final response was received, and return the exit code."""
        if outcome.in_force is not None:
            return ExitCode.ACCEPTED if outcome.in_force.unreached_count else ExitCode.IN_FORCE
        if outcome.accepted is not None:
            self._print_last(
                "not known to be in force everywhere yet; the change stays accepted: check the relays"
            )
            return ExitCode.ACCEPTED
        if outcome.rejected is not None:
            return ExitCode.REJECTED
        if outcome.maybe_accepted:
            self._print_last(f"unknown: it may be accepted later; {QuorumUnreached.advice}")
            return ExitCode.UNKNOWN
        self._print_last(f"not published: no publisher of {self.region} took it; {NotPublisher.advice}")
        return ExitCode.REJECTED

    def _print_last(self, line: str) -> None:
        if not self.as_json:
            print(line, flush=True)


def _with_advice(code: str) -> str:
    kind = REJECTION_TYPES.get(code)
    return code if kind is None else f"{code}: {kind.advice}"
