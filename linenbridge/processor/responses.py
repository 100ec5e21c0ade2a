"""Responses to proxies: headers and statuses of decisions, with the names that the settings configure."""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.net.decision_loop import FAILED, REJECTED
from linenbridge.processor import codec, http2


@dataclass(frozen=True, slots=True)
class ResponseFormat:
    """Header names and status codes of responses.

    The fields have the names of the attributes of the settings element `answer`; `settings show` prints them
    under these names.
    """

    endpoint: str = "x-gateway-destination-endpoint"
    metadata: str = "envoy.lb"
    ticket: str = "x-linenbridge-ticket"  # the reservation's id
    left: str = "x-envoy-upstream-rq-timeout-ms"  # milliseconds until the deadline
    use_within: str = "x-linenbridge-use-within-ms"
    outcome: str = "x-linenbridge-outcome"
    again: str = "x-linenbridge-again"
    load: str = "x-linenbridge-load"
    request_id: str = "x-request-id"
    attempt: str = "x-envoy-attempt-count"
    pushed_back: int = 503  # rejected: safe to repeat
    aborted: int = 502  # failed: may have been executed
    timed_out: int = 504
    unrouted: int = 404

    def outcome_value(self, outcome: str) -> str:
        """Return the value of the outcome header for a final outcome."""
        return {REJECTED: "pushed_back", FAILED: "aborted"}.get(outcome, outcome)

    def rejection(self, grpc: bool, retry_after: int, text: str) -> bytes:
        """Return the final response for a request that is safe to repeat.

        The response asks for a delay of `retry_after` microseconds unless that is 0.
        """
        headers = {self.outcome: "pushed_back"}
        if retry_after:
            headers["retry-after"] = retry_after_seconds(retry_after)
            headers["x-linenbridge-retry-after-ms"] = str(-(-retry_after // 1000))
        return self.final_response(grpc, self.pushed_back, headers, text)

    def final_response(self, grpc: bool, code: int, headers: dict[str, str], text: str) -> bytes:
        """Return a final response that replaces an instance's, with a gRPC status if `grpc` is set."""
        return codec.immediate_response(code, headers, text, self._grpc_status(code) if grpc else None)

    def _grpc_status(self, code: int) -> int:
        if code == self.unrouted:
            return http2.NOT_FOUND
        return http2.UNAVAILABLE if code == self.pushed_back else http2.INTERNAL

    def dispatch(self, grpc: bool, endpoint: str, reservation: str, time_left: int, use_within: int) -> bytes:
        """Return the response that sends the request to an endpoint under a reservation's id.

        `time_left` is the time to the deadline of the request, `use_within` the time within which the proxy
        must send it, both in microseconds.
        """
        headers = {
            self.endpoint: endpoint,
            self.ticket: reservation,
            self.left: str(max(1, time_left // 1000)),
            self.use_within: str(max(1, use_within // 1000)),
        }
        metadata = (self.metadata, {self.endpoint: endpoint}) if self.metadata else None
        return codec.dispatch_response(headers, metadata, grpc)


def retry_after_seconds(micros: int) -> str:
    """Return microseconds as a value of `retry-after`: whole seconds, rounded up, at least 1."""
    return str(max(1, -(-micros // 1_000_000)))
