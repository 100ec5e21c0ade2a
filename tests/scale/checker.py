"""What the records of a scale test show: breaches, and how long changes took to be in force.

Shares no code with the distribution's cores: it knows the records alone. A breach is one line of text that
names the gateway, the key and the versions.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import merge
from math import inf

from tests.scale.records import (
    Answered,
    Fault,
    Final,
    Record,
    Seen,
    Sent,
    Serving,
    Started,
    PublisherResponse,
    Usage,
)

BREACHES_SHOWN = 20

Key = tuple[str, int, str]  # region, kind, name
KeyVersion = tuple[int, int, str]  # epoch, sequence, value
NOTHING: KeyVersion = (0, 0, "")


@dataclass
class Evidence:
    """The records of one test, sorted by what they tell."""

    sent: dict[tuple[str, int], Sent] = field(default_factory=dict)
    responses: list[PublisherResponse] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    started: dict[str, list[Started]] = field(default_factory=lambda: defaultdict(list))
    serving: dict[str, list[Serving]] = field(default_factory=lambda: defaultdict(list))
    final: dict[tuple[str, str], Final] = field(default_factory=dict)  # the last by gateway and region
    faults: list[Fault] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)


def collect(records: Iterable[Record]) -> Evidence:
    """Sort records in."""
    evidence = Evidence()
    for record in records:
        match record:
            case Sent():
                evidence.sent[record.region, record.request] = record
            case PublisherResponse():
                evidence.responses.append(record)
            case Seen():
                evidence.seen.append(record)
            case Answered():
                evidence.answered.append(record)
            case Started():
                evidence.started[record.gateway].append(record)
            case Serving():
                evidence.serving[record.gateway].append(record)
            case Final():
                _store_last(evidence.final, record)
            case Fault():
                evidence.faults.append(record)
            case Usage():
                evidence.usage.append(record)
    for incarnations in (*evidence.started.values(), *evidence.serving.values()):
        incarnations.sort(key=lambda record: record.at)
    evidence.seen.sort(key=lambda record: record.at)
    return evidence


def _store_last(final: dict[tuple[str, str], Final], record: Final) -> None:
    where = record.gateway, record.region
    if where not in final or final[where].at <= record.at:
        final[where] = record


# ---- breaches ----------------------------------------------------------------------------------------------


def breaches(evidence: Evidence) -> list[str]:
    """All that must never be, in the order of the rules."""
    return [
        *_older_over_newer(evidence),
        *_two_at_one_place(evidence),
        *_epochs_out_of_order(evidence),
        *_accepted_lost(evidence),
        *_half_a_change(evidence),
        *_unequal_at_the_end(evidence),
    ]


def _events_in_order(evidence: Evidence) -> Iterator[Seen | Serving]:
    """What gateways have seen, and the beginnings of their lives, in order of time."""
    begins = [serving for incarnations in evidence.serving.values() for serving in incarnations]
    begins.sort(key=lambda record: record.at)
    yield from merge(begins, evidence.seen, key=lambda record: record.at)


def _forget(current: dict[Key, KeyVersion], serving: Serving) -> None:
    """A life begins at the positions of its store: what was newer is forgotten, to be seen once more."""
    for key, (_, sequence, _) in list(current.items()):
        if sequence > serving.positions.get(key[0], 0):
            del current[key]


def _older_over_newer(evidence: Evidence) -> list[str]:
    """No older version of a key replaces a newer one at a gateway, in one life or in the next one that
    serves from the store of the last."""
    found = list[str]()
    newest = defaultdict[str, dict[Key, KeyVersion]](dict)
    for record in _events_in_order(evidence):
        current = newest[record.gateway]
        if isinstance(record, Serving):
            _forget(current, record)
            continue
        key = (record.region, record.kind, record.name)
        version = (record.epoch, record.sequence)
        before = current.get(key, NOTHING)[:2]
        if version < before:
            found.append(f"{record.gateway}: {record.name} went back from {before} to {version}")
        else:
            current[key] = (*version, record.value)
    return found


def _two_at_one_place(evidence: Evidence) -> list[str]:
    """Everybody sees the same change at one sequence of a region."""
    found = list[str]()
    at = dict[tuple[str, int], tuple]()
    for seen in evidence.seen:
        change = (seen.epoch, seen.kind, seen.name, seen.value)
        before = at.setdefault((seen.region, seen.sequence), change)
        if before != change:
            found.append(f"{seen.gateway}: {seen.region}/{seen.sequence} is {change}, elsewhere {before}")
    return found


def _epochs_out_of_order(evidence: Evidence) -> list[str]:
    """Along a region's sequence the epoch never falls: nothing of a replaced publisher comes after its
    successor's changes."""
    epochs = defaultdict[str, dict[int, int]](dict)
    for seen in evidence.seen:
        epochs[seen.region][seen.sequence] = seen.epoch
    found = list[str]()
    for region, by_sequence in epochs.items():
        highest = 0
        for sequence in sorted(by_sequence):
            if by_sequence[sequence] < highest:
                found.append(f"{region}/{sequence}: epoch {by_sequence[sequence]} after epoch {highest}")
            highest = max(highest, by_sequence[sequence])
    return found


