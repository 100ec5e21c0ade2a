"""Checks the records of the fake resource against what leases guarantee. It shares no code with the program.

Owns the verdict. It reads actions as they arrived and the times at which paused processes were resumed, and
looks into no process and no log.
"""

from __future__ import annotations

from itertools import pairwise

from tests.fleet.procs.fake_resource import Action

# An action that was under way when its process was paused arrives when the process is resumed; so long after
# it, in seconds, one with an older term is that action, not another one.
MAX_RESUME_DELAY = 0.3


def breaches(actions: list[Action], resumed: list[tuple[float, str]]) -> list[str]:
    """What the actions of all tasks show, in words; none if every guarantee is kept."""
    found = []
    for key in sorted({(action.task, action.slot) for action in actions}):
        found += _slot_breaches([row for row in actions if (row.task, row.slot) == key], resumed)
    return found


def _slot_breaches(actions: list[Action], resumed: list[tuple[float, str]]) -> list[str]:
    """Terms only grow, and each is one process's; so the stretches in which holders acted never overlap."""
    found = []
    newest = 0
    members: dict[int, str] = {}  # by term
    for action in actions:
        label = f"{action.task}/{action.slot}"
        is_older = action.term < newest
        if is_older and action.accepted:
            found.append(f"{label}: {action.member} was accepted under {action.term} after {newest}")
        if is_older and not _just_resumed(action, resumed):
            found.append(
                f"{label}: {action.member} acted under {action.term} after {newest}, and was not just resumed"
            )
        if members.setdefault(action.term, action.member) != action.member:
            found.append(f"{label}: term {action.term} was {members[action.term]}'s and {action.member}'s")
        newest = max(newest, action.term)
    return found


def _just_resumed(action: Action, resumed: list[tuple[float, str]]) -> bool:
    process = action.member.partition("#")[0]
    return any(name == process and 0 <= action.at - at <= MAX_RESUME_DELAY for at, name in resumed)


def longest_gap(actions: list[Action], task: str, since: float, until: float) -> float:
    """The longest time in seconds within the stretch in which nobody acted on the task."""
    action_times = (action.at for action in actions if action.task == task and since <= action.at <= until)
    return max(later - earlier for earlier, later in pairwise([since, *action_times, until]))
