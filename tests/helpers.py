"""A made-up deployment and an independent reckoning of the five rules."""

from __future__ import annotations

from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.interface import SECOND, Allowances, ListEntry, Method, RolloutPlan, Startup

MS = 1_000
LONG_AGO = -100 * SECOND


def startup(**changes) -> Startup:
    """A deployment of three methods; `changes` replace fields of the plan, the allowances or the whole."""
    methods = (
        Method("look", face.IDEMPOTENT, "all", 0, SECOND, 1.0),
        Method("store", face.TOKENED, "zone", 5 * SECOND, SECOND, 2.0),
        Method("charge", face.NON_IDEMPOTENT, "all", 0, SECOND, 4.0),
    )
    plan = dict(
        by_timer=False, in_place=False, shares=(0.17, 1.0), caps=(0.2, 1.0), closed_stages=1,
        per_method=False, spare_picks=2.0, forward_only=False, vote_stands=6 * SECOND, back_votes=2,
        tally_period=0, calls_per_second=0.0,
    )  # fmt: skip
    allow = dict(
        max_picks=3, second_copies=True, may_cancel=True, retry_after_most=SECOND, asks_for_list=False,
        cold_from=0.3, cold=4 * SECOND, fall_multiple=2.0, by_work=False,
        over_share_utility=0.1, number=0, gateways=4, may_tell=False,
        idle_close=15 * SECOND, connect_wait=250 * MS,
    )  # fmt: skip
    for name, value in changes.items():
        (plan if name in plan else allow)[name] = value
    return Startup(methods, {}, RolloutPlan(**plan), Allowances(**allow))


def entry(instance: int, build: int = 1, state: int = face.READY, started: int = LONG_AGO, zone: str = "a"):
    return ListEntry(instance, build, zone, 0, state, 1.0, started)


def pull(gateway: Choice, now: int) -> list[tuple]:
    """All decisions until there is none, log lines left out."""
    decisions = []
    while (decision := gateway.next_decision(now)) is not None:
        decisions.append(decision)
    return [decision for decision in decisions if decision[0] != face.LOG]


def running(now: int = 0, **changes) -> Choice:
    """A gateway with three instances at build 1 and one at build 2, in its last stage."""
    gateway = Choice(startup(**changes), seed=7, now=now)
    entries = [entry(1), entry(2), entry(3, zone="b"), entry(4, build=2)]
    gateway.on_list(now, entries, whole=True, answers=True)
    gateway.on_stage(now, 2, 1, face.ON_TRIAL, 1.0, vote=False, valid=True)
    return gateway
