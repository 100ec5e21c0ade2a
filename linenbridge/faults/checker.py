"""Checks the rules on what a stand-in world and its proxies have recorded. Decides without I/O.

An independent reckoning: it knows the record alone and nothing of how the gateway decides. Each broken rule
is one line with the request or node that it broke on. It must never pass over what it cannot explain.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass

from linenbridge.faults.fake_proxy import Told
from linenbridge.faults.fake_world import Kind, World


@dataclass(frozen=True, slots=True)
class Terms:
    """The figures of the rules: seconds, and picks beyond the cap's share; `slack` is the proxy's delay."""

    spare: float
    span: float
    grace: float
    slack: float
    closed_stages: int


def check(world: World, told: list[Told], terms: Terms) -> list[str]:
    """Every broken rule of a day that has ended."""
    return [
        *one_final_answer(told),
        *no_effect_twice(world, told),
        *drains_kept(world),
        *exposure_within_cap(world, told, terms),
        *nothing_for_nothing(told),
    ]


def one_final_answer(told: list[Told]) -> list[str]:
    """Each request ends once at its proxy, within its deadline."""
    broken = []
    for one in told:
        if len(one.finals) != 1:
            broken.append(f"{one.ask.id}: {len(one.finals)} final answers {[what for _, what in one.finals]}")
    return broken


def nothing_for_nothing(told: list[Told]) -> list[str]:
    """No message is answered twice, and nothing is said that was not asked."""
    return [f"{one.ask.id}: answers beyond what was owed" for one in told if one.answers]


def no_effect_twice(world: World, told: list[Told]) -> list[str]:
    """A method that must never run twice is handed out once, and not after its proxy sent it alone."""
    broken = []
    runs = Counter(ran.request for ran in world.ran)
    for one in told:
        if world.kinds[one.ask.method].idempotent:
            continue
        handed = [n for n, (_, _, _, by_ticket) in enumerate(one.sent) if by_ticket]
        alone = [n for n, (_, _, _, by_ticket) in enumerate(one.sent) if not by_ticket]
        if handed and alone and max(handed) > min(alone):
            broken.append(f"{one.ask.id}: handed out after its proxy had sent it without asking")
        if len(handed) > 1 and runs[one.ask.id] > 1:
            broken.append(f"{one.ask.id}: handed out {len(handed)} times, run {runs[one.ask.id]} times")
        if runs[one.ask.id] > 1 and not alone:
            broken.append(f"{one.ask.id}: run {runs[one.ask.id]} times")
    return broken


def drains_kept(world: World) -> list[str]:
    return [
        f"{request}: sent to {node} {late * 1000:.0f} ms after it drained"
        for request, node, late in world.late
    ]


def exposure_within_cap(world: World, told: list[Told], terms: Terms) -> list[str]:
    """In every window, tickets used at the build on trial stay within the cap of what was taken."""
    if not world.news_at:
        return []
    build = world.news_at[-1][1]
    trials = sorted(at for one in told for at, _, b, by_ticket in one.sent if by_ticket and b == build)
    taken = sorted(one.ask.at for one in told)
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
    for one in told:
        for at, _, b, by_ticket in one.sent:
            stage = _stage_closed(world, b, at, terms)
            if by_ticket and stage and not world.kinds[one.ask.method].idempotent:
                broken.append(f"{one.ask.id}: {one.ask.method} went to build {b} in a closed stage")
    return broken


def _cap(world: World, build: int, at: float, terms: Terms) -> float | None:
    """The highest cap that was in force for the build within the grace before that time."""
    caps = []
    for n, (since, version, cap, status) in enumerate(world.news_at):
        until = world.news_at[n + 1][0] if n + 1 < len(world.news_at) else float("inf")
        if version == build and since <= at <= until + terms.grace:
            caps.append(None if status == "live" else cap)
    if not caps or None in caps:
        return None
    return max(caps)


def _stage_closed(world: World, build: int, at: float, terms: Terms) -> bool:
    """Whether the build had been in its first, closed stage for all of the grace before that time."""
    if not terms.closed_stages or not world.news_at or build != world.news_at[0][1]:
        return False
    first, second = world.news_at[0][0], world.news_at[1][0] if len(world.news_at) > 1 else float("inf")
    return first + terms.grace < at < second


def g(told: list[Told], kinds: dict[str, Kind]) -> float:
    """Utility answered within the soft deadline over the utility asked for, from the intended times on."""
    asked = sum(kinds[one.ask.method].utility for one in told)
    served = sum(
        kinds[one.ask.method].utility
        for one in told
        if one.finals
        and one.finals[0][1] == "ok"
        and one.finals[0][0] - one.ask.at <= kinds[one.ask.method].soft
    )
    return served / asked if asked else 0.0
