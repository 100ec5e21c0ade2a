"""An author of many changes: asks each region's publisher at the times of a schedule, and records what it
is told.

    python -m tests.scale.author SPEC RECORDS

Ends once every change is accepted or refused for good and, where the spec wants it, in force; exit code 1
where the time is over before. A change that its publisher cannot take now is asked for again, of the next
candidate.
"""

from __future__ import annotations

import sys
from collections import deque
from itertools import count
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from linenbridge.distribution.errors import NotPublisher, PublisherBusy
from linenbridge.distribution.hosting.link_messages import CHANGE_CLIENT_DECODER
from linenbridge.distribution.messages import Publish, Published
from linenbridge.peering.connections import PeerConnections
from linenbridge.logging.structured import structured
from linenbridge.process import lifecycle
from tests.scale.hollow import Address, shown
from tests.scale.records import Recorder, Sent, Told, now

ASK_AGAIN = 0.25  # seconds before the next candidate is asked
PATIENCE = 6.0  # seconds without an answer; then the next candidate is asked
OUTSTANDING_MOST = 64  # changes of one region that are asked for and not yet accepted
LOOK_EVERY = 0.05  # seconds between two looks at what is due
BEGUN = b"begun\n"  # the first line on standard output
AGAIN = frozenset((NotPublisher.code, PublisherBusy.code))


class Scheduled(Struct, frozen=True):
    """One change, so many microseconds after the start."""

    at: int
    region: str
    kind: int
    name: str
    value: bytes


class AuthorSpec(Struct, frozen=True):
    """`publishers` by region and name; `seconds` until it gives up; `in_force`: wait for that as well."""

    name: str
    publishers: dict[str, dict[str, Address]]
    schedule: list[Scheduled]
    seconds: float
    in_force: bool = False
    first_request: int = 1


class Summary(Struct, frozen=True):
    """The last line on standard output: what became of the schedule, and the last sequence by region."""

    accepted: int
    in_force: int
    refused: dict[str, int] = field(default_factory=dict)
    asked_again: int = 0
    last: dict[str, int] = field(default_factory=dict)


class RegionAuthor:
    """One region's changes: which candidate is asked, and what waits for an answer."""

    def __init__(self, author: Author, region: str, candidates: dict[str, Address]) -> None:
        self.author, self.region = author, region
        self.candidates = list(candidates)
        self.asks = self.candidates[0]
        self.due: deque[tuple[int, Scheduled]] = deque()  # with the time of the first asking
        self.open: dict[int, tuple[int, int, Scheduled]] = {}  # by request: first asked, asked, what
        self.quiet_until = 0

    def asks_of_linked(self) -> bool:
        """Whether there is a candidate to ask."""
        linked = [name for name in self.candidates if name in self.author.connections.by_peer]
        if linked and self.asks not in linked:
            self.asks = linked[0]
        return bool(linked)

    def look(self) -> None:
        """Ask for what is due."""
        at = now()
        if at < self.quiet_until or self.asks not in self.author.connections.by_peer:
            return
        waits_since = min((asked for _, asked, _ in self.open.values()), default=at)
        if at - waits_since > PATIENCE * 1e6:
            self.next_candidate()
            return
        while self.due and len(self.open) < OUTSTANDING_MOST:
            first, change = self.due.popleft()
            request = next(self.author.requests)
            self.open[request] = (first, at, change)
            self.author.record_sent(first, request, change)
            self.author.connections.send(
                self.asks, Publish(request, self.region, change.kind, change.name, change.value)
            )

    def next_candidate(self) -> None:
        """All that is open is asked for again, in its order, of the next candidate."""
        place = self.candidates.index(self.asks) + 1
        self.asks = self.candidates[place % len(self.candidates)]
        self.author.asked_again += len(self.open)
        self.due.extendleft((first, change) for first, _, change in reversed(self.open.values()))
        self.open.clear()
        self.quiet_until = now() + round(ASK_AGAIN * 1e6)


