"""Processor time of one request at the external processor, by the number of concurrent requests.

Only the server side is timed, from the proxy's bytes to the bytes of the response, over in-memory transports.
The time of the scripted proxy, sockets and TLS is not included.
"""

from __future__ import annotations

import time

from linenbridge.policy import dispatch
from linenbridge.processor.reservations import ReservationTerms

from tests.helpers import MS, entry
from tests.peer_script import ProcessorHarness, ScriptedProxy
from tests.scale.measure.costs import execution_mode
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: external processor"
MEASURED_BY = "tests.scale.measure.processor"
SIZES = (1, 10, 100)  # streams; a connection allows 100 concurrent streams
REQUESTS = 1_000
INSTANCES = 22  # the average of a service: 200,000 instances in 8,900 services
TERMS = ReservationTerms(100 * MS, 100 * MS, 60_000 * MS, 1_000, 100_000)
ADDRESSES = [(entry(number), ("10.0.0.1", 7_000 + number)) for number in range(1, INSTANCES + 1)]


class TimedPeer(ScriptedProxy):
    """A scripted proxy that measures how long the server takes to handle the sent bytes."""

    nanoseconds = 0

    def deliver(self) -> None:
        data = self.h2.data_to_send()
        started = time.process_time_ns()
        if data:
            self.transport.protocol.dataReceived(data)
        self.harness.advance()
        self.nanoseconds += time.process_time_ns() - started
        self.read()


def request_time(concurrent: int) -> float:
    """Return the microseconds of a request with its report while `concurrent` requests are open.

    Raises RuntimeError if fewer than nine tenths of the requests got an endpoint.
    """
    harness = ProcessorHarness(terms=TERMS, instances=0)
    harness.update_endpoints(ADDRESSES)
    peer = TimedPeer(harness)
    answered = sent = 0
    peer.nanoseconds = 0
    while sent < REQUESTS:
        streams = [peer.send_request("/look/1", f"r{sent + number}") for number in range(concurrent)]
        sent += concurrent
        for stream in streams:
            if stream.endpoint is not None:
                answered += 1
                peer.report(stream, 200)
            peer.half_close(stream)
    if answered < sent * 0.9:
        raise RuntimeError(
            f"only {answered} of {sent} requests got an endpoint with {concurrent} open at once"
        )
    return peer.nanoseconds / 1000 / sent


def rows() -> list[Slope]:
    """Measure the external processor at all sizes."""
    return [
        slope(
            "linear",
            [(n, request_time(n)) for n in SIZES],
            role=ROLE,
            what="one request",
            size="open at once",
            unit="us",
            measured_by=MEASURED_BY,
            text=f"module {execution_mode(dispatch)}, front interpreted",
            note="transports in memory; neither sockets nor TLS",
        )
    ]


if __name__ == "__main__":
    record(rows())
