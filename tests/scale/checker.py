"""Checker of a scale test: finds breaches in its records and computes how long changes took to be in force.

The checker shares no code with the distribution's cores and reads only the records. A breach is one line of
text that names the gateway, the key and the versions.
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
    """The records of one test, grouped by type."""

    sent: dict[tuple[str, int], Sent] = field(default_factory=dict)
    responses: list[PublisherResponse] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    started: dict[str, list[Started]] = field(default_factory=lambda: defaultdict(list))
    serving: dict[str, list[Serving]] = field(default_factory=lambda: defaultdict(list))
    final: dict[tuple[str, str], Final] = field(
        default_factory=dict
    )  # the latest record by gateway and region
    faults: list[Fault] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)


def collect(records: Iterable[Record]) -> Evidence:
    """Group records by type; `Started`, `Serving` and `Seen` records are sorted by time."""
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
    """Return all breaches, rule by rule."""
    return [
        *_versions_gone_back(evidence),
        *_different_at_one_sequence(evidence),
        *_falling_epochs(evidence),
        *_lost_accepted_changes(evidence),
        *_mixed_answers(evidence),
        *_unequal_at_end(evidence),
    ]


def _events_in_order(evidence: Evidence) -> Iterator[Seen | Serving]:
    """Yield the `Seen` and `Serving` records of all gateways in order of time."""
    begins = [serving for incarnations in evidence.serving.values() for serving in incarnations]
    begins.sort(key=lambda record: record.at)
    yield from merge(begins, evidence.seen, key=lambda record: record.at)


def _remove_unstored(current: dict[Key, KeyVersion], serving: Serving) -> None:
    """Remove the versions that are newer than the store at the start of an incarnation.

    The gateway receives and records these versions again.
    """
    for key, (_, sequence, _) in list(current.items()):
        if sequence > serving.positions.get(key[0], 0):
            del current[key]


def _versions_gone_back(evidence: Evidence) -> list[str]:
    """Find keys for which an older version replaced a newer one at a gateway.

    The rule holds within one incarnation, and from one incarnation to the next that serves from its store.
    """
    found = list[str]()
    newest = defaultdict[str, dict[Key, KeyVersion]](dict)
    for record in _events_in_order(evidence):
        current = newest[record.gateway]
        if isinstance(record, Serving):
            _remove_unstored(current, record)
            continue
        key = (record.region, record.kind, record.name)
        version = (record.epoch, record.sequence)
        before = current.get(key, NOTHING)[:2]
        if version < before:
            found.append(f"{record.gateway}: {record.name} went back from {before} to {version}")
        else:
            current[key] = (*version, record.value)
    return found


def _different_at_one_sequence(evidence: Evidence) -> list[str]:
    """Find sequences of a region at which two gateways have seen different changes."""
    found = list[str]()
    at = dict[tuple[str, int], tuple]()
    for seen in evidence.seen:
        change = (seen.epoch, seen.kind, seen.name, seen.value)
        before = at.setdefault((seen.region, seen.sequence), change)
        if before != change:
            found.append(f"{seen.gateway}: {seen.region}/{seen.sequence} is {change}, elsewhere {before}")
    return found


def _falling_epochs(evidence: Evidence) -> list[str]:
    """Find sequences of a region at which the epoch falls.

    A change of a replaced publisher must not come after a change of its successor.
    """
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


def _lost_accepted_changes(evidence: Evidence) -> list[str]:
    """Find accepted changes that are not in force at a gateway at the end of the test.

    A newer version of the same key may be in force instead. Only gateways with a `Final` record are checked.
    """
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
            _remove_unstored(current[record.gateway], record)
        else:
            key = record.region, record.kind, record.name
            current[record.gateway][key] = (record.epoch, record.sequence, record.value)
    found = list[str]()
    for gateway in sorted(at_end):
        for key, version in newest.items():
            has = current[gateway].get(key, NOTHING)
            if has == NOTHING and not version[2]:
                continue  # The key was deleted and the gateway has never seen it.
            if has[:2] < version[:2]:
                found.append(
                    f"{gateway}: {key[2]} is at {has[:2]}, but {version[:2]} was reported as accepted"
                )
            elif has[:2] == version[:2] and has[2] != version[2]:
                found.append(f"{gateway}: {key[2]} at {has[:2]} has another value than the accepted one")
    return found


def _mixed_answers(evidence: Evidence) -> list[str]:
    """Find answers whose parts come from more than one version."""
    return [
        f"{answer.gateway}: a request for {answer.name} saw {sorted(set(answer.marks))}"
        for answer in evidence.answered
        if len(set(answer.marks)) > 1
    ]


def _unequal_at_end(evidence: Evidence) -> list[str]:
    """Find regions whose tables differ in version or digest between gateways at the end of the test."""
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
    """Milliseconds from the request of a change until it is in force at a gateway.

    Each accepted change and each gateway that has seen it are one pair.
    """

    pairs: int = 0
    p50: float = 0.0
    p99: float = 0.0
    maximum: float = 0.0


def lag(evidence: Evidence, since: int = 0, until: float = inf) -> Lag:
    """Return the lag of the changes that were requested from `since` to `until` (microseconds).

    A change that was superseded before it reached a gateway makes no pair with that gateway. Changes that
    were requested before the last start of a gateway make no pair with it either.
    """
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
    return Lag(len(times), _percentile(times, 0.5), _percentile(times, 0.99), times[-1] / 1000)


def _percentile(times: list[int], share: float) -> float:
    return times[min(len(times) - 1, int(share * len(times)))] / 1000
