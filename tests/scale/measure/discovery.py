"""Costs of discovery and the platform at a gateway: bytes on the wire and the time to decode them."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import orjson

from linenbridge.net import discovery as discovery_module, http
from linenbridge.net.start_times import StartTimes
from linenbridge.net.discovery import Discovery, Endpoint, EndpointList

from tests.scale.measure.costs import execution_mode, processor_time
from tests.scale.slopes import Slope, record, slope

ROLE = "discovery"
MEASURED_BY = "tests.scale.measure.discovery"
SIZES = (20, 200, 2_000, 20_000, 200_000)
VOTE_COUNTS = (1, 10, 100)


def encoded_list(count: int) -> bytes:
    """Encode a full endpoint list of `count` instances as discovery sends it."""
    endpoints = [
        Endpoint(
            f"i-{number:06d}",
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
            "active",
            363,
            f"zone-{number % 19}",
            number % 400,
            1.0,
            1_700_000_000_000.0 + number,
        )
        for number in range(count)
    ]
    return msgspec.json.encode(EndpointList(1, True, endpoints))


def read_time(count: int) -> float:
    """Return the microseconds to decode a full list into entries, without the time of the decision module."""
    encoded = memoryview(encoded_list(count))
    loop = SimpleNamespace(enqueue=lambda call: None)
    reader = Discovery(loop, (), StartTimes(lambda: 0, lambda: 0), True, lambda *_, **__: None, 200_000, 9999)
    return processor_time(lambda: reader.on_message(encoded), max(1, 2_000 // count), 3)


def vote_bytes(votes: int) -> float:
    """Return the HTTP bytes of `votes` votes, each on a connection of its own, without TCP overhead."""
    body = orjson.dumps({"version": 363, "step": 1, "vote": "on"})
    return votes * len(http.request("POST", "/api/ballots", "10.0.0.1:7600", body))


def rows() -> list[Slope]:
    """Measure discovery and the platform at all sizes."""
    text = execution_mode(discovery_module)
    common = dict(role=ROLE, size="instances", measured_by=MEASURED_BY, text=text)
    platform = dict(role="platform", size="votes", measured_by=MEASURED_BY, text=text)
    return [
        slope(
            "linear",
            [(n, len(encoded_list(n))) for n in SIZES],
            what="bytes of a whole list",
            unit="bytes",
            **common,
        ),
        slope("linear", [(n, read_time(n)) for n in SIZES], what="a whole list read", unit="us", **common),
        slope(
            "proportional",
            [(n, vote_bytes(n)) for n in VOTE_COUNTS],
            what="bytes of votes",
            unit="bytes",
            **platform,
        ),
    ]


if __name__ == "__main__":
    record(rows())
