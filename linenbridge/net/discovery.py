"""Discovery: watches the endpoint list for the lifetime of the process.

This module owns the watch and the version of the list last received. It converts entries to those of the
decision module. It does not judge instances, and never applies a
list or an update in part: a message that can't be parsed completely ends its stream, and the next stream
requests the changes since the version last applied.
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
from linenbridge.net.start_times import StartTimes
from linenbridge.net.watch_stream import WatchSettings, WatchStream

KEEPALIVE_INTERVAL = 2.0  # seconds; PROTOCOL, Discovery
MISSED_UPDATE_DEADLINE = 6.0  # seconds; STANDING: updates that a silent watch misses count as delivered then
MAX_PORT = (1 << 16) - 1
STATES = {
    "active": InstanceState.READY,
    "leaving": InstanceState.DRAINING,
    "left": InstanceState.REMOVED,
}

ListedEndpoint = tuple[EndpointEntry, tuple[str, int]]  # an entry with its host and port


class EndpointListener(Protocol):
    """Receives the addresses of instances from discovery."""

    def listed(self, listed: Sequence[ListedEndpoint], is_snapshot: bool) -> None:
        """Apply the listed endpoints: the whole list if `is_snapshot`, otherwise only those that changed."""
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
    """A version of the list: the whole list if `snapshot`, otherwise the changed entries."""

    index: int
    snapshot: bool
    endpoints: list[Endpoint]


def host_port(address: str) -> tuple[str, int]:
    """Return host and port of an address `host:port`; raises ValueError for any other text."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f"{address!r} is not an address of the form host:port with a port from 1 to {MAX_PORT}"
        )
    return host, int(port)


class Discovery:
    """Passes the endpoint list on to its listeners and to the decision module.

    If `is_pushed` is true, discovery sends changes without a request of the decision module. `open_watch`
    creates a watch from its settings. `connect_timeout` is in microseconds, `max_length` in bytes of one
    message.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        listeners: Sequence[EndpointListener],
        start_times: StartTimes,
        is_pushed: bool,
        open_watch: Callable[..., WatchStream],
        connect_timeout: int,
        max_length: int,
    ) -> None:
        self.loop = loop
        self.listeners = listeners
        self.start_times = start_times
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
        """Open the watch if changes are pushed; otherwise the decision module requests it."""
        if self.is_pushed:
            self.stream.start()

    def on_first_update(self, call: Callable[[], object]) -> None:
        """Call `call` when the first message arrives.

        It is also called after one keep-alive interval, in case discovery is silent, and so may be called
        twice.
        """
        self.stream.on_first_message = call
        self.stream.reactor.callLater(KEEPALIVE_INTERVAL, call)

    def watch(self) -> None:
        """Open the watch at the request of the decision module."""
        self.stream.start()

    def move(self, address: tuple[str, int]) -> None:
        """Continue the watch at another address, from the version last received."""
        self.stream.move(address)

    def on_message(self, line: memoryview) -> None:
        """Apply one message of the watch; raises MalformedError if any part of it can't be parsed."""
        try:
            update = msgspec.json.decode(line, type=EndpointList)
            self.apply(update, is_poll_response=True)
        except (msgspec.DecodeError, ValueError) as error:
            raise MalformedError(str(error)) from None

    def apply(self, update: EndpointList, *, is_poll_response: bool) -> None:
        """Pass a list or its changes to the listeners now, and to the decision module in the next turn.

        Changes older than the version last received come from a former address, and are ignored.
        """
        if not update.snapshot and update.index < self.index:
            return
        listed = [(self._entry(endpoint), host_port(endpoint.address)) for endpoint in update.endpoints]
        self.index = update.index
        is_snapshot = update.snapshot
        if is_snapshot:
            self.start_times.retain({endpoint.name for endpoint in update.endpoints})
        for listener in self.listeners:
            listener.listed(listed, is_snapshot)
        entries = [entry for entry, _ in listed]
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_endpoint_list(
                now, entries, is_snapshot=is_snapshot, is_poll_response=is_poll_response
            )
        )

    def _entry(self, endpoint: Endpoint) -> EndpointEntry:
        started_at = self.start_times.convert(endpoint.name, endpoint.since_ms)
        size = 1.0 if endpoint.weight is None else endpoint.weight
        state = STATES[endpoint.status]
        return EndpointEntry(
            endpoint.name, endpoint.release, endpoint.zone or "", endpoint.group or 0, state, size, started_at
        )
