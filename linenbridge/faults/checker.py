"""Checks the rules on what a stand-in world and its proxies have recorded. Decides without I/O.

An independent reckoning: it knows the record alone and nothing of how the gateway decides. Each broken rule
is one line with the request or node that it broke on. It must never pass over what it cannot explain.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass

from linenbridge.faults.fake_proxy import RequestRecord
from linenbridge.faults.fake_world import FakeMethod, World


@dataclass(frozen=True, slots=True)
class Terms:
    """The figures of the rules: seconds, and picks beyond the cap's share; `slack` is the proxy's delay."""

    spare: float
    span: float
    grace: float
    slack: float
    closed_stages: int


def check(world: World, records: list[RequestRecord], terms: Terms) -> list[str]:
    """Every broken rule of a day that has ended."""
    return [
        *one_final_answer(records),
        *no_effect_twice(world, records),
        *drains_kept(world),
        *exposure_within_cap(world, records, terms),
        *nothing_for_nothing(records),
    ]


def one_final_answer(records: list[RequestRecord]) -> list[str]:
    """Each request ends once at its proxy, within its deadline."""
    broken = []
    for one in records:
        if len(one.final_responses) != 1:
            broken.append(
                f"{one.planned.id}: {len(one.final_responses)} final answers "
                f"{[what for _, what in one.final_responses]}"
            )
    return broken


def nothing_for_nothing(records: list[RequestRecord]) -> list[str]:
    """No message is answered twice, and nothing is said that was not asked."""
    return [f"{one.planned.id}: answers beyond what was owed" for one in records if one.unexpected_responses]


def no_effect_twice(world: World, records: list[RequestRecord]) -> list[str]:
    """A method that must never run twice is handed out once, and not after its proxy sent it alone."""
    broken = []
    runs = Counter(execution.request for execution in world.executions)
    for one in records:
        if world.methods[one.planned.method].idempotent:
            continue
        handed = [n for n, (_, _, _, by_ticket) in enumerate(one.sent) if by_ticket]
        alone = [n for n, (_, _, _, by_ticket) in enumerate(one.sent) if not by_ticket]
        if handed and alone and max(handed) > min(alone):
            broken.append(f"{one.planned.id}: handed out after its proxy had sent it without asking")
        if len(handed) > 1 and runs[one.planned.id] > 1:
            broken.append(
                f"{one.planned.id}: handed out {len(handed)} times, run {runs[one.planned.id]} times"
            )
        if runs[one.planned.id] > 1 and not alone:
            broken.append(f"{one.planned.id}: run {runs[one.planned.id]} times")
    return broken


def drains_kept(world: World) -> list[str]:
    return [
        f"{request}: sent to {node} {late * 1000:.0f} ms after it drained"
        for request, node, late in world.sent_after_drain
    ]


def exposure_within_cap(world: World, records: list[RequestRecord], terms: Terms) -> list[str]:
    """In every window, tickets used at the build on trial stay within the cap of what was taken."""
    if not world.rollout_changes:
        return []
    build = world.rollout_changes[-1][1]
    trials = sorted(at for one in records for at, _, b, by_ticket in one.sent if by_ticket and b == build)
    taken = sorted(one.planned.at for one in records)
    broken = []
    for at in trials:
        cap = _cap(world, build, at, terms)
        if cap is None:
            continue
        used = bisect_right(trials, at) - bisect_left(trials, at - terms.span)
        took = bisect_right(taken, at) - bisect_left(taken, at - terms.span - terms.slack)
        if used > terms.spare + cap * took + 2:
            broken.append(
                f"{used} tickets at build {build} within {terms.span:g} s of {took} taken, cap {cap:g}"
            )
    for one in records:
        for at, _, b, by_ticket in one.sent:
            stage = _stage_closed(world, b, at, terms)
            if by_ticket and stage and not world.methods[one.planned.method].idempotent:
                broken.append(f"{one.planned.id}: {one.planned.method} went to build {b} in a closed stage")
    return broken


def _cap(world: World, build: int, at: float, terms: Terms) -> float | None:
    """The highest cap that was in force for the build within the grace before that time."""
    caps = []
    for n, (since, version, cap, status) in enumerate(world.rollout_changes):
        until = world.rollout_changes[n + 1][0] if n + 1 < len(world.rollout_changes) else float("inf")
        if version == build and since <= at <= until + terms.grace:
            caps.append(None if status == "live" else cap)
    if not caps or None in caps:
        return None
    return max(caps)


def _stage_closed(world: World, build: int, at: float, terms: Terms) -> bool:
    """Whether the build had been in its first, closed stage for all of the grace before that time."""
    if not terms.closed_stages or not world.rollout_changes or build != world.rollout_changes[0][1]:
        return False
    first, second = (
        world.rollout_changes[0][0],
        world.rollout_changes[1][0] if len(world.rollout_changes) > 1 else float("inf"),
    )
    return first + terms.grace < at < second


def utility_ratio(records: list[RequestRecord], methods: dict[str, FakeMethod]) -> float:
    """Utility answered within the soft deadline over the utility asked for, from the intended times on."""
    asked = sum(methods[one.planned.method].utility for one in records)
    served = sum(
        methods[one.planned.method].utility
        for one in records
        if one.final_responses
        and one.final_responses[0][1] == "ok"
        and one.final_responses[0][0] - one.planned.at <= methods[one.planned.method].soft
    )
    return served / asked if asked else 0.0
