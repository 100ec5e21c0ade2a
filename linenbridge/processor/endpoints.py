"""Addresses and builds of the instances that attempts may be dispatched to, as discovery lists them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from linenbridge.interface import EndpointEntry, Id, InstanceState


class Endpoint(NamedTuple):
    """Where an instance is reached, and the build that it runs."""

    host: str
    port: int
    build: int


class EndpointDirectory:
    """The instances that are ready. One that leaves the list, or drains, gets no further attempt."""

    def __init__(self) -> None:
        self.ready: dict[Id, Endpoint] = {}

    def update(
        self, endpoints: Iterable[tuple[EndpointEntry, tuple[str, int]]], *, is_snapshot: bool
    ) -> None:
        """Take entries with their addresses; in a snapshot, instances that it does not name are gone."""
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
        """The endpoint of an instance; None where it is not ready."""
        return self.ready.get(instance)
