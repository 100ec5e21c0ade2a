"""A schedule for each mutant of the lease cores; most are too deep for the complete searches.

Owns the scenarios and their scripts. The unchanged cores play each script without a breach. With the mutant
of `tests.fleet.explore.mutants`, two members act at once, or a term is granted twice.
"""

from __future__ import annotations

from linenbridge.fleet.leases.quorum import Quorum
from tests.fleet.explore.leases import FAST_RATE, THREE_ACCEPTORS, Scenario

FIVE_ACCEPTORS = (*THREE_ACCEPTORS, "d", "e")
GROWING_QUORUMS = (
    Quorum(1, THREE_ACCEPTORS, THREE_ACCEPTORS),
    Quorum(2, (*THREE_ACCEPTORS, "d"), THREE_ACCEPTORS),
    Quorum(3, FIVE_ACCEPTORS, (*THREE_ACCEPTORS, "d")),
    Quorum(4, (*FIVE_ACCEPTORS, "f"), FIVE_ACCEPTORS),
)

# a grants x's request and then loses its records while the same request is in flight to c. Without the wait
# after its restart, a and b grant the task to y before c grants it to x.
RECORDS_LOST_DURING_A_REQUEST = (
    Scenario(ticks=12),
    [
        "lost LeaseRequest x>b",
        *["lost LeaseRequest y"] * 3,
        "lost LeaseRequest x>b",
        "lost LeaseRequest x>b",
        "late 1 LeaseRequest x>c",
        "restart_empty a",
        "new_proposer y",
    ],
)
# a and b have records of term 1. a loses its records and recovers, b is partitioned, and y sends requests to
# a and c.
TERM_AFTER_LOST_RECORDS = (
    Scenario(ticks=40, faults=(*Scenario.faults, "heal")),
    [
        *["lost LeaseRequest x>c"] * 3,
        "partition y",
        "release x at 1",
        "restart_empty a at 2",
        "partition b at 14",
        "heal y at 15",
    ],
)
# x holds the task by the grants of c, d and e, three of five. a and b then receive the quorum of two that
# comes three changes later.
QUORUM_SKIPS_GENERATIONS = (
    Scenario(
        ticks=12,
        faults=(*Scenario.faults, "quorum"),
        quorums=(Quorum(1, FIVE_ACCEPTORS, FIVE_ACCEPTORS), Quorum(4, ("a", "b"), THREE_ACCEPTORS)),
    ),
    [*["lost LeaseRequest x>a", "lost LeaseRequest x>b"] * 3, "quorum a", "quorum b", "quorum y"],
)
# The quorum grows from three acceptors to six, one by one. x still counts grants by the first three.
PROPOSER_WITH_FIRST_QUORUM = (
    Scenario(
        ticks=70, faults=(*Scenario.faults, "partition_pair", "heal", "quorum"), quorums=GROWING_QUORUMS
    ),
    [
        "partition x at 0",
        "partition y at 0",
        *[f"quorum {acceptor} at 1" for acceptor in "abc"],
        *[f"quorum {acceptor} at 16" for acceptor in "abcd"],
        *[f"quorum {acceptor} at 30" for acceptor in "abcde"],
        "quorum y",
        "quorum y",
        "quorum y",
        "partition_pair x c at 46",
        "partition_pair y a at 46",
        "partition_pair y b at 46",
        "heal x at 46",
        "heal y at 46",
    ],
)
# x receives replies late, and then its requests are lost: its last grant is already old when it arrives.
LATE_RECEIVER = (
    Scenario(ticks=30, faults=(*Scenario.faults, "partition_pair")),
    ["slow_inbound x at 0", "partition_pair x a at 5", "partition_pair x b at 5", "partition_pair x c at 5"],
)
# All messages of x are lost, and its clock is slower than those of the acceptors.
BLOCKED_SENDER = (Scenario(ticks=30), ["block_outbound x at 3"])
# x is paused until after its lease has expired.
PAUSED_HOLDER = (Scenario(ticks=40), ["pause 12 x at 18"])
# x holds the task; two acceptors restart with their stores, and y's next request comes before x's renewal.
TRUSTED_STORES = (
    Scenario(ticks=40, rates=(("y", FAST_RATE),), trusted_stores=True),
    ["restart c at 21", "restart b at 21"],
)
MUTANT_SCHEDULES = {
    "lease_counted_from_reply": LATE_RECEIVER,
    "clock_drift_ignored": BLOCKED_SENDER,
    "expiry_not_checked": PAUSED_HOLDER,
    "half_counts_as_majority": (
        Scenario(ticks=12),
        ["lost LeaseRequest x>c", "lost LeaseRequest x>c", "lost LeaseRequest x>c"],
    ),
    "held_slot_granted": (Scenario(ticks=12), []),
    "older_term_granted": (Scenario(ticks=40), ["release x at 26"]),
    "recovery_without_replies": (Scenario(ticks=40), ["restart_empty c at 26", "restart_empty b at 26"]),
    "no_wait_after_restart": RECORDS_LOST_DURING_A_REQUEST,
    "stored_leases_expired": TRUSTED_STORES,
    "records_not_merged": TERM_AFTER_LOST_RECORDS,
    "quorum_changed_without_recovery": QUORUM_SKIPS_GENERATIONS,
    "generation_not_checked": PROPOSER_WITH_FIRST_QUORUM,
}
