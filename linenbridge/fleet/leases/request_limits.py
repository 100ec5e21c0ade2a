"""Bounds on a proposer's request, so that a peer can use only a bounded amount of an acceptor's memory."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from linenbridge.fleet.leases.messages import LeaseRequest

MAX_TASKS_PER_REQUEST = 1_000  # in each of the request's lists
MAX_SLOTS = 64  # per task
MAX_NAME_LENGTH = 64  # characters
MAX_KNOWN_TASKS = 10_000  # for which one acceptor keeps queues


def is_within_limits(message: LeaseRequest, known_tasks: AbstractSet[str]) -> bool:
    """Return whether a request is within the bounds, counting the tasks that the acceptor already has."""
    slots = [
        *[acquire.slot for acquire in message.acquires],
        *[relinquish.slot for relinquish in message.relinquishes],
    ]
    tasks = [
        *[acquire.task for acquire in message.acquires],
        *[relinquish.task for relinquish in message.relinquishes],
        *[query.task for query in message.queries],
    ]
    return (
        max(len(message.acquires), len(message.relinquishes), len(message.queries)) <= MAX_TASKS_PER_REQUEST
        and len(message.proposer) <= MAX_NAME_LENGTH
        and all(len(task) <= MAX_NAME_LENGTH for task in tasks)
        and all(0 <= slot < MAX_SLOTS for slot in slots)
        and all(1 <= query.slots <= MAX_SLOTS for query in message.queries)
        and (
            len(known_tasks) + len(tasks) <= MAX_KNOWN_TASKS  # avoids the union in the usual case
            or len(known_tasks | set(tasks)) <= MAX_KNOWN_TASKS
        )
    )
