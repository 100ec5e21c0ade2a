"""Decisions of the decision module, one type each.

A host pulls them one at a time and executes each by its class (`match`). Times are whole microseconds;
instances and requests are named by the ids that the host gave them.
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
    """Stop waiting for one attempt of a request; attempts are counted from zero."""

    rpc_id: str
    attempt: int


class Reject(Struct, frozen=True):
    """Final response: the request had no effect, and may be sent again after `retry_after` microseconds."""

    rpc_id: str
    retry_after: int


class Fail(Struct, frozen=True):
    """Final response: the request may have been executed."""

    rpc_id: str


class CastVote(Struct, frozen=True):
    """Cast or withdraw this gateway's vote on a build at a stage of its rollout."""

    build: int
    stage: int
    vote: Vote


class Gossip(Struct, frozen=True):
    """Send a few bytes to one peer by its number, or to all peers where `peer` is None."""

    peer: int | None
    payload: bytes


class WatchEndpoints(Struct, frozen=True):
    """Request changes of the endpoint list."""


class LogMessage(Struct, frozen=True):
    """One event for operators, with its named fields."""

    event: str
    fields: dict[str, Any]


Decision = SendAttempt | CancelAttempt | Reject | Fail | CastVote | Gossip | WatchEndpoints | LogMessage
