"""The rules that a simulated run has to keep, checked on its records without code of feeds or followers.

The version of a key at a gateway only increases. A value in force is the published one. A key is removed only
if its deletion was published. At the end every gateway has the newest value of each key. The bytes sent to a
follower stay within its budget.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

SECOND = 1_000_000
BUDGET_WINDOW = 10 * SECOND  # over which the budget of bytes per second is checked
MAX_MESSAGE_BYTES = 60_000


class Published(NamedTuple):
    """A published change."""

    region: str
    sequence: int
    kind: int
    name: str
    value: bytes


class Breach(NamedTuple):
    """A broken rule, and the place in the record."""

    rule: str
    where: str


Key = tuple[str, int, str]


def breaches_of_versions(record: Iterable, published: Iterable[Published]) -> list[Breach]:
    """Return the breaches in the whole record: an older version in place of a newer one, a value that was not
    published, or a removed key that was not deleted."""
    written = {(p.region, p.kind, p.name, p.sequence): p.value for p in published}
    deleted: dict[Key, list[int]] = defaultdict(list)
    for region, kind, name, sequence in written:
        if not written[region, kind, name, sequence]:
            deleted[region, kind, name].append(sequence)
    newest: dict[str, dict[Key, int]] = defaultdict(dict)
    found = []
    for line in record:
        versions = newest[line.gateway]
        if not line.region:
            versions.clear()
            continue
        key, where = (
            (line.region, line.kind, line.name),
            f"{line.at} {line.gateway} {line.region}/{line.name}",
        )
        if line.version is None:
            # The sequences are equal if the key was removed before.
            if not any(sequence >= versions.get(key, 0) for sequence in deleted[key]):
                found.append(Breach("removed without a deletion", where))
            continue
        sequence = line.version.sequence
        if sequence <= versions.get(key, 0):
            found.append(Breach("older version over newer", where))
        if written.get((*key, sequence)) != line.value:
            found.append(Breach("differs from the published value", where))
        versions[key] = max(sequence, versions.get(key, 0))
    return found


def breaches_at_end(record: Iterable, published: Iterable[Published], gateways: list[str]) -> list[Breach]:
    """Return a breach for each gateway that has not exactly the newest value of each key."""
    wanted: dict[Key, bytes] = {}
    for change in sorted(published, key=lambda change: change.sequence):
        wanted[change.region, change.kind, change.name] = change.value
    wanted = {key: value for key, value in wanted.items() if value}
    tables: dict[str, dict[Key, bytes]] = {gateway: {} for gateway in gateways}
    for line in record:
        rows = tables[line.gateway]
        if not line.region:
            rows.clear()
        elif line.version is None or not line.value:
            rows.pop((line.region, line.kind, line.name), None)
        else:
            rows[line.region, line.kind, line.name] = line.value
    return [
        Breach("not the newest value of each key", f"{gateway}: {_difference(tables[gateway], wanted)}")
        for gateway in gateways
        if tables[gateway] != wanted
    ]


def _difference(tables: dict[Key, bytes], wanted: dict[Key, bytes]) -> str:
    keys = sorted(key for key in {*tables, *wanted} if tables.get(key) != wanted.get(key))
    return f"{len(keys)} keys, first {keys[0]}"


def breaches_of_budget(sent: list[tuple[int, int]], rate: int, follower_name: str) -> list[Breach]:
    """Check the messages (time, bytes) to one follower.

    Within any ten seconds at most the bytes of ten seconds and of a quarter of a second and one message may
    be sent. Return the first breach.
    """
    allowed = rate * BUDGET_WINDOW // SECOND + rate // 4 + MAX_MESSAGE_BYTES
    if all(size <= rate // 2 for _, size in sent):
        allowed = rate * BUDGET_WINDOW // SECOND + rate
    times = [time for time, _ in sent]
    sums = [0]
    for _, size in sent:
        sums.append(sums[-1] + size)
    for place, time in enumerate(times):
        last = bisect_left(times, time + BUDGET_WINDOW)
        if sums[last] - sums[place] > allowed:
            return [
                Breach("more bytes than the budget", f"{follower_name} {time}: {sums[last] - sums[place]}")
            ]
    return []


def last_in_force_at(record: Iterable, key: Key, sequence: int, gateways: list[str]) -> int | None:
    """Return the time at which the last of the gateways had a key at a sequence or newer, None if any of
    them never had."""
    at: dict[str, int] = {}
    for line in record:
        matches = line.version is not None and (line.region, line.kind, line.name) == key
        if matches and line.version.sequence >= sequence:
            at.setdefault(line.gateway, line.at)
    return max(at.values()) if set(gateways) <= set(at) else None


class Report(NamedTuple):
    """A relay's report to its region's publisher: the lowest sequence in force at its followers and their
    followers, and the names of the unreached ones."""

    at: int
    relay: str
    region: str
    min_sequence: int
    unreached: list[str]


def breaches_of_summaries(
    reports: list[Report],
    reached: list[tuple[int, str, str, int]],
    followed: list[tuple[int, str, str]],
    silence: int,
) -> list[Breach]:
    """Check that sequences were in force wherever the newest reports of a region's relays say so.

    Each gateway that ever followed a relay must have had the sequence in force, unless the gateway is
    reported as unreached, or a relay between the gateway and the region is reported as unreached or has been
    silent for `silence`.
    `reached` has entries (time, gateway, region, sequence) and `followed` entries (time, follower, relay),
    where a follower in a relay is "name:region". All lists are in order of time.
    """
    found = []
    newest: dict[tuple[str, str], Report] = {}
    follows: dict[str, str] = {}
    in_force: dict[tuple[str, str], int] = defaultdict(int)
    moves = iter([*followed, (1 << 62, "", "")])
    positions = iter([*reached, (1 << 62, "", "", 0)])
    move = next(moves)
    position = next(positions)
    for report in reports:
        while move[0] <= report.at:
            follows[move[1]] = move[2]
            move = next(moves)
        while position[0] <= report.at:
            in_force[position[1], position[2]] = max(position[3], in_force[position[1], position[2]])
            position = next(positions)
        newest[report.region, report.relay] = report
        of_region = [each for (region, _), each in newest.items() if region == report.region]
        progress = _region_progress(of_region, report.at - silence)
        for gateway in [follower for follower in follows if ":" not in follower]:
            relay = follows[gateway]
            chain = {gateway, relay, follows.get(f"{relay}:{report.region}", relay)}
            if not chain & progress.unreached and in_force[gateway, report.region] < progress.min_sequence:
                found.append(Breach("reported in force but is not", f"{report.at} {gateway} {report.region}"))
    return found


class RegionProgress(NamedTuple):
    """The progress in a region that its publisher may report: the lowest sequence in force, and the
    followers that are unreached."""

    min_sequence: int
    unreached: set[str]


def _region_progress(newest: list[Report], since: int) -> RegionProgress:
    fresh = [each for each in newest if each.at > since]
    silent = {each.relay for each in newest if each.at <= since}
    return RegionProgress(
        min(each.min_sequence for each in fresh), silent | {name for each in fresh for name in each.unreached}
    )
