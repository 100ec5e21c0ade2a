"""Checks of the logs, the relays' stores and the gateways' views of an upgraded installation.

The checks are pure functions. Each returns a list of descriptions of faults, which is empty if the check
passes. Whether an event or a counter is a fault depends on its name alone, not on the version that wrote it.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from linenbridge.distribution.changes import Change, digest_of

MASK = (1 << 64) - 1  # digests are sums modulo 2**64

# Names, at the base and at present, of the events and counters of rejected, malformed or lost data, which an
# upgrade must not cause. `refused_follower` is no fault: a relay that has just started redirects followers
# that are ahead of it.
FAULTS = re.compile(
    r"malformed|stranger|unauthori[sz]ed|misnamed|mismatch|spoilt|corrupt|differ|too_long|too_many|unread|send_buffer_full"
    r"|store[._](?:lost|failed|set_aside)|act\.refused|action\.(?:refused|rejected)"
    r"|change_(?:refused|rejected)|(?:refused|rejected)_change|(?:changes|keys)_(?:refused|rejected)"
    r"|settings_(?:refused|rejected)|reload\.failed|invalid|^failed$"
)


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A change whose client received `accepted`: its key, its value and its version in the region log."""

    kind: int
    name: str
    value: bytes
    epoch: int
    sequence: int

    @property
    def key(self) -> tuple[int, str]:
        return self.kind, self.name


@dataclass
class LogSummary:
    """Summary of one log: the number of lines by event, and descriptions of its faults."""

    events: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


def read_log(data: bytes) -> LogSummary:
    """Summarize a log of JSON lines.

    Faults are lines that are not JSON objects, events whose names match `FAULTS`, and counters above 0 whose
    names do.
    """
    summary = LogSummary()
    for line in filter(None, data.split(b"\n")):
        row = _row(line)
        if row is None:
            summary.faults.append(f"not a JSON object: {line[:200].decode(errors='replace')}")
            continue
        event = str(row.get("event", ""))
        summary.events[event] = summary.events.get(event, 0) + 1
        if FAULTS.search(event):
            summary.faults.append(line[:400].decode())
        if event == "counters":
            summary.faults += [
                f"counter {name} is {count}"
                for name, count in _counters(row)
                if count and FAULTS.search(name)
            ]
    return summary


def _row(line: bytes) -> dict[str, object] | None:
    try:
        found = json.loads(line)
    except ValueError:
        return None
    return found if isinstance(found, dict) else None


def _counters(row: dict[str, object]) -> Iterator[tuple[str, int]]:
    """Yield the counters of a line and of its field `counts`.

    Names in `counts` end with the name of a peer. `FAULTS` matches none of the names of peers.
    """
    for name, value in row.items():
        if isinstance(value, dict):
            yield from ((key, count) for key, count in value.items() if isinstance(count, int))
        elif isinstance(value, int) and name != "at":
            yield name, value


def newest_of_each_key(changes: Iterable[Change], up_to: int) -> dict[tuple[int, str], Change]:
    """Return the newest change of each key up to sequence `up_to`, deletions included (with empty values)."""
    newest = dict[tuple[int, str], Change]()
    for change in sorted(changes, key=lambda change: change.sequence):
        if change.sequence <= up_to:
            newest[change.key] = change
    return newest


def table_digest(changes: Iterable[Change]) -> int:
    """Return the digest of a table as gateways and relays compute it."""
    return sum(digest_of(change) for change in changes) & MASK


def lost_changes(acknowledged: Iterable[Acknowledged], table: Mapping[tuple[int, str], Change]) -> list[str]:
    """Return the acknowledged changes for which a table has neither the change nor a newer one."""
    lost = []
    for one in acknowledged:
        found = table.get(one.key)
        place = f"kind {one.kind} {one.name} at {one.epoch}/{one.sequence}"
        if found is None:
            if one.value:  # the tombstone of a deletion may have been removed
                lost.append(f"{place}: the key is missing")
        elif found.sequence < one.sequence:
            lost.append(f"{place}: {found.epoch}/{found.sequence} is in force")
        elif found.sequence == one.sequence and (found.epoch, found.value) != (one.epoch, one.value):
            lost.append(f"{place}: another change has its sequence")
    return lost


def differing_digests(digests: Mapping[str, int | None]) -> list[str]:
    """Describe each digest that is absent or differs from the first one."""
    first, *others = digests
    return [
        f"the digest of {name} is {digests[name]}, that of {first} {digests[first]}"
        for name in others
        if digests[name] != digests[first] or digests[name] is None
    ]


def term_faults(terms: Iterable[int], replaced_holders: int) -> list[str]:
    """Check the terms of one task, in the order of its fenced requests.

    Terms must not decrease, and have to increase at least once for each replaced lease holder.
    """
    terms = list(terms)
    found = [f"term {after} follows {before}" for before, after in pairwise(terms) if after < before]
    if len(set(terms)) <= replaced_holders:
        found.append(f"{len(set(terms))} terms for {replaced_holders} replaced holders")
    return found