def _accepted_lost(evidence: Evidence) -> list[str]:
    """What a publisher has accepted is in force at the end everywhere, or something newer of its key
    is. It applies to a gateway that has a record of its end."""
    newest = dict[Key, KeyVersion]()
    for response in evidence.responses:
        if response.state != "accepted":
            continue
        sent = evidence.sent[response.region, response.request]
        key = sent.region, sent.kind, sent.name
        newest[key] = max(newest.get(key, NOTHING), (response.epoch, response.sequence, sent.value))
    at_end = {record.gateway for record in evidence.final.values()}
    current = defaultdict[str, dict[Key, KeyVersion]](dict)
    for record in _events_in_order(evidence):
        if isinstance(record, Serving):
            _forget(current[record.gateway], record)
        else:
            key = record.region, record.kind, record.name
            current[record.gateway][key] = (record.epoch, record.sequence, record.value)
    found = list[str]()
    for gateway in sorted(at_end):
        for key, version in newest.items():
            has = current[gateway].get(key, NOTHING)
            if has == NOTHING and not version[2]:
                continue  # Deleted, and never seen.
            if has[:2] < version[:2]:
                found.append(f"{gateway}: {key[2]} is at {has[:2]}, but {version[:2]} was told as accepted")
            elif has[:2] == version[:2] and has[2] != version[2]:
                found.append(f"{gateway}: {key[2]} at {has[:2]} has another value than was accepted")
    return found


def _half_a_change(evidence: Evidence) -> list[str]:
    """All parts of one answer come from one version."""
    return [
        f"{answer.gateway}: a request for {answer.name} saw {sorted(set(answer.marks))}"
        for answer in evidence.answered
        if len(set(answer.marks)) > 1
    ]


def _unequal_at_the_end(evidence: Evidence) -> list[str]:
    """All tables of a region are equal at the end, and as far as each other."""
    ends = defaultdict[str, dict[tuple[int, int, str], list[str]]](lambda: defaultdict(list))
    for final in evidence.final.values():
        ends[final.region][final.epoch, final.sequence, final.digest].append(final.gateway)
    found = list[str]()
    for region, kinds in ends.items():
        if len(kinds) > 1:
            parts = [
                f"{end}: {len(who)} ({who[0]})"
                for end, who in sorted(kinds.items(), key=lambda row: -len(row[1]))
            ]
            found.append(f"{region}: unequal at the end: {'; '.join(parts[:4])}")
    return found


# ---- times -------------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Lag:
    """From a change's request to its being in force at a gateway, over all pairs: milliseconds."""

    pairs: int = 0
    p50: float = 0.0
    p99: float = 0.0
    maximum: float = 0.0


def lag(evidence: Evidence, since: int = 0, until: float = inf) -> Lag:
    """Of changes requested from `since` to `until`. Changes that were superseded before they reached a
    gateway have no pair there; what a gateway catches up on after a start, from before that start, is none
    of it."""
    sent_times = dict[tuple[str, int], int]()
    for response in evidence.responses:
        if response.state == "accepted":
            sent = evidence.sent[response.region, response.request]
            if since <= sent.at <= until:
                sent_times[response.region, response.sequence] = sent.at
    begun = {gateway: incarnations[-1].at for gateway, incarnations in evidence.started.items()}
    times = sorted(
        seen.at - sent_at
        for seen in evidence.seen
        if (sent_at := sent_times.get((seen.region, seen.sequence))) is not None
        and sent_at >= begun.get(seen.gateway, 0)
    )
    if not times:
        return Lag()
    return Lag(len(times), _at(times, 0.5), _at(times, 0.99), times[-1] / 1000)


def _at(times: list[int], share: float) -> float:
    return times[min(len(times) - 1, int(share * len(times)))] / 1000
