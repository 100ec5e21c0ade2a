"""Discovery: the list of instances, followed for the life of the process.

Owns the version last heard and the watch's stream. It turns entries into the module's, with Unix times
moved to the gateway's clock in one place. It must never judge an instance, nor take a list or its changes in
part: one that cannot be read whole ends its stream, and the next is asked from the version last read whole.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal, Protocol

import msgspec
from msgspec import Struct

from linenbridge.interface import EndpointEntry, InstanceState
from linenbridge.net import http
from linenbridge.net.watch_stream import Follow
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.resp import MalformedError
from linenbridge.startup import LONG_AGO

SIGN_OF_LIFE = 2.0  # PROTOCOL, Discovery: an empty line comes every 2 s
TOLD_ANYWAY = 6.0  # STANDING: what a watch fallen silent misses counts as told so long after, in s
STATES = {"active": InstanceState.READY, "leaving": InstanceState.DRAINING, "left": InstanceState.REMOVED}


class Taker(Protocol):
    """Who has to know where instances are: entries with their addresses, as discovery has them now."""

    def listed(self, listed: Sequence[tuple[EndpointEntry, tuple[str, int]]], whole: bool) -> None: ...


class Endpoint(Struct):
    """One entry of the list."""

    name: str
    address: str
    status: Literal["active", "leaving", "left"]
    release: int
    zone: str | None = ""
    group: int | str | None = 0
    weight: float | None = 1.0
    since_ms: float | None = 0.0


class Listing(Struct):
    """A version of the list: all of it, or what has changed."""

    index: int
    snapshot: bool
    endpoints: list[Endpoint]


def host_port(address: str) -> tuple[str, int]:
    """An address as `host:port` in its two parts."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 1 << 16:
        raise ValueError(f"{address!r} is no address")
    return host, int(port)


class Discovery:
    """What discovery tells, handed to the instances' connections and to the module."""

    def __init__(
        self, loop: DecisionLoop, takers: Sequence[Taker], unix_offset: int, pushes: bool, log: Log,
        follow: Callable[..., Follow],
    ) -> None:  # fmt: skip
        self.loop, self.takers, self.log = loop, takers, log
        self.unix_offset, self.pushes, self.index = unix_offset, pushes, 0
        self.follow = follow(
            name="discovery", path=self._path, told=self.told, sign=SIGN_OF_LIFE, cut=http.Objects,
            told_anyway=TOLD_ANYWAY,
        )  # fmt: skip

    def _path(self) -> str:
        return f"/catalog/members?follow=1&since={self.index}"

    def start(self) -> None:
        """Where the list comes unasked, the watch stands from the start; else the module asks for it."""
        if self.pushes:
            self.follow.start()

    def once_told(self, call: Callable[[], object]) -> None:
        """When discovery has first said what it has, or let a sign of life's time pass: it is silent then."""
        self.follow.first = call
        self.follow.reactor.callLater(SIGN_OF_LIFE, call)

    def watch(self) -> None:
        self.follow.start()

    def move(self, address: tuple[str, int]) -> None:
        """The list comes from another address, from the version last heard on."""
        self.follow.move(address)

    def told(self, line: memoryview) -> None:
        try:
            listing = msgspec.json.decode(line, type=Listing)
            self.take(listing, answers=True)
        except (msgspec.DecodeError, ValueError) as error:
            raise MalformedError(str(error)) from None

    def take(self, listing: Listing, answers: bool) -> None:
        """A list or its changes, to the connections now and to the module in the next turn. Changes from
        before what is known have been heard at an address now left."""
        if not listing.snapshot and listing.index < self.index:
            return
        listed = [(self._entry(row), host_port(row.address)) for row in listing.endpoints]
        self.index, whole = listing.index, listing.snapshot
        for taker in self.takers:
            taker.listed(listed, whole)
        entries = [entry for entry, _ in listed]
        self.loop.enqueue(
            lambda now: self.loop.decision_module.on_endpoint_list(
                now, entries, is_snapshot=whole, is_poll_response=answers
            )
        )

    def _entry(self, row: Endpoint) -> EndpointEntry:
        """Unix milliseconds become the gateway's microseconds: here alone, and always to the same figure."""
        started = round(row.since_ms * 1000) + self.unix_offset if row.since_ms else LONG_AGO
        size = 1.0 if row.weight is None else row.weight
        return EndpointEntry(
            row.name, row.release, row.zone or "", row.group or 0, STATES[row.status], size, started
        )
