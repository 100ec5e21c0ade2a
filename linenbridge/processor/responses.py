"""Responses to proxies: the headers and statuses that a decision has, in the names of the settings."""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.net.decision_loop import FAILED, REJECTED
from linenbridge.processor import codec, http2


@dataclass(frozen=True, slots=True)
class ResponseFormat:
    """Names of headers and statuses of final responses. The names of the fields are those of the settings'
    element `answer`, by which `settings show` prints them as well."""

    endpoint: str = "x-gateway-destination-endpoint"
    metadata: str = "envoy.lb"
    ticket: str = "x-linenbridge-ticket"  # the reservation's id
    left: str = "x-envoy-upstream-rq-timeout-ms"  # the time that is left to the deadline
    use_within: str = "x-linenbridge-use-within-ms"
    outcome: str = "x-linenbridge-outcome"
    again: str = "x-linenbridge-again"
    load: str = "x-linenbridge-load"
    request_id: str = "x-request-id"
    attempt: str = "x-envoy-attempt-count"
    pushed_back: int = 503  # rejected: safe to retry
    aborted: int = 502  # failed
    timed_out: int = 504
    unrouted: int = 404

    def outcome_value(self, outcome: str) -> str:
        """The header's value for a final outcome, in the words that proxies know."""
        return {REJECTED: "pushed_back", FAILED: "aborted"}.get(outcome, outcome)

    def rejection(self, grpc: bool, retry_after: int, text: str) -> bytes:
        """The final response for a request that is safe to retry: after `retry_after` microseconds, if that
        is not 0."""
        headers = {self.outcome: "pushed_back"}
        if retry_after:
            headers["retry-after"] = retry_after_seconds(retry_after)
            headers["x-linenbridge-retry-after-ms"] = str(-(-retry_after // 1000))
        return self.final_response(grpc, self.pushed_back, headers, text)

    def final_response(self, grpc: bool, code: int, headers: dict[str, str], text: str) -> bytes:
        """A final response in place of an instance's; `grpc`: with a gRPC status as well."""
        return codec.immediate_response(code, headers, text, self._grpc_status(code) if grpc else None)

    def _grpc_status(self, code: int) -> int:
        if code == self.unrouted:
            return http2.NOT_FOUND
        return http2.UNAVAILABLE if code == self.pushed_back else http2.INTERNAL

    def dispatch(self, grpc: bool, endpoint: str, reservation: str, time_left: int, use_within: int) -> bytes:
        """Send the request to an endpoint under a reservation's id. `time_left` is the time to its deadline,
        `use_within` that until it has to be sent, both in microseconds."""
        headers = {
            self.endpoint: endpoint,
            self.ticket: reservation,
            self.left: str(max(1, time_left // 1000)),
            self.use_within: str(max(1, use_within // 1000)),
        }
        metadata = (self.metadata, {self.endpoint: endpoint}) if self.metadata else None
        return codec.dispatch_response(headers, metadata, grpc)


def retry_after_seconds(micros: int) -> str:
    """Microseconds as a value of `retry-after`, which has whole seconds: rounded up, 1 at least."""
    return str(max(1, -(-micros // 1_000_000)))
