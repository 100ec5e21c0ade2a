"""`linenbridge publish`: one change to its region's publisher, and what becomes of it in plain words.

Owns the words, the exit codes and the forms of values as people write them. It must never decide where a
change goes: that is the change client's (`distribution/hosting/change_client.py`).
"""

from __future__ import annotations

import io
import json
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.main import installReactor

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.distribution.changes import InstanceValue, Kind, TenantValue, ZoneValue
from linenbridge.distribution.configuration import DistributionSettings, Region, distribution
from linenbridge.distribution.errors import (
    ChangeRejected, ForeignKey, NotPublisher, OlderEpoch, PublisherBusy, QuorumUnreached,
)  # fmt: skip
from linenbridge.distribution.hosting.change_client import ChangeClient, Outcome
from linenbridge.distribution.hosting.methods import methods_of
from linenbridge.distribution.messages import Publish, Published
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.errors import Rejection
from linenbridge.logging.event_log import Log
from linenbridge.net.reactor import Reactor

IN_FORCE, ACCEPTED, REFUSED, UNKNOWN = range(4)  # exit codes
KINDS = {"routes": Kind.ROUTES, "tenant": Kind.TENANT, "instance": Kind.INSTANCE, "zone": Kind.ZONE}
FORMS = {Kind.TENANT: TenantValue, Kind.INSTANCE: InstanceValue, Kind.ZONE: ZoneValue}
REFUSALS: dict[str, type[Rejection]] = {
    kind.code: kind
    for kind in (ChangeRejected, ForeignKey, NotPublisher, OlderEpoch, PublisherBusy, QuorumUnreached)
}
REQUEST_MOST = 1 << 53


@dataclass(frozen=True, slots=True)
class Wanted:
    """What was asked for on the command line. Times in seconds."""

    kind: str
    name: str
    value: Path | None
    delete: bool
    region: str
    accepted_within: float
    in_force_within: float


def publish(configuration: Configuration, wanted: Wanted, as_json: bool) -> int:
    """Until the change is in force or time is up; the exit code."""
    settings = distribution(configuration)
    if settings is None:
        raise ConfigurationError(f"{configuration.path}: it has no element distribution; add it")
    name = wanted.region or settings.region
    region = settings.regions.get(name)
    if region is None or not region.publishers:
        raise ConfigurationError(f"{configuration.path}: no publisher of {name}; add it to the region")
    change = Publish(
        secrets.randbelow(REQUEST_MOST), name, _kind(wanted.kind), wanted.name, _value(wanted)
    )  # fmt: skip
    _check(settings, change)
    teller = Teller(name, as_json)
    outcome = _ask(region, change, wanted, teller)
    return teller.end(outcome)


def _kind(word: str) -> Kind:
    if word not in KINDS:
        raise ValueError(f"no kind is named {word}; name one of {', '.join(KINDS)}")
    return KINDS[word]


def _value(wanted: Wanted) -> bytes:
    """Routes as they are written; all else from a JSON object to its form, which fills in no default."""
    if wanted.delete and wanted.value is None:
        return b""
    if wanted.delete or wanted.value is None:
        raise ValueError("a change has a value or deletes its key; give one of --value and --delete")
    data = wanted.value.read_bytes()
    kind = _kind(wanted.kind)
    if kind == Kind.ROUTES:
        return data
    form = FORMS[kind]
    try:
        found = msgspec.json.decode(data, type=dict[str, Any])
        value = msgspec.convert([found.pop(field) for field in form.__struct_fields__], form)
    except KeyError as error:
        raise ValueError(f"{wanted.value}: it has no field {error.args[0]}; add it") from None
    except msgspec.MsgspecError as error:
        raise ValueError(f"{wanted.value}: {error}; mend the value") from None
    if found:
        raise ValueError(f"{wanted.value}: unknown fields {', '.join(found)}; remove them")
    return msgspec.msgpack.encode(value)


def _check(settings: DistributionSettings, change: Publish) -> None:
    """What the publisher will check, ahead of it, so that the author hears the place of a fault; routes only
    where the settings name the platform's configuration."""
    if not change.value or (change.kind == Kind.ROUTES and not settings.platform):
        return
    methods = methods_of(settings)
    if fault := ValueChecks(methods.methods, methods.max_deadline)(change.kind, change.name, change.value):
        raise ValueError(f"{change.name}: {fault}; {ChangeRejected.advice}")


def _ask(region: Region, change: Publish, wanted: Wanted, teller: Teller) -> Outcome:
    """A reactor for as long as the change takes."""
    reactor = Reactor()
    installReactor(reactor)
    log = Log(io.BytesIO())  # what links have to say is not for the author
    deadline: list[Any] = []

    def said(published: Published) -> None:
        teller.say(published)
        if published.state == "accepted":
            deadline.pop().cancel()
            deadline.append(reactor.callLater(wanted.in_force_within, reactor.stop))

    def begin() -> None:
        deadline.append(reactor.callLater(wanted.accepted_within, reactor.stop))

    client = ChangeClient(region, change, reactor, log, said, reactor.stop)
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=True)
    client.close()
    return client.outcome


class Teller:
    """Prints what becomes of the change, a line each."""

    def __init__(self, region: str, as_json: bool) -> None:
        self.region, self.as_json = region, as_json

    def say(self, published: Published) -> None:
        if self.as_json:
            row = msgspec.structs.asdict(published)
            print(json.dumps({**row, "version": msgspec.structs.asdict(published.version)}), flush=True)
            return
        place = f"{self.region} {published.version.epoch}.{published.version.sequence}"
        if published.state == "accepted":
            print(f"accepted    {place}", flush=True)
        elif published.state == "in_force":
            print(f"in force    {place}", flush=True)
            self._say_unreached(published)
        else:
            print(f"{published.state:<12}{_advised(published.code)}", flush=True)

    def _say_unreached(self, published: Published) -> None:
        if published.unreached_count:
            more = published.unreached_count - len(published.unreached)
            names = " ".join(published.unreached) + (f" and {more} more" if more > 0 else "")
            print(f"unreached   {published.unreached_count}: {names}", flush=True)

    def end(self, outcome: Outcome) -> int:
        """The exit code, with a last word where something is left open."""
        if outcome.in_force is not None:
            return ACCEPTED if outcome.in_force.unreached_count else IN_FORCE
        if outcome.accepted is not None:
            self._last("not known to be in force everywhere yet; it stays accepted: look at the relays")
            return ACCEPTED
        if outcome.rejected is not None:
            return REFUSED
        if outcome.maybe_accepted:
            self._last(f"unknown: it may be accepted later; {QuorumUnreached.advice}")
            return UNKNOWN
        self._last(f"not published: no publisher of {self.region} took it; {NotPublisher.advice}")
        return REFUSED

    def _last(self, words: str) -> None:
        if not self.as_json:
            print(words, flush=True)


def _advised(code: str) -> str:
    kind = REFUSALS.get(code)
    return code if kind is None else f"{code}: {kind.advice}"
