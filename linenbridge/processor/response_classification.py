"""Classification of an instance's response, as a proxy reports it, into the outcome of the attempt. No I/O.

A status never proves that an RPC was not executed: a 503 may come from an instance that executed it, from a
proxy that never sent it, or from one that lost the response. The only proofs are a response that
matches a rule of the settings, and a response code detail that Envoy documents for unsent requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from linenbridge.interface import Outcome

# Response code details that Envoy documents for requests that it has not sent, with their outcomes.
NOT_EXECUTED_DETAILS = {
    "no_healthy_upstream": Outcome.CONNECT_FAILED,
    "cluster_not_found": Outcome.CONNECT_FAILED,
    "route_not_found": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{connection_failure}": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{connection_timeout}": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{overflow}": Outcome.OVERLOADED,
}
DETAILS_ATTRIBUTE = "response.code_details"
# gRPC statuses of success, and of failures that the caller caused: the instance served the RPC correctly.
GRPC_CALLER_STATUSES = frozenset((0, 1, 3, 5, 6, 7, 9, 11, 16))
GRPC_CONTENT_TYPE = "application/grpc"
MAX_GRPC_STATUS_DIGITS = 3
HTTP_STATUS_DIGITS = 3
HTTP_OK = 200  # the only status of a gRPC response
MIN_FINAL_STATUS = 200  # lower ones are interim responses (RFC 9110, section 15.2)
MIN_SERVER_ERROR = 500


class Pending(Enum):
    """The result of a classification that has no outcome yet."""

    TRAILERS = "trailers"  # the trailers determine the outcome


@dataclass(frozen=True, slots=True)
class NonExecutionRule:
    """The status and header value by which a response states that the instance has not executed the RPC."""

    status: int
    header: str
    value: str


class ResponseClassifier:
    """Classifies responses by the rules of the settings."""

    def __init__(self, rules: tuple[NonExecutionRule, ...]) -> None:
        self.rules = rules

    def classify_headers(
        self, headers: Mapping[str, str], attributes: Mapping[str, str], ended: bool
    ) -> Outcome | Pending | None:
        """Return the outcome of response headers; `ended` is set if neither body nor trailers follow.

        Return Pending.TRAILERS for a gRPC response whose status comes in its trailers, and None for an
        interim response or an invalid status.
        """
        status = _http_status(headers.get(":status", ""))
        if status is None or status < MIN_FINAL_STATUS:
            return None
        outcome = self._not_executed(status, headers, attributes)
        if outcome is not None:
            return outcome
        if status == HTTP_OK and headers.get("content-type", "").startswith(GRPC_CONTENT_TYPE):
            grpc_status = headers.get("grpc-status")
            if grpc_status is not None:
                return grpc_outcome(grpc_status)
            return Outcome.ERROR if ended else Pending.TRAILERS
        return Outcome.OK if status < MIN_SERVER_ERROR else Outcome.ERROR

    def classify_trailers(self, trailers: Mapping[str, str], attributes: Mapping[str, str]) -> Outcome:
        """Return the outcome of the trailers of a gRPC response."""
        outcome = self._not_executed(HTTP_OK, trailers, attributes)
        return grpc_outcome(trailers.get("grpc-status", "")) if outcome is None else outcome

    def _not_executed(
        self, status: int, headers: Mapping[str, str], attributes: Mapping[str, str]
    ) -> Outcome | None:
        """Return an outcome if the response proves that the RPC was not executed, otherwise None."""
        for rule in self.rules:
            if status == rule.status and headers.get(rule.header) == rule.value:
                return Outcome.OVERLOADED
        if status < MIN_SERVER_ERROR:
            return None
        return NOT_EXECUTED_DETAILS.get(attributes.get(DETAILS_ATTRIBUTE, ""))


def _http_status(text: str) -> int | None:
    """Return a text of three digits as a number, None for any other text."""
    return int(text) if len(text) == HTTP_STATUS_DIGITS and text.isascii() and text.isdigit() else None


def grpc_outcome(status: str) -> Outcome:
    """Return the outcome of a gRPC status; a status that is not a number is an error."""
    is_number = status.isascii() and status.isdigit() and len(status) <= MAX_GRPC_STATUS_DIGITS
    return Outcome.OK if is_number and int(status) in GRPC_CALLER_STATUSES else Outcome.ERROR
