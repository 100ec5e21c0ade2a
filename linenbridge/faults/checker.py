"""Checks the rules on the records of a fake world and its proxies, without I/O.

The checker is independent: it uses only the records, and no code with which the gateway decides. Each broken
rule is one line with the request or node on which it broke. An event that the rules don't explain counts as
broken.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass

from linenbridge.faults.fake_proxy import RequestRecord
from linenbridge.faults.fake_world import FakeMethod, World


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """Limits of the rules, with times in seconds.

    `spare_attempts` is the number of reservations allowed beyond the cap's share. `grace` is how long
    the gateway may still act on the state before a change, and `proxy_delay` the time that a request may take
    from the proxy to the gateway.
    """

    spare_attempts: float
    window: float
    grace: float
    proxy_delay: float
    closed_stages: int


def check(world: World, records: list[RequestRecord], limits: RuleLimits) -> list[str]:
    """Return every violation of a rule during a day that has ended."""
    return [
        *check_one_final_response(records),
        *check_single_executions(world, records),
        *check_no_requests_after_drain(world),
        *check_exposure_within_cap(world, records, limits),
        *check_no_unexpected_responses(records),
    ]


def check_one_final_response(records: list[RequestRecord]) -> list[str]:
    """Check that each request has exactly one final response at its proxy."""
    violations = []
    for record in records:
        if len(record.final_responses) != 1:
            violations.append(
                f"{record.planned.id}: {len(record.final_responses)} final responses "
                f"{[what for _, what in record.final_responses]}"
            )
    return violations


def check_no_unexpected_responses(records: list[RequestRecord]) -> list[str]:
    """Check that no message has two responses and that each response belongs to a message."""
    return [
        f"{record.planned.id}: more responses than messages sent"
        for record in records
        if record.unexpected_responses
    ]


def check_single_executions(world: World, records: list[RequestRecord]) -> list[str]:
    """Check that a request that is not idempotent is dispatched and executed at most once.

    After its proxy has sent it without the processor, such a request must not be dispatched at all.
    """
    violations = []
    execution_counts = Counter(execution.request for execution in world.executions)
    for record in records:
        if world.methods[record.planned.method].idempotent:
            continue
        dispatched = [n for n, (_, _, _, reserved) in enumerate(record.sent) if reserved]
        bypassed = [n for n, (_, _, _, reserved) in enumerate(record.sent) if not reserved]
        if dispatched and bypassed and max(dispatched) > min(bypassed):
            violations.append(
                f"{record.planned.id}: dispatched after its proxy had sent it without the processor"
            )
        if len(dispatched) > 1 and execution_counts[record.planned.id] > 1:
            violations.append(
                f"{record.planned.id}: dispatched {len(dispatched)} times, "
                f"run {execution_counts[record.planned.id]} times"
            )
        if execution_counts[record.planned.id] > 1 and not bypassed:
            violations.append(f"{record.planned.id}: run {execution_counts[record.planned.id]} times")
    return violations


def check_no_requests_after_drain(world: World) -> list[str]:
    """Check that no request reaches a node later than the grace after the start of its draining."""
    return [
        f"{request}: sent to {node} {late * 1000:.0f} ms after it drained"
        for request, node, late in world.sent_after_drain
    ]


def check_exposure_within_cap(world: World, records: list[RequestRecord], limits: RuleLimits) -> list[str]:
    """Check that in every window, dispatches to the build in rollout stay within its cap.

    In a closed stage, no request that is not idempotent may go to the build.
    """
    if not world.rollout_changes:
        return []
    build = world.rollout_changes[-1][1]
    trial_times = sorted(
        at
        for record in records
        for at, _, sent_build, reserved in record.sent
        if reserved and sent_build == build
    )
    received_times = sorted(record.planned.at for record in records)
    violations = []
    for at in trial_times:
        cap = _cap(world, build, at, limits)
        if cap is None:
            continue
        used = bisect_right(trial_times, at) - bisect_left(trial_times, at - limits.window)
        received = bisect_right(received_times, at) - bisect_left(
            received_times, at - limits.window - limits.proxy_delay
        )
        if used > limits.spare_attempts + cap * received + 2:
            violations.append(
                f"{used} reservations at build {build} within {limits.window:g} s of {received} requests, "
                f"cap {cap:g}"
            )
    for record in records:
        for at, _, sent_build, reserved in record.sent:
            stage = _stage_closed(world, sent_build, at, limits)
            if reserved and stage and not world.methods[record.planned.method].idempotent:
                violations.append(
                    f"{record.planned.id}: {record.planned.method} went to build {sent_build} "
                    "in a closed stage"
                )
    return violations


def _cap(world: World, build: int, at: float, limits: RuleLimits) -> float | None:
    """Return the highest cap of the build in force during the grace before `at`; None if it had no cap."""
    caps = []
    for n, (since, version, cap, status) in enumerate(world.rollout_changes):
        until = world.rollout_changes[n + 1][0] if n + 1 < len(world.rollout_changes) else float("inf")
        if version == build and since <= at <= until + limits.grace:
            caps.append(None if status == "live" else cap)
    if not caps or None in caps:
        return None
    return max(caps)


def _stage_closed(world: World, build: int, at: float, limits: RuleLimits) -> bool:
    """Return whether the build was in its first, closed stage for the whole grace before `at`."""
    if not limits.closed_stages or not world.rollout_changes or build != world.rollout_changes[0][1]:
        return False
    first, second = (
        world.rollout_changes[0][0],
        world.rollout_changes[1][0] if len(world.rollout_changes) > 1 else float("inf"),
    )
    return first + limits.grace < at < second


def utility_ratio(records: list[RequestRecord], methods: dict[str, FakeMethod]) -> float:
    """Return the utility answered within the soft deadline, over the utility of all requests.

    Times count from the intended time of a request, so that a late start counts as latency.
    """
    requested = sum(methods[record.planned.method].utility for record in records)
    served = sum(
        methods[record.planned.method].utility
        for record in records
        if record.final_responses
        and record.final_responses[0][1] == "ok"
        and record.final_responses[0][0] - record.planned.at <= methods[record.planned.method].soft_deadline
    )
    return served / requested if requested else 0.0
