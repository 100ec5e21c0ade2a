"""Schedules that lie too deep for the search: each shows what one safeguard of the leases is for.

Owns the scenarios and their scripts. With the safeguard nothing breaks; without it two members act at once,
or a term is granted twice. Which safeguard it is stands in `mutants`.
"""

from __future__ import annotations

from linenbridge.fleet.leases.quorum import Quorum
from tests.fleet.explore.leases import THREE, Scenario

FIVE = (*THREE, "d", "e")
GROWS = (
    Quorum(1, THREE, THREE),
    Quorum(2, (*THREE, "d"), THREE),
    Quorum(3, FIVE, (*THREE, "d")),
    Quorum(4, (*FIVE, "f"), FIVE),
)

# x's request is in flight to c when a, which has granted it, loses its records; a and b are free for y.
RECORDS_LOST_DURING_A_REQUEST = (
    Scenario(ticks=12),
    [
        "lost LeaseRequest x>b",
        *["lost LeaseRequest y"] * 3,
        "lost LeaseRequest x>b",
        "lost LeaseRequest x>b",
        "late 1 LeaseRequest x>c",
        "blank a",
        "anew y",
    ],
)
# a and b know term 1; a loses its records and recovers, b is partitioned, y sends requests to a and c.
TERM_AFTER_LOST_RECORDS = (
    Scenario(ticks=40, faults=(*Scenario.faults, "mend")),
    [*["lost LeaseRequest x>c"] * 3, "cut y", "leave x at 1", "blank a at 2", "cut b at 14", "mend y at 15"],
)
# x holds by c, d and e of five; a and b receive the quorum of two that comes three changes later.
QUORUM_SKIPS_GENERATIONS = (
    Scenario(
        ticks=12,
        faults=(*Scenario.faults, "quorum"),
        quorums=(Quorum(1, FIVE, FIVE), Quorum(4, ("a", "b"), THREE)),
    ),
    [*["lost LeaseRequest x>a", "lost LeaseRequest x>b"] * 3, "quorum a", "quorum b", "quorum y"],
)
# The acceptors have gone from three to six, one by one; x still counts by the three.
COUNTS_BY_THE_FIRST_QUORUM = (
    Scenario(ticks=70, faults=(*Scenario.faults, "part", "mend", "quorum"), quorums=GROWS),
    [
        "cut x at 0",
        "cut y at 0",
        *[f"quorum {acceptor} at 1" for acceptor in "abc"],
        *[f"quorum {acceptor} at 16" for acceptor in "abcd"],
        *[f"quorum {acceptor} at 30" for acceptor in "abcde"],
        "quorum y",
        "quorum y",
        "quorum y",
        "part x c at 46",
        "part y a at 46",
        "part y b at 46",
        "mend x at 46",
        "mend y at 46",
    ],
)
# x receives late, then its requests are lost: its last grant is old by then.
RECEIVES_LATE = (
    Scenario(ticks=30, faults=(*Scenario.faults, "part")),
    ["slow x at 0", "part x a at 5", "part x b at 5", "part x c at 5"],
)
# x's messages are lost while its clock is the slow one.
SENDS_NOTHING = (Scenario(ticks=30), ["mute x at 3"])
RESUMES = (Scenario(ticks=40), ["stopped 12 x at 18"])
DEEP = {
    "counts_from_the_answer": RECEIVES_LATE,
    "forgets_the_clocks": SENDS_NOTHING,
    "acts_without_a_look_at_the_clock": RESUMES,
    "half_is_enough": (
        Scenario(ticks=12),
        ["lost LeaseRequest x>c", "lost LeaseRequest x>c", "lost LeaseRequest x>c"],
    ),
    "grants_what_is_held": (Scenario(ticks=12), []),
    "grants_any_term": (Scenario(ticks=40), ["leave x at 26"]),
    "returns_alone": (Scenario(ticks=40), ["blank c at 26", "blank b at 26"]),
    "does_not_stand_aside": RECORDS_LOST_DURING_A_REQUEST,
    "learns_no_terms": TERM_AFTER_LOST_RECORDS,
    "moves_without_settling": QUORUM_SKIPS_GENERATIONS,
    "answers_any_generation": COUNTS_BY_THE_FIRST_QUORUM,
}
