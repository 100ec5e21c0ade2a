"""Settings of the processor: converts the element `processor` of the validated XML to plain objects.

Also loads the routes that the element refers to. Defaults belong in the schema, where operators can read
them, not in this module.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, replace
from functools import partial

from lxml import etree

from linenbridge.configuration.read import (
    MAX_FILE_BYTES,
    SPACE,
    Configuration,
    ConfigurationError,
    child_attributes,
    duration,
    size,
)
from linenbridge.interface import Method
from linenbridge.net.discovery import host_port
from linenbridge.processor.connection_limits import ConnectionLimits
from linenbridge.processor.reservations import ReservationTerms
from linenbridge.processor.response_classification import NonExecutionRule
from linenbridge.processor.responses import ResponseFormat
from linenbridge.processor.stream_session import ProxyPeer
from linenbridge.processor.tls import KeyFiles
from linenbridge.routes.language import RouteError
from linenbridge.routes.table import RoutesError, Table, table

MAX_USE_WITHIN = (
    250_000  # microseconds; half of the drain grace period, so that attempts are sent well within it
)
TLS_FILES = ("certificate", "key", "authorities")


@dataclass(frozen=True, slots=True)
class ProcessorSettings:
    """The validated element `processor` of the settings. Times are in microseconds, sizes in bytes."""

    host: str
    port: int
    pass_unrouted: bool
    tls: KeyFiles | None
    limits: ConnectionLimits
    connections: int
    terms: ReservationTerms
    store: tuple[str, str] | None
    response_format: ResponseFormat
    non_execution_rules: tuple[NonExecutionRule, ...]
    peers: tuple[PeerIdentity, ...]
    routes: str
    routes_file: str
    routes_line: int


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """How a proxy is identified: by a name in its certificate, or by the network it connects from."""

    peer: ProxyPeer
    identity: str
    network: ipaddress.IPv4Network | ipaddress.IPv6Network | None


def processor_settings(configuration: Configuration) -> ProcessorSettings | None:
    """Return the settings of the processor, or None if the file has no such element.

    Raises ConfigurationError, with the location, if a value is invalid or the routes file cannot be read.
    """
    element = configuration.part("processor")
    if element is None:
        return None
    path = configuration.path
    host, port = host_port(element.get("listen").replace("[", "").replace("]", ""))
    bounds = child_attributes(element, "bounds")
    terms = child_attributes(element, "tickets")
    use_within = duration(terms["use-within"])
    if use_within > MAX_USE_WITHIN:
        max_milliseconds = MAX_USE_WITHIN // 1000
        raise configuration.error_at(
            element.find(f"{SPACE}tickets"),
            f"use-within is {terms['use-within']}, the maximum is {max_milliseconds}ms",
        )
    peers = tuple(_peer(configuration, partner) for partner in element.iter(f"{SPACE}partner"))
    names = [known.peer.name for known in peers]
    for partner in element.iter(f"{SPACE}partner"):
        if names.count(partner.get("name")) > 1:
            raise configuration.error_at(
                partner,
                f"the name '{partner.get('name')}' is used by several partners; each requires its own",
            )
    tls, store, routes = (
        element.find(f"{SPACE}tls"),
        element.find(f"{SPACE}store"),
        element.find(f"{SPACE}routes"),
    )
    file, text, line = path, routes.text or "", routes.sourceline
    if (routes_path := routes.get("file")) is not None:
        if text.strip():
            raise configuration.error_at(
                routes,
                "the element has both the attribute `file` and routes as its text; keep one of the two",
            )
        file, line = configuration.beside(routes_path), 1
        try:
            with open(file, encoding="utf-8") as opened:
                text = opened.read(MAX_FILE_BYTES)
        except (OSError, UnicodeDecodeError) as error:
            raise configuration.error_at(routes, f"cannot read the routes file {file}: {error}") from None
    store_location = None
    if store is not None:
        store_location = configuration.beside(store.get("file")), store.get("outlives", "process")
    return ProcessorSettings(
        host=host,
        port=port,
        pass_unrouted=element.get("unrouted") == "pass",
        tls=None if tls is None else KeyFiles(*(configuration.beside(tls.get(n, "")) for n in TLS_FILES)),
        limits=ConnectionLimits(
            int(bounds["streams"]),
            size(bounds["message"]),
            size(bounds["headers"]),
            size(bounds["backlog"]),
            duration(bounds["first-word"]),
            duration(bounds["unread"]),
            duration(bounds["idle"]),
        ),
        connections=int(bounds["connections"]),
        terms=ReservationTerms(
            use_within, use_within, duration(terms["remember"]), int(terms["open"]), int(terms["ids"])
        ),
        store=store_location,
        response_format=_response_format(element.find(f"{SPACE}answer")),
        non_execution_rules=tuple(
            NonExecutionRule(int(rule.get("status")), rule.get("header"), rule.get("value"))
            for rule in element.iter(f"{SPACE}proof")
        ),
        peers=peers,
        routes=text,
        routes_file=file,
        routes_line=line,
    )


def _response_format(element: etree._Element | None) -> ResponseFormat:
    attributes = {
        name.replace("-", "_"): value
        for name, value in (element.attrib if element is not None else {}).items()
    }
    codes = {
        name: int(value)
        for name, value in attributes.items()
        if name in ("pushed_back", "aborted", "timed_out")
    }
    return replace(ResponseFormat(), **{**attributes, **codes})


def _peer(configuration: Configuration, element: etree._Element) -> PeerIdentity:
    error_here = partial(configuration.error_at, element)
    identity, address, network = element.get("identity", ""), element.get("address", ""), None
    if bool(identity) == bool(address):
        raise error_here("a partner requires either `identity` or `address`; set exactly one of the two")
    if address:
        try:
            network = ipaddress.ip_network(address, strict=False)
        except ValueError as error:
            raise error_here(str(error)) from None
    is_own = element.get("ours") in ("true", "1")
    if is_own and not identity and not (network is not None and network.is_loopback):
        raise error_here(
            "a partner with `ours` requires `identity` or a loopback `address`, as others can be spoofed"
        )
    peer = ProxyPeer(
        element.get("name"),
        is_own,
        int(element.get("attempts", "1")),
        element.get("fail-open") not in ("false", "0"),
    )
    return PeerIdentity(peer, identity, network)


def routes(settings: ProcessorSettings, methods: list[Method], max_deadline: int) -> Table:
    """Return the routing table; raises ConfigurationError with the location of each fault."""
    try:
        return table(settings.routes, methods, max_deadline)
    except RoutesError as faults:
        raise ConfigurationError(
            "\n".join(_with_location(settings, error) for error in faults.errors)
        ) from None
    except RouteError as error:
        raise ConfigurationError(_with_location(settings, error)) from None


def _with_location(settings: ProcessorSettings, error: RouteError) -> str:
    line = settings.routes_line + error.place.line - 1
    return f"{settings.routes_file}:{line}:{error.place.column}: {error.what}"


class PeerDirectory:
    """Finds the peer of a connection: the first partner whose identity or network matches."""

    def __init__(self, peers: tuple[PeerIdentity, ...]) -> None:
        self.peers = peers

    def find(self, address: str, names: tuple[str, ...]) -> ProxyPeer | None:
        """Return the peer at an address with these certificate names, or None if no partner matches."""
        for known in self.peers:
            if known.identity:
                if known.identity in names:
                    return known.peer
            elif known.network is not None and ipaddress.ip_address(address) in known.network:
                return known.peer
        return None
