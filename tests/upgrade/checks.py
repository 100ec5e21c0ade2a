"""Checks on what an upgraded installation wrote: its logs, its relays' stores and its gateways' views.

Pure functions over values that are read already; each returns what is wrong, in words, and nothing where all
is well. An event or counter is a fault by its name, whichever version wrote it.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from linenbridge.distribution.changes import Change, digest_of

MASK = (1 << 64) - 1  # digests are sums modulo 2**64

# Names of events and counters that no process writes in an upgrade in which nothing is rejected, malformed or
# lost: those of the base and their names in this version. A relay that has just started sends followers that
# are ahead of it elsewhere; that is no fault (`refused_follower`).
FAULTS = re.compile(
    r"malformed|stranger|unauthori[sz]ed|misnamed|mismatch|spoilt|corrupt|differ|too_long|too_many|unread|send_buffer_full"
    r"|store[._](?:lost|failed|set_aside)|act\.refused|action\.(?:refused|rejected)"
    r"|change_(?:refused|rejected)|(?:refused|rejected)_change|(?:changes|keys)_(?:refused|rejected)"
    r"|settings_(?:refused|rejected)|reload\.failed|invalid|^failed$"
)


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A change whose client has read `accepted`: its key, its place in the region's log, its value."""

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
    """One log: number of lines by event, and its faults in words."""

    events: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


def read_log(data: bytes) -> LogSummary:
    """Every line is a JSON object; one that is not, a fault's event, or a fault's counter above 0 is a
    fault."""
    summary = LogSummary()
    for line in filter(None, data.split(b"\n")):
        row = _row(line)
        if row is None:
            summary.faults.append(f"not a line of the log: {line[:200].decode(errors='replace')}")
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
    """Those of the line itself and those of its field `counts`. The latter's names end with a peer's name,
    which is no name of a fault."""
    for name, value in row.items():
        if isinstance(value, dict):
            yield from ((key, count) for key, count in value.items() if isinstance(count, int))
        elif isinstance(value, int) and name != "at":
            yield name, value


def newest_of_each_key(changes: Iterable[Change], up_to: int) -> dict[tuple[int, str], Change]:
    """The table that a region's log makes at a sequence; a deletion is there with its empty value."""
    newest = dict[tuple[int, str], Change]()
    for change in sorted(changes, key=lambda change: change.sequence):
        if change.sequence <= up_to:
            newest[change.key] = change
    return newest


def table_digest(changes: Iterable[Change]) -> int:
    """The digest of a table, as gateways and relays compare it."""
    return sum(digest_of(change) for change in changes) & MASK


def lost_changes(acknowledged: Iterable[Acknowledged], table: Mapping[tuple[int, str], Change]) -> list[str]:
    """Acknowledged changes that a table neither holds nor holds a newer version of."""
    lost = []
    for one in acknowledged:
        found = table.get(one.key)
        place = f"kind {one.kind} {one.name} at {one.epoch}/{one.sequence}"
        if found is None:
            if one.value:  # a deletion's tombstone may be let go
                lost.append(f"{place}: the key is not there")
        elif found.sequence < one.sequence:
            lost.append(f"{place}: {found.epoch}/{found.sequence} is in force")
        elif found.sequence == one.sequence and (found.epoch, found.value) != (one.epoch, one.value):
            lost.append(f"{place}: another change has its sequence")
    return lost


def differing_digests(digests: Mapping[str, int | None]) -> list[str]:
    """Each place whose digest is not the first one's."""
    first, *others = digests
    return [
        f"the digest of {name} is {digests[name]}, that of {first} {digests[first]}"
        for name in others
        if digests[name] != digests[first] or digests[name] is None
    ]


def unrisen_terms(terms: Iterable[int], replaced_holders: int) -> list[str]:
    """Terms of one task in the order of its fenced requests: they never fall, and rise at least once for each
    holder that was replaced."""
    terms = list(terms)
    found = [f"term {after} follows {before}" for before, after in pairwise(terms) if after < before]
    if len(set(terms)) <= replaced_holders:
        found.append(f"{len(set(terms))} terms for {replaced_holders} replaced holders")
    return found
