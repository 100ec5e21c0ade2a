"""Holds the records of stand-ins against what leases promise. It shares no code with the program.

Owns the judgement. It reads acts as they arrived and the times at which processes were stopped and woken; it
must never look into a process or its log.
"""

from __future__ import annotations

from tests.fleet.procs.fake_resource import Act

# An act that was under way when its process was stopped arrives when it wakes; so long after its waking one
# with an older term is that act, not another one.
IN_TRANSIT = 0.3


def breaches(acts: list[Act], woken: list[tuple[float, str]]) -> list[str]:
    """What the acts of all tasks show, in words; none where all is kept."""
    found = []
    for key in sorted({(act.task, act.place) for act in acts}):
        found += _place([act for act in acts if (act.task, act.place) == key], woken)
    return found


def _place(acts: list[Act], woken: list[tuple[float, str]]) -> list[str]:
    """Terms only grow, each is one life's; so the stretches in which holders acted never overlap."""
    found, newest, whose = [], 0, dict[int, str]()
    for act in acts:
        where = f"{act.task}/{act.place}"
        late = any(name == act.by.partition("#")[0] and 0 <= act.at - at <= IN_TRANSIT for at, name in woken)
        if act.term < newest and act.taken:
            found.append(f"{where}: {act.by} was taken under {act.term} after {newest}")
        if act.term < newest and not late:
            found.append(f"{where}: {act.by} acted under {act.term} after {newest}, and was not just woken")
        if whose.setdefault(act.term, act.by) != act.by:
            found.append(f"{where}: term {act.term} was {whose[act.term]}'s and {act.by}'s")
        newest = max(newest, act.term)
    return found


def longest_gap(acts: list[Act], task: str, since: float, until: float) -> float:
    """The longest time within the stretch in which nobody acted on the task."""
    times = [since, *(act.at for act in acts if act.task == task and since <= act.at <= until), until]
    return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
