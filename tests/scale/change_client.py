"""A change client that requests the changes of a schedule, each from its region's publisher, when it is due.

python -m tests.scale.change_client SPEC RECORDS

The client records the responses. It ends once every change is accepted or finally rejected and, if the spec
asks for it, in force; its exit code is 1 if the time is over before. A change that its publisher cannot
accept now is requested again from the next candidate.
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
from linenbridge.logging.structured import structured_log
from linenbridge.process import lifecycle
from tests.scale.hollow import Address, value_digest
from tests.scale.records import Recorder, Sent, PublisherResponse, now

RETRY_DELAY = 0.25  # seconds before the requests go to the next candidate
RESPONSE_TIMEOUT = 6.0  # seconds without a response before the requests go to the next candidate
MAX_OUTSTANDING = 64  # requests of one region without a response
POLL_INTERVAL = 0.05  # seconds between two checks for due changes
BEGUN = b"begun\n"  # the first line on standard output
RETRIED_CODES = frozenset((NotPublisher.code, PublisherBusy.code))


class Scheduled(Struct, frozen=True):
    """A change that is due `at` microseconds after the start."""

    at: int
    region: str
    kind: int
    name: str
    value: bytes


class ChangeClientSpec(Struct, frozen=True):
    """The settings and the schedule of a change client.

    `publishers` are addresses by region and name. The client gives up after `seconds`. With `in_force` it
    waits until the changes are in force, not only accepted.
    """

    name: str
    publishers: dict[str, dict[str, Address]]
    schedule: list[Scheduled]
    seconds: float
    in_force: bool = False
    first_request: int = 1


class Summary(Struct, frozen=True):
    """The last line on standard output: the responses by state, and the last sequence by region."""

    accepted: int
    in_force: int
    rejected: dict[str, int] = field(default_factory=dict)
    retried: int = 0
    last: dict[str, int] = field(default_factory=dict)


class RegionChanges:
    """The changes of one region, with the candidate that gets them and the requests without a response."""

    def __init__(self, client: ChangeClient, region: str, candidates: dict[str, Address]) -> None:
        self.client = client
        self.region = region
        self.candidates = list(candidates)
        self.candidate = self.candidates[0]
        self.due: deque[tuple[int, Scheduled]] = deque()  # with the time at which each was first due
        # By request: the time at which the change was first due, the time of the last request, the change.
        self.open: dict[int, tuple[int, int, Scheduled]] = {}
        self.paused_until = 0

    def choose_linked_candidate(self) -> bool:
        """Choose a connected candidate for the next requests; return whether there is one."""
        linked = [name for name in self.candidates if name in self.client.connections.by_peer]
        if linked and self.candidate not in linked:
            self.candidate = linked[0]
        return bool(linked)

    def send_due(self) -> None:
        """Send the requests that are due."""
        at = now()
        if at < self.paused_until or self.candidate not in self.client.connections.by_peer:
            return
        waiting_since = min((requested for _, requested, _ in self.open.values()), default=at)
        if at - waiting_since > RESPONSE_TIMEOUT * 1e6:
            self.next_candidate()
            return
        while self.due and len(self.open) < MAX_OUTSTANDING:
            first, change = self.due.popleft()
            request = next(self.client.requests)
            self.open[request] = (first, at, change)
            self.client.record_sent(first, request, change)
            self.client.connections.send(
                self.candidate, Publish(request, self.region, change.kind, change.name, change.value)
            )

    def next_candidate(self) -> None:
        """Send all open requests again, in their order, to the next candidate."""
        place = self.candidates.index(self.candidate) + 1
        self.candidate = self.candidates[place % len(self.candidates)]
        self.client.retried += len(self.open)
        self.due.extendleft((first, change) for first, _, change in reversed(self.open.values()))
        self.open.clear()
        self.paused_until = now() + round(RETRY_DELAY * 1e6)


class ChangeClient:
    """Requests the changes of all regions."""

    def __init__(self, spec: ChangeClientSpec, recorder: Recorder, reactor: Any, log: Any) -> None:
        self.spec = spec
        self.recorder = recorder
        self.reactor = reactor
        self.requests = count(spec.first_request)
        self.accepted = self.in_force = self.retried = 0
        self.rejected = dict[str, int]()
        self.last = dict[str, int]()
        self.exit_code = 1
        known = frozenset(name for candidates in spec.publishers.values() for name in candidates)
        self.connections = PeerConnections(
            spec.name, known, reactor, log, self.on_published, decoder=CHANGE_CLIENT_DECODER
        )
        self.regions = {
            region: RegionChanges(self, region, candidates) for region, candidates in spec.publishers.items()
        }
        for candidates in spec.publishers.values():
            for name, at in candidates.items():
                self.connections.dial(name, (at.host, at.port))
        self.schedule = deque(sorted(spec.schedule, key=lambda change: change.at))
        self.began = 0
        self.connect()

    def connect(self) -> None:
        """Begin the schedule once a candidate of each region is connected, and print BEGUN."""
        if not all(region.choose_linked_candidate() for region in self.regions.values()):
            self.reactor.callLater(POLL_INTERVAL, self.connect)
            return
        sys.stdout.buffer.write(BEGUN)
        sys.stdout.buffer.flush()
        self.began = now()
        self.poll()

    def record_sent(self, first: int, request: int, change: Scheduled) -> None:
        """Record a request with the time `first` at which its change was first due."""
        self.recorder.write(
            Sent(first, request, change.region, change.kind, change.name, value_digest(change.value))
        )

    def poll(self) -> None:
        """Request the changes that are due, and stop the reactor once all are done or the time is over."""
        at = now() - self.began
        while self.schedule and self.schedule[0].at <= at:
            change = self.schedule.popleft()
            self.regions[change.region].due.append((self.began + change.at, change))
        for region in self.regions.values():
            region.send_due()
        if self.is_done():
            self.exit_code = 0
            self.reactor.stop()
        elif at > self.spec.seconds * 1e6:
            self.reactor.stop()
        else:
            self.reactor.callLater(POLL_INTERVAL, self.poll)

    def is_done(self) -> bool:
        """Whether every change has its final response."""
        if self.schedule or any(region.due or region.open for region in self.regions.values()):
            return False
        return not self.spec.in_force or self.in_force >= self.accepted

    def on_published(self, peer: str, published: Published) -> None:
        """Record and count a publisher's response."""
        region = next((one for one in self.regions.values() if published.request in one.open), None)
        name = region.region if region is not None else self.region_of(peer)
        version = published.version
        self.recorder.write(
            PublisherResponse(
                now(),
                published.request,
                name,
                published.state,
                version.epoch,
                version.sequence,
                published.code,
                published.unreached_count,
            )
        )
        if published.state == "in_force":
            self.in_force += 1
        elif region is not None:
            self.answered(region, published)

    def region_of(self, peer: str) -> str:
        """Return the region of the publisher named `peer`."""
        return next(region for region, names in self.spec.publishers.items() if peer in names)

    def answered(self, region: RegionChanges, published: Published) -> None:
        """Count the response to an open request, or request the change again."""
        if published.state == "accepted":
            del region.open[published.request]
            self.accepted += 1
            self.last[region.region] = max(self.last.get(region.region, 0), published.version.sequence)
        elif published.state == "unconfirmed" or published.code in RETRIED_CODES:
            region.next_candidate()
        else:
            del region.open[published.request]
            self.rejected[published.code] = self.rejected.get(published.code, 0) + 1

    def summary(self) -> Summary:
        """Return the counts of the responses and the last sequences."""
        return Summary(self.accepted, self.in_force, self.rejected, self.retried, self.last)


def main() -> int:
    """Run the process and return its exit code."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ChangeClientSpec)
    log = structured_log(sys.stderr.buffer, "warning", process=spec.name)
    reactor = lifecycle.begin(log)
    recorder = Recorder(Path(sys.argv[2]))
    client = ChangeClient(spec, recorder, reactor, log)
    reactor.run(installSignalHandlers=False)
    recorder.close()
    sys.stdout.buffer.write(msgspec.json.encode(client.summary()) + b"\n")
    return client.exit_code


if __name__ == "__main__":
    sys.exit(main())