class Author:
    """All regions' changes."""

    def __init__(self, spec: AuthorSpec, recorder: Recorder, reactor: Any, log: Any) -> None:
        self.spec, self.recorder, self.reactor = spec, recorder, reactor
        self.requests = count(spec.first_request)
        self.accepted = self.in_force = self.asked_again = 0
        self.refused, self.last = dict[str, int](), dict[str, int]()
        self.exit_code = 1
        known = frozenset(name for candidates in spec.publishers.values() for name in candidates)
        self.connections = PeerConnections(
            spec.name, known, reactor, log, self.heard, decoder=CHANGE_CLIENT_DECODER
        )
        self.regions = {
            region: RegionAuthor(self, region, candidates) for region, candidates in spec.publishers.items()
        }
        for candidates in spec.publishers.values():
            for name, at in candidates.items():
                self.connections.dial(name, (at.host, at.port))
        self.schedule = deque(sorted(spec.schedule, key=lambda change: change.at))
        self.began = 0
        self.connect()

    def connect(self) -> None:
        """The schedule begins once there is a candidate of each region; whoever waits for it is told."""
        if not all(region.asks_of_linked() for region in self.regions.values()):
            self.reactor.callLater(LOOK_EVERY, self.connect)
            return
        sys.stdout.buffer.write(BEGUN)
        sys.stdout.buffer.flush()
        self.began = now()
        self.look()

    def record_sent(self, first: int, request: int, change: Scheduled) -> None:
        self.recorder.write(
            Sent(first, request, change.region, change.kind, change.name, shown(change.value))
        )

    def look(self) -> None:
        """What is due by now is asked for; the end is noticed."""
        at = now() - self.began
        while self.schedule and self.schedule[0].at <= at:
            change = self.schedule.popleft()
            self.regions[change.region].due.append((self.began + change.at, change))
        for region in self.regions.values():
            region.look()
        if self.is_done():
            self.exit_code = 0
            self.reactor.stop()
        elif at > self.spec.seconds * 1e6:
            self.reactor.stop()
        else:
            self.reactor.callLater(LOOK_EVERY, self.look)

    def is_done(self) -> bool:
        if self.schedule or any(region.due or region.open for region in self.regions.values()):
            return False
        return not self.spec.in_force or self.in_force >= self.accepted

    def heard(self, far: str, published: Published) -> None:
        region = next((one for one in self.regions.values() if published.request in one.open), None)
        name = region.region if region is not None else self.region_of(far)
        version = published.version
        self.recorder.write(
            Told(
                now(), published.request, name, published.state, version.epoch, version.sequence,
                published.code, published.unreached_count,
            )
        )  # fmt: skip
        if published.state == "in_force":
            self.in_force += 1
        elif region is not None:
            self.answered(region, published)

    def region_of(self, far: str) -> str:
        return next(region for region, names in self.spec.publishers.items() if far in names)

    def answered(self, region: RegionAuthor, published: Published) -> None:
        if published.state == "accepted":
            del region.open[published.request]
            self.accepted += 1
            self.last[region.region] = max(self.last.get(region.region, 0), published.version.sequence)
        elif published.state == "unconfirmed" or published.code in AGAIN:
            region.next_candidate()
        else:
            del region.open[published.request]
            self.refused[published.code] = self.refused.get(published.code, 0) + 1

    def summary(self) -> Summary:
        return Summary(self.accepted, self.in_force, self.refused, self.asked_again, self.last)


def main() -> int:
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=AuthorSpec)
    log = structured(sys.stderr.buffer, "warning", process=spec.name)
    reactor = lifecycle.begin(log)
    recorder = Recorder(Path(sys.argv[2]))
    author = Author(spec, recorder, reactor, log)
    reactor.run(installSignalHandlers=False)
    recorder.close()
    sys.stdout.buffer.write(msgspec.json.encode(author.summary()) + b"\n")
    return author.exit_code


if __name__ == "__main__":
    sys.exit(main())
