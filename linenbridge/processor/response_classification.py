"""What a response at a proxy says of the pick behind it. Decides without I/O, from the response's own words.

It must never take a refusal for a proof: a 503 may come from an instance that ran the RPC, from a proxy that
never sent it, or from one that lost the answer. Only what the settings or the proxy's published details name
as a proof counts as one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from linenbridge.interface import Outcome

# Published response code details of proxies whose request has provably not left them.
NOT_SENT = {
    "no_healthy_upstream": Outcome.CONNECT_FAILED,
    "cluster_not_found": Outcome.CONNECT_FAILED,
    "route_not_found": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{connection_failure}": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{connection_timeout}": Outcome.CONNECT_FAILED,
    "upstream_reset_before_response_started{overflow}": Outcome.OVERLOADED,
}
DETAILS = "response.code_details"
# gRPC statuses that the caller has brought about: the instance has answered as it should.
GRPC_CALLER = frozenset((0, 1, 3, 5, 6, 7, 9, 11, 16))
GRPC_TYPE = "application/grpc"
LATER = "later"  # only the trailers will tell


@dataclass(frozen=True, slots=True)
class Proof:
    """A response by which instances say that they did not run the RPC: a status and a header's value."""

    status: int
    header: str
    value: str


class Verdicts:
    """Reads responses by the proofs of the settings."""

    def __init__(self, proofs: tuple[Proof, ...]) -> None:
        self.proofs = proofs

    def of_headers(
        self, headers: Mapping[str, str], attributes: Mapping[str, str], ended: bool
    ) -> str | None:
        """The outcome that response headers tell; LATER for a gRPC answer that goes on; None for a response
        that is only on its way (1xx) or holds no status that can be read."""
        status = headers.get(":status", "")
        if not (len(status) == 3 and status.isascii() and status.isdigit()) or status < "200":
            return None
        code = int(status)
        if (found := self._not_run(code, headers, attributes)) is not None:
            return found
        if headers.get("content-type", "").startswith(GRPC_TYPE) and code == 200:
            said = headers.get("grpc-status")
            if said is None:
                return Outcome.ERROR if ended else LATER
            return grpc_outcome(said)
        return Outcome.OK if code < 500 else Outcome.ERROR

    def of_trailers(self, trailers: Mapping[str, str], attributes: Mapping[str, str]) -> str:
        if (found := self._not_run(200, trailers, attributes)) is not None:
            return found
        return grpc_outcome(trailers.get("grpc-status", ""))

    def _not_run(self, code: int, headers: Mapping[str, str], attributes: Mapping[str, str]) -> str | None:
        for proof in self.proofs:
            if code == proof.status and headers.get(proof.header) == proof.value:
                return Outcome.OVERLOADED
        details = attributes.get(DETAILS, "")
        return NOT_SENT.get(details) if code >= 500 else None


def grpc_outcome(status: str) -> str:
    """A gRPC status as an outcome; one that is no number is a failure."""
    known = status.isascii() and status.isdigit() and len(status) <= 3
    return Outcome.OK if known and int(status) in GRPC_CALLER else Outcome.ERROR
