"""A schedule for each mutant of a region's log.

The unchanged log plays each schedule without a breach. When a schedule begins, `p` is the publisher, under
epoch 1. A schedule lists its faults in order; all other messages arrive without delay. `q` is the second
publisher, and `a`, `b` and `c` are the relays. A line has one of these forms, where T is the tick at which
the fault occurs. A line without `at T` applies to the next message of its kind, at whichever tick:

- `lost Append p>b at T`: the message Append from p to b is lost;
- `late N Append p>b at T`: the message arrives N ticks late;
- `duplicated Append p>b at T`: the message arrives a second time, a few ticks later;
- `pause N p at T`: the process p is paused for N ticks;
- `next_term q at T`: q gets the next term; the previous publisher continues under its own;
- `same_term q at T`: q gets the same term as the newest publisher;
- `restart a at T`: a restarts with its disk; `restart_empty`: with an empty disk; `restart_oldest`: with the
  oldest state of the disk that is kept;
- `copy_disk c at T`: the present state of c's disk is kept as its oldest state.
"""

from __future__ import annotations

from dataclasses import replace

from tests.distribution.log.explored import LogScenario

# The majority a and b stores the change, but c does not; then p and b are paused. The schedules that begin
# with these lines go on to restart a without the change, so that neither a nor c has it.
COUNTED_ENTRY_LOST = [
    "lost Append p>c at 1",
    "lost Append p>c at 1",
    "pause 10 p at 1",
    "pause 10 b at 1",
]
# The key l, published at sequence 5, is deleted at 9. Its tombstone is purged once two more keys are deleted.
DELETIONS = LogScenario(
    ticks=26,
    publish_at=(1, 3, 5, 7, 9, 11, 13),
    keys=tuple("klmn"),
    deletes=True,
    max_tombstones=2,
    faults=(*LogScenario.faults, "restart_oldest", "copy_disk"),
)
MUTANT_SCHEDULES = {
    "half_counts_as_majority": (
        LogScenario(ticks=16, publish_at=(1,)),
        [
            "lost Append p>b at 1",
            "lost Append p>c at 1",
            "lost Append p>b at 1",
            "lost Append p>c at 1",
            "pause 10 p at 1",
            "pause 10 a at 1",
            "next_term q at 1",
        ],
    ),
    "any_epoch_accepted": (LogScenario(ticks=16, publish_at=(1, 3)), ["next_term q at 1"]),
    "epoch_shared_by_publishers": (
        LogScenario(ticks=16, publish_at=(1, 2, 3), faults=("same_term",)),
        ["same_term q at 1"],
    ),
    "promise_lost_on_restart": (LogScenario(ticks=16), ["restart a at 1"]),
    "previous_entry_not_checked": (LogScenario(ticks=16, publish_at=(1, 2, 3, 5)), ["restart_empty c at 4"]),
    "recovery_without_reading": (LogScenario(ticks=16, publish_at=(1, 3)), ["next_term q at 1"]),
    "recovery_from_any_log": (
        LogScenario(ticks=16, publish_at=(1,)),
        [*["lost Append p>a at 1"] * 2, "pause 10 p at 1", "pause 10 b at 1", "next_term q at 1"],
    ),
    "response_sent_before_write": (
        LogScenario(ticks=16, publish_at=(1,), slow_disks=True, trusted=True),
        ["lost Append p>c at 1", "pause 10 p at 1", "restart a at 1", "restart b at 1", "next_term q at 1"],
    ),
    "agreeing_entries_truncated": (
        LogScenario(ticks=20, publish_at=(1, 2)),
        [
            "duplicated Append p>a at 1",
            "late 4 Appended a>p at 1",
            "late 4 Appended b>p at 1",
            "late 4 Appended c>p at 1",
            "lost Append p>c at 2",
            "lost Append p>a at 2",
            "lost Append p>b at 2",
            "lost Append p>c at 2",
            "pause 10 p at 2",
            "pause 10 b at 2",
            "next_term q at 6",
        ],
    ),
    "older_epochs_committed": (
        LogScenario(ticks=30, publish_at=(1, 2), value_bytes=30_000),
        [
            "lost Append p>b at 1",
            "lost Append p>c at 1",
            "lost Append p>b at 2",
            "lost Append p>c at 2",
            "pause 3 p at 2",
            "next_term q at 2",
            "lost Prepare q>a at 2",
            "lost Append q>a at 2",
            "lost Append q>c at 2",
            "pause 10 q at 2",
            "pause 10 b at 2",
            "next_term p at 4",
            "late 1 Append p>a at 5",
            "late 1 Append p>c at 5",
            "lost Append p>a at 6",
            "lost Append p>c at 6",
            "pause 10 p at 6",
            "next_term q at 11",
            "lost Prepare q>a at 12",
        ],
    ),
    "lost_disk_counts": (
        LogScenario(ticks=20, publish_at=(1,)),
        [*COUNTED_ENTRY_LOST, "restart_empty a at 1", "next_term q at 1"],
    ),
    "restored_disk_trusted": (
        LogScenario(ticks=20, publish_at=(1,), faults=(*LogScenario.faults, "restart_oldest")),
        [*COUNTED_ENTRY_LOST, "restart_oldest a at 1", "next_term q at 1"],
    ),
    "uncommitted_incarnation_counts": (
        LogScenario(ticks=20, publish_at=(1, 4, 6)),
        [
            "pause 3 p at 0",
            "next_term q at 0",
            "lost Prepare q>c at 0",
            "lost Append q>c at 0",
            "pause 10 q at 1",
            "restart_empty a at 1",
            "pause 10 b at 1",
        ],
    ),
    "retired_incarnation_counts": (
        LogScenario(ticks=20, publish_at=(7,)),
        [
            "next_term q at 0",
            "lost Prepare q>b at 0",
            "lost Prepare q>c at 0",
            "pause 10 q at 0",
            "restart_empty a at 0",
            "lost Append p>c at 7",
            "lost Append p>c at 7",
            "pause 10 p at 7",
            "pause 10 b at 7",
        ],
    ),
    "committed_announced_too_early": (
        LogScenario(ticks=20, publish_at=(1, 2, 3, 4), value_bytes=30_000),
        ["restart_empty c at 5"],
    ),
    "tombstones_purged_too_early": (
        DELETIONS,
        [*["lost Append p>c at 9"] * 2, *["lost Append p>c at 11"] * 2],
    ),
    "disk_older_than_purge_accepted": (DELETIONS, ["copy_disk c at 6", "restart_oldest c at 15"]),
    "purged_keys_recovered": (
        DELETIONS,
        ["pause 10 p at 6", "next_term q at 6", "next_term p at 15", "restart_empty c at 18"],
    ),
    "partial_log_not_replaced": (
        replace(
            DELETIONS,
            ticks=46,
            keys=tuple("klmnopqr"),
            publish_at=(1, 2, 3, 4, 5, 6, 7, 14, 20, 24, 28),
            value_bytes=11_000,
        ),
        [
            "restart_empty c at 8",
            "late 1 Append p>c",
            "late 1 Append p>c",
            *["lost Append p>c at 14"] * 2,
            "copy_disk c at 14",
            "restart_oldest c at 36",
        ],
    ),
}
