"""Schedules that lie too deep for the search, written down: each shows what one guard of the leases is for.

Owns the scenarios and their scripts. With the guard nothing breaks, without it two act at once, or a term
comes twice; which guard it is stands in `mutants`.
"""

from __future__ import annotations

from linenbridge.fleet.leases.quorum import Council
from tests.fleet.explore.leases import THREE, Scenario

FIVE = (*THREE, "d", "e")
GROWS = (
    Council(1, THREE, THREE),
    Council(2, (*THREE, "d"), THREE),
    Council(3, FIVE, (*THREE, "d")),
    Council(4, (*FIVE, "f"), FIVE),
)

# x's ask is under way to c when a, which has said yes, loses its memory; y finds a and b free.
FORGETS_UNDER_AN_ASK = (
    Scenario(ticks=12),
    [
        "lost Round x>b",
        *["lost Round y"] * 3,
        "lost Round x>b",
        "lost Round x>b",
        "late 1 Round x>c",
        "blank a",
        "anew y",
    ],
)
# a and b know term 1; a loses its memory and comes back, b is cut off, y asks a and c.
TERM_AFTER_MEMORY = (
    Scenario(ticks=40, faults=(*Scenario.faults, "mend")),
    [*["lost Round x>c"] * 3, "cut y", "leave x at 1", "blank a at 2", "cut b at 14", "mend y at 15"],
)
# x holds by c, d and e of five; a and b are told of the council of two that comes three changes later.
COUNCIL_SKIPS = (
    Scenario(
        ticks=12, faults=(*Scenario.faults, "council"),
        councils=(Council(1, FIVE, FIVE), Council(4, ("a", "b"), THREE)),
    ),
    [*["lost Round x>a", "lost Round x>b"] * 3, "council a", "council b", "council y"],
)  # fmt: skip
# The seats have gone from three to six, one by one; x still counts by the three.
OLD_COUNT = (
    Scenario(ticks=70, faults=(*Scenario.faults, "part", "mend", "council"), councils=GROWS),
    [
        "cut x at 0", "cut y at 0",
        *[f"council {seat} at 1" for seat in "abc"],
        *[f"council {seat} at 16" for seat in "abcd"],
        *[f"council {seat} at 30" for seat in "abcde"],
        "council y", "council y", "council y",
        "part x c at 46", "part y a at 46", "part y b at 46", "mend x at 46", "mend y at 46",
    ],
)  # fmt: skip
# x hears late, then is heard no more: its last yes is old by then.
HEARS_LATE = (
    Scenario(ticks=30, faults=(*Scenario.faults, "part")),
    ["slow x at 0", "part x a at 5", "part x b at 5", "part x c at 5"],
)
# x is heard no more while its clock is the slow one.
HEARD_NO_MORE = (Scenario(ticks=30), ["mute x at 3"])
WAKES = (Scenario(ticks=40), ["stopped 12 x at 18"])
DEEP = {
    "counts_from_the_answer": HEARS_LATE,
    "forgets_the_clocks": HEARD_NO_MORE,
    "acts_without_a_look_at_the_clock": WAKES,
    "half_is_enough": (Scenario(ticks=12), ["lost Round x>c", "lost Round x>c", "lost Round x>c"]),
    "grants_what_is_held": (Scenario(ticks=12), []),
    "grants_any_term": (Scenario(ticks=40), ["leave x at 26"]),
    "returns_alone": (Scenario(ticks=40), ["blank c at 26", "blank b at 26"]),
    "does_not_stand_aside": FORGETS_UNDER_AN_ASK,
    "learns_no_terms": TERM_AFTER_MEMORY,
    "moves_without_settling": COUNCIL_SKIPS,
    "answers_any_generation": OLD_COUNT,
}
