"""Every report of a proxy gets a response, whatever has happened to its RPC before."""

from __future__ import annotations

from itertools import product

import pytest

from linenbridge.decisions import Decision
from linenbridge.policy.decision_module import DecisionModule
from tests.helpers import startup
from tests.peer_script import ADDRESSES, ProcessorHarness, Stream

SILENT = "10.0.0.1:7001"  # an instance that sends no response
WARM_UP, REQUESTS = 150, 210  # the instance is silent for the requests after the warm-up
INTERVAL = 0.01  # seconds between requests
RESERVED = 0.15  # seconds; a reservation expires earlier
TIME_LIMIT = 0.9  # seconds; the deadline of a request
STEPS = (
    "fails",
    "times out",
    "succeeds",
    "is retried",
    "is reset",
    "waits 50 ms",
    "waits 150 ms",
    "is listed",
)


class HedgesAtOnce(DecisionModule):
    """A decision module that hedges each attempt at once, also where the transport can't."""

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision: after each attempt of a request, a hedge of it at another instance."""
        decision = super().next_decision(now)
        if decision is None:
            for request in list(self.requests.values()):
                if not request.ended and request.in_flight() == 1 and len(request.attempts) == 1:
                    return self.dispatcher.send(now, request, 1 - min(1, request.attempts[0].instance_index))
        return decision


class OneRpc:
    """One RPC at a proxy, which sends its next attempt or reports on the newest one."""

    def __init__(self, harness: ProcessorHarness, path: str) -> None:
        self.harness = harness
        self.path = path
        self.peer = harness.connect()
        self.streams: list[Stream] = []
        self.unanswered: list[tuple[Stream, int]] = []  # with the number of responses that are due
        self.reported: set[Stream] = set()
        self.closed: set[Stream] = set()
        self.send()

    def send(self) -> None:
        """Send the next attempt."""
        stream = self.peer.send_request(self.path, attempt=len(self.streams) + 1)
        self.streams.append(stream)
        self.unanswered.append((stream, 1))

    def report(self, status: int, **headers: str) -> None:
        """Report on the newest attempt, if it was dispatched and has no report yet."""
        stream = self.streams[-1]
        if stream.endpoint is None or stream.status is not None or stream in self.closed | self.reported:
            return
        self.reported.add(stream)
        self.peer.report(stream, status, **headers)
        self.unanswered.append((stream, 2))

    def take(self, step: str) -> None:
        """Play one step."""
        match step:
            case "fails":
                self.report(503, x_never_ran="1")
            case "times out":
                self.report(504)
            case "succeeds":
                self.report(200)
            case "is retried":
                self.send()
            case "is reset":
                self.reset()
            case "is listed":
                self.harness.update_endpoints(ADDRESSES)
                self.peer.read()
            case _:
                self.harness.advance(int(step.split()[1]) / 1000)
                self.peer.read()

    def reset(self) -> None:
        """Reset the newest stream, which then needs no response."""
        stream = self.streams[-1]
        if stream not in self.closed:
            self.closed.add(stream)
            self.peer.reset(stream)

    def without_response(self) -> list[int]:
        """Return the numbers of the streams whose messages have too few responses."""
        return [
            stream.number
            for stream, due in self.unanswered
            if len(stream.replies) < due and stream not in self.closed and stream.status is None
        ]


def test_time_outs_at_a_silent_instance_are_answered_where_hedging_is_allowed():
    """Guards against reports that get no response after a hedge that no proxy could send."""
    harness = ProcessorHarness(hedging_allowed=True)
    peer = harness.connect()
    silent = []
    for number in range(REQUESTS):
        stream = peer.send_request(request=f"r{number}")
        if stream.endpoint == SILENT and number >= WARM_UP:
            silent.append(stream)
        else:
            peer.report(stream, 200)
            peer.half_close(stream)
        harness.advance(INTERVAL)
    harness.advance(RESERVED)
    assert silent
    for stream in silent:
        peer.report(stream, 504)
        assert len(stream.replies) == 2
    harness.advance(TIME_LIMIT)
    assert harness.is_idle()


@pytest.mark.parametrize("module", [DecisionModule, HedgesAtOnce])
@pytest.mark.parametrize("path", ["/look/1", "/charge/1"])
@pytest.mark.parametrize("instances", [0, 3])
def test_every_message_of_an_rpc_gets_a_response_and_every_rpc_ends(module, path, instances):
    """Guards against messages that arrive in a state from which no response follows: all sequences of steps.

    Without instances, the decision on the first attempt waits until some are listed.
    """
    for steps in product(STEPS, repeat=3):
        harness = ProcessorHarness(module=module(startup(), 7, 0), instances=instances)
        rpc = OneRpc(harness, path)
        for step in steps:
            rpc.take(step)
        harness.advance(TIME_LIMIT + RESERVED)
        harness.advance(RESERVED)
        rpc.peer.read()
        assert not rpc.without_response(), steps
        assert harness.is_idle(), steps
