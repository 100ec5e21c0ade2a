"""Checker of the fake resource's records against the guarantees of leases.

It shares no code with the program. Its inputs are the actions in order of arrival and the times at which
paused processes were resumed; it reads no process and no log.
"""

from __future__ import annotations

from itertools import pairwise

from tests.fleet.procs.fake_resource import Action

# An action that was in flight when its process was paused arrives after the process is resumed. Within this
# time after the resume, in seconds, an action with an older term counts as the one that was in flight.
MAX_RESUME_DELAY = 0.3


def breaches(actions: list[Action], resumed: list[tuple[float, str]]) -> list[str]:
    """Return a description of each breach that the actions of all tasks show."""
    found = []
    for key in sorted({(action.task, action.slot) for action in actions}):
        found += _slot_breaches([row for row in actions if (row.task, row.slot) == key], resumed)
    return found


def _slot_breaches(actions: list[Action], resumed: list[tuple[float, str]]) -> list[str]:
    """Check that terms only grow and that each is used by one process.

    Together these mean that the times in which two holders act never overlap.
    """
    found = []
    newest = 0
    members: dict[int, str] = {}  # by term
    for action in actions:
        label = f"{action.task}/{action.slot}"
        is_older = action.term < newest
        if is_older and action.accepted:
            found.append(f"{label}: {action.member} was accepted under term {action.term} after {newest}")
        if is_older and not _just_resumed(action, resumed):
            found.append(
                f"{label}: {action.member} acted under term {action.term} after {newest}, not just resumed"
            )
        if members.setdefault(action.term, action.member) != action.member:
            found.append(
                f"{label}: term {action.term} was used by {members[action.term]} and {action.member}"
            )
        newest = max(newest, action.term)
    return found


def _just_resumed(action: Action, resumed: list[tuple[float, str]]) -> bool:
    process = action.member.partition("#")[0]
    return any(name == process and 0 <= action.at - at <= MAX_RESUME_DELAY for at, name in resumed)


def longest_gap(actions: list[Action], task: str, since: float, until: float) -> float:
    """Return the longest time in seconds, from `since` until `until`, without an action on the task."""
    action_times = (action.at for action in actions if action.task == task and since <= action.at <= until)
    return max(later - earlier for earlier, later in pairwise([since, *action_times, until]))
