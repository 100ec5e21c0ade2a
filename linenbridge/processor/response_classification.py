"""What a response at a proxy says of the pick behind it. Decides without I/O, from the response's own words.

It must never take a refusal for a proof: a 503 may come from an instance that ran the RPC, from a proxy that
never sent it, or from one that lost the answer. Only what the settings or the proxy's published details name
as a proof counts as one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from linenbridge.interface import ERROR, FULL, OK, UNREACHED

# Published response code details of proxies whose request has provably not left them.
NOT_EXECUTED_DETAILS = {
    "no_healthy_upstream": UNREACHED,
    "cluster_not_found": UNREACHED,
    "route_not_found": UNREACHED,
    "upstream_reset_before_response_started{connection_failure}": UNREACHED,
    "upstream_reset_before_response_started{connection_timeout}": UNREACHED,
    "upstream_reset_before_response_started{overflow}": FULL,
}
DETAILS_ATTRIBUTE = "response.code_details"
# gRPC statuses that the caller has brought about: the instance has answered as it should.
GRPC_CALLER_STATUSES = frozenset((0, 1, 3, 5, 6, 7, 9, 11, 16))
GRPC_CONTENT_TYPE = "application/grpc"
PENDING_TRAILERS = "later"  # only the trailers will tell


@dataclass(frozen=True, slots=True)
class NonExecutionRule:
    """A response by which instances say that they did not run the RPC: a status and a header's value."""

    status: int
    header: str
    value: str


class ResponseClassifier:
    """Reads responses by the rules of the settings."""

    def __init__(self, rules: tuple[NonExecutionRule, ...]) -> None:
        self.rules = rules

    def classify_headers(
        self, headers: Mapping[str, str], attributes: Mapping[str, str], ended: bool
    ) -> str | None:
        """The outcome that headers tell; PENDING_TRAILERS for a gRPC answer that goes on; None for a response
        that is only on its way (1xx) or holds no status that can be read."""
        status = headers.get(":status", "")
        if not (len(status) == 3 and status.isascii() and status.isdigit()) or status < "200":
            return None
        code = int(status)
        if (found := self._not_executed(code, headers, attributes)) is not None:
            return found
        if headers.get("content-type", "").startswith(GRPC_CONTENT_TYPE) and code == 200:
            grpc_status = headers.get("grpc-status")
            if grpc_status is None:
                return ERROR if ended else PENDING_TRAILERS
            return grpc_outcome(grpc_status)
        return OK if code < 500 else ERROR

    def classify_trailers(self, trailers: Mapping[str, str], attributes: Mapping[str, str]) -> str:
        if (found := self._not_executed(200, trailers, attributes)) is not None:
            return found
        return grpc_outcome(trailers.get("grpc-status", ""))

    def _not_executed(
        self, code: int, headers: Mapping[str, str], attributes: Mapping[str, str]
    ) -> str | None:
        for rule in self.rules:
            if code == rule.status and headers.get(rule.header) == rule.value:
                return FULL
        details = attributes.get(DETAILS_ATTRIBUTE, "")
        return NOT_EXECUTED_DETAILS.get(details) if code >= 500 else None


def grpc_outcome(status: str) -> str:
    """A gRPC status as an outcome; one that is no number is a failure."""
    known = status.isascii() and status.isdigit() and len(status) <= 3
    return OK if known and int(status) in GRPC_CALLER_STATUSES else ERROR
