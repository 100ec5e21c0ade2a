"""How a decision is worded for proxies: headers, statuses, the time to come again.

Owns the form of every answer. It must never decide which one is given.
"""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.net.decision_loop import FAILED, REJECTED
from linenbridge.processor import codec, http2


@dataclass(frozen=True, slots=True)
class ResponseFormat:
    """How a decision is worded for proxies: names of headers, and statuses of final answers."""

    endpoint: str = "x-gateway-destination-endpoint"
    metadata: str = "envoy.lb"
    ticket: str = "x-linenbridge-ticket"
    left: str = "x-envoy-upstream-rq-timeout-ms"
    use_within: str = "x-linenbridge-use-within-ms"
    outcome: str = "x-linenbridge-outcome"
    again: str = "x-linenbridge-again"
    load: str = "x-linenbridge-load"
    request_id: str = "x-request-id"
    attempt: str = "x-envoy-attempt-count"
    pushed_back: int = 503
    aborted: int = 502
    timed_out: int = 504
    unrouted: int = 404

    def outcome_value(self, outcome: str) -> str:
        """The header's value for a final outcome, in the words that proxies know."""
        return {REJECTED: "pushed_back", FAILED: "aborted"}.get(outcome, outcome)

    def rejection(self, grpc: bool, retry_after: int, text: str) -> bytes:
        """The pushback, with when to come again where that was said."""
        headers = {self.outcome: "pushed_back"}
        if retry_after:
            headers["retry-after"] = retry_after_seconds(retry_after)
            headers["x-linenbridge-retry-after-ms"] = str(-(-retry_after // 1000))
        return self.final_response(grpc, self.pushed_back, headers, text)

    def final_response(self, grpc: bool, code: int, headers: dict[str, str], text: str) -> bytes:
        """A final answer from here, in the proxy's stead."""
        status = None
        if grpc:
            status = http2.UNAVAILABLE if code == self.pushed_back else http2.INTERNAL
            status = http2.NOT_FOUND if code == self.unrouted else status
        return codec.immediate_response(code, headers, text, status)

    def dispatch(self, grpc: bool, endpoint: str, ticket: str, left: int, use_within: int) -> bytes:
        """Where the request goes, under which ticket, for how long; times in microseconds."""
        headers = {
            self.endpoint: endpoint,
            self.ticket: ticket,
            self.left: str(max(1, left // 1000)),
            self.use_within: str(max(1, use_within // 1000)),
        }
        metadata = (self.metadata, {self.endpoint: endpoint}) if self.metadata else None
        return codec.dispatch_response(headers, metadata, grpc)


def retry_after_seconds(micros: int) -> str:
    """`retry-after` knows whole seconds alone: never sooner than was said."""
    return str(max(1, -(-micros // 1_000_000)))
