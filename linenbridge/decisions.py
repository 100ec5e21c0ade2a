"""The types of decisions that the decision module returns.

A host pulls one decision at a time and executes it according to the decision's class (`match`). Times are
whole microseconds. Instances and requests are identified by the ids that the host supplied.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from linenbridge.interface import Id, Vote


class SendAttempt(Struct, frozen=True):
    """Send a request to an instance; the attempt fails after `timeout` microseconds without a response."""

    rpc_id: str
    instance: Id
    timeout: int


class CancelAttempt(Struct, frozen=True):
    """Cancel one attempt of a request; attempts are numbered from zero."""

    rpc_id: str
    attempt: int


class Reject(Struct, frozen=True):
    """Send a rejection as the final response to a request that is safe to repeat.

    `retry_after` is the number of microseconds after which the client can repeat the request.
    """

    rpc_id: str
    retry_after: int


class Fail(Struct, frozen=True):
    """Send an error as the final response to a request that may have been executed (not safe to repeat)."""

    rpc_id: str


class CastVote(Struct, frozen=True):
    """Cast or withdraw this gateway's vote on a build at a stage of its rollout."""

    build: int
    stage: int
    vote: Vote


class Gossip(Struct, frozen=True):
    """Send a payload to the peer with that gateway number, or to all peers if `peer` is None."""

    peer: int | None
    payload: bytes


class WatchEndpoints(Struct, frozen=True):
    """Request the endpoint list, or the next changes to the list, from discovery."""


class LogMessage(Struct, frozen=True):
    """Log an event for operators with its named fields."""

    event: str
    fields: dict[str, Any]


Decision = SendAttempt | CancelAttempt | Reject | Fail | CastVote | Gossip | WatchEndpoints | LogMessage
