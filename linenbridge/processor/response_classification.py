"""The outcome of an attempt, from the response that a proxy shows. Decides without I/O.

A status never proves that an RPC was not executed: a 503 may come from an instance that executed it, from a
proxy that never sent it, or from one that lost the response. Only a response that a rule of the settings
names, or a response code detail that proxies publish for it, counts as such a proof.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from linenbridge.interface import Outcome

# Response code details that Envoy publishes for requests that have not left it, and their outcomes.
NOT_EXECUTED_DETAILS = {
    "no_healthy_upstream": Outcome.CONNECT_FAILED,
    "cluster_not_found": Outcome.CONNECT_FAILED,
    "route_not_found": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{connection_failure}": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{connection_timeout}": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{overflow}": Outcome.OVERLOADED,
}
DETAILS_ATTRIBUTE = "response.code_details"
# gRPC statuses that the caller has brought about: the instance has served the RPC as it should.
GRPC_CALLER_STATUSES = frozenset((0, 1, 3, 5, 6, 7, 9, 11, 16))
GRPC_CONTENT_TYPE = "application/grpc"
MAX_GRPC_STATUS_DIGITS = 3
HTTP_STATUS_DIGITS = 3
HTTP_OK = 200  # the only status of a gRPC response
MIN_FINAL_STATUS = 200  # lower ones are interim responses (RFC 9110, section 15.2)
MIN_SERVER_ERROR = 500


class Pending(Enum):
    """In place of an outcome."""

    TRAILERS = "trailers"  # they will tell it


@dataclass(frozen=True, slots=True)
class NonExecutionRule:
    """A response by which instances say that they have not executed an RPC: a status and a header."""

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
        """The outcome that response headers tell; `ended`: nothing follows them.

        Pending.TRAILERS for a gRPC response that goes on; None for an interim response, or one without a
        status that can be read.
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
        """The outcome that the trailers of a gRPC response tell."""
        outcome = self._not_executed(HTTP_OK, trailers, attributes)
        return grpc_outcome(trailers.get("grpc-status", "")) if outcome is None else outcome

    def _not_executed(
        self, status: int, headers: Mapping[str, str], attributes: Mapping[str, str]
    ) -> Outcome | None:
        """The outcome where the response proves that the RPC was not executed."""
        for rule in self.rules:
            if status == rule.status and headers.get(rule.header) == rule.value:
                return Outcome.OVERLOADED
        if status < MIN_SERVER_ERROR:
            return None
        return NOT_EXECUTED_DETAILS.get(attributes.get(DETAILS_ATTRIBUTE, ""))


def _http_status(text: str) -> int | None:
    """Three digits as a number; None for anything else."""
    return int(text) if len(text) == HTTP_STATUS_DIGITS and text.isascii() and text.isdigit() else None


def grpc_outcome(status: str) -> Outcome:
    """The outcome of a gRPC status; one that is no number is a failure."""
    is_number = status.isascii() and status.isdigit() and len(status) <= MAX_GRPC_STATUS_DIGITS
    return Outcome.OK if is_number and int(status) in GRPC_CALLER_STATUSES else Outcome.ERROR
