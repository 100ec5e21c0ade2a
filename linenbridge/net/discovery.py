"""Discovery: the endpoint list, watched for the life of the process.

Owns the version last received and the watch. Converts entries to the decision module's, with Unix times moved
to the gateway's clock in one place. It does not judge an instance, nor apply a list or its changes in part:
one that can't be read as a whole ends its stream, and the next requests changes since the version applied.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal, Protocol

import msgspec
from msgspec import Struct

from linenbridge.interface import EndpointEntry, InstanceState
from linenbridge.net import http
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.resp import MalformedError
from linenbridge.net.watch_stream import WatchSettings, WatchStream
from linenbridge.startup import LONG_AGO

KEEPALIVE_INTERVAL = 2.0  # seconds; PROTOCOL, Discovery
MISSED_UPDATE_DEADLINE = 6.0  # seconds; STANDING: what a silent watch misses counts as delivered then
MAX_PORT = (1 << 16) - 1
STATES = {
    "active": InstanceState.READY,
    "leaving": InstanceState.DRAINING,
    "left": InstanceState.REMOVED,
}

ListedEndpoint = tuple[EndpointEntry, tuple[str, int]]  # with its host and port


class EndpointListener(Protocol):
    """Anyone who has to know where instances are."""

    def listed(self, listed: Sequence[ListedEndpoint], is_snapshot: bool) -> None:
        """Take in the endpoints as discovery has them now; all of them where it is a snapshot."""
        ...


class Endpoint(Struct):
    """One entry of the list, as discovery sends it."""

    name: str
    address: str
    status: Literal["active", "leaving", "left"]
    release: int
    zone: str | None = ""
    group: int | str | None = 0
    weight: float | None = 1.0
    since_ms: float | None = 0.0


class EndpointList(Struct):
    """A version of the list: all of it, or what has changed."""

    index: int
    snapshot: bool
    endpoints: list[Endpoint]


def host_port(address: str) -> tuple[str, int]:
    """Split `host:port`; ValueError where it is no such address."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{address!r} is no address")
    return host, int(port)


class Discovery:
    """Passes the endpoint list on to its listeners and to the decision module.

    `unix_offset` is added to Unix times in microseconds to give the gateway's clock. `is_pushed` says that
    changes come without a request of the module's. `open_watch` makes the watch of given settings.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        listeners: Sequence[EndpointListener],
        unix_offset: int,
        is_pushed: bool,
        open_watch: Callable[..., WatchStream],
        connect_timeout: int,
        max_length: int,
    ) -> None:
        self.loop = loop
        self.listeners = listeners
        self.unix_offset = unix_offset
        self.is_pushed = is_pushed
        self.index = 0
        settings = WatchSettings(
            "discovery",
            KEEPALIVE_INTERVAL,
            connect_timeout,
            max_length,
            http.ObjectSplitter,
            MISSED_UPDATE_DEADLINE,
        )
        self.stream = open_watch(settings, path=self._path, on_message=self.on_message)

    def _path(self) -> str:
        return f"/catalog/members?follow=1&since={self.index}"

    def start(self) -> None:
        """Open the watch where changes are pushed; elsewhere the module requests it."""
        if self.is_pushed:
            self.stream.start()

    def on_first_update(self, call: Callable[[], object]) -> None:
        """Call when discovery has first delivered, or has been silent for a keep-alive interval."""
        self.stream.on_first_message = call
        self.stream.reactor.callLater(KEEPALIVE_INTERVAL, call)

    def watch(self) -> None:
        """Open the watch, as the module requests it."""
        self.stream.start()

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address, from the version last received on."""
        self.stream.move(address)

    def on_message(self, line: memoryview) -> None:
        """Apply one message of the watch; MalformedError where it can't be read as a whole."""
        try:
            update = msgspec.json.decode(line, type=EndpointList)
            self.apply(update, is_poll_response=True)
        except (msgspec.DecodeError, ValueError) as error:
            raise MalformedError(str(error)) from None

    def apply(self, update: EndpointList, *, is_poll_response: bool) -> None:
        """Pass a list or its changes to the listeners now, and to the module in the next turn.

        Changes older than the known version were received at an address now left, and are ignored.
        """
        if not update.snapshot and update.index < self.index:
            return
        listed = [(self._entry(endpoint), host_port(endpoint.address)) for endpoint in update.endpoints]
        self.index = update.index
        is_snapshot = update.snapshot
        for listener in self.listeners:
            listener.listed(listed, is_snapshot)
        entries = [entry for entry, _ in listed]
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_endpoint_list(
                now, entries, is_snapshot=is_snapshot, is_poll_response=is_poll_response
            )
        )

    def _entry(self, endpoint: Endpoint) -> EndpointEntry:
        """Convert an entry; the same Unix milliseconds always give the same microseconds."""
        started_at = round(endpoint.since_ms * 1000) + self.unix_offset if endpoint.since_ms else LONG_AGO
        size = 1.0 if endpoint.weight is None else endpoint.weight
        state = STATES[endpoint.status]
        return EndpointEntry(
            endpoint.name, endpoint.release, endpoint.zone or "", endpoint.group or 0, state, size, started_at
        )
