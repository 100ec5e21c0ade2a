"""Addresses and builds of the instances that attempts may be dispatched to, as discovery lists them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from linenbridge.interface import EndpointEntry, Id, InstanceState


class Endpoint(NamedTuple):
    """The address of an instance, and the build that it runs."""

    host: str
    port: int
    build: int


class EndpointDirectory:
    """The ready instances. An instance that is removed from the list or draining gets no further attempt."""

    def __init__(self) -> None:
        self.ready: dict[Id, Endpoint] = {}

    def update(
        self, endpoints: Iterable[tuple[EndpointEntry, tuple[str, int]]], *, is_snapshot: bool
    ) -> None:
        """Apply entries with their addresses; a snapshot removes the instances that it does not contain."""
        endpoints = list(endpoints)
        if is_snapshot:
            named = {entry.instance for entry, _ in endpoints}
            self.ready = {instance: found for instance, found in self.ready.items() if instance in named}
        for entry, (host, port) in endpoints:
            if entry.state == InstanceState.READY:
                self.ready[entry.instance] = Endpoint(host, port, entry.build)
            else:
                self.ready.pop(entry.instance, None)

    def find(self, instance: Id) -> Endpoint | None:
        """Return the endpoint of an instance, or None if the instance is not ready."""
        return self.ready.get(instance)
