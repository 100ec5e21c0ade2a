"""Schedules that break a region's log where one guard is missing, and do nothing where it is there.

Each is what goes wrong, in order; everything else is prompt. `p` publishes under epoch 1 when they begin.
"""

from __future__ import annotations

from dataclasses import replace

from tests.distribution.log.explored import LogScenario

# a and b have the change, a loses its disk, b is away: a and c know nothing of it.
FORGETS_WHAT_COUNTED = [
    "lost Append p>c at 1", "lost Append p>c at 1", "stopped 10 p at 1", "stopped 10 b at 1",
]  # fmt: skip
# l of 5 is deleted at 9; that is let go once two more are deleted.
DELETES = LogScenario(
    ticks=26, publish_at=(1, 3, 5, 7, 9, 11, 13), keys=tuple("klmn"), deletes=True, max_tombstones=2,
    faults=(*LogScenario.faults, "oldest", "copy"),
)  # fmt: skip
DEEP = {
    "half_is_enough": (
        LogScenario(ticks=16, publish_at=(1,)),
        [
            "lost Append p>b at 1", "lost Append p>c at 1", "lost Append p>b at 1", "lost Append p>c at 1",
            "stopped 10 p at 1", "stopped 10 a at 1", "replace q at 1",
        ],
    ),
    "takes_any_epoch": (LogScenario(ticks=16, publish_at=(1, 3)), ["replace q at 1"]),
    "two_of_one_epoch": (
        LogScenario(ticks=16, publish_at=(1, 2, 3), faults=("again",)), ["again q at 1"],
    ),
    "forgets_its_promise": (LogScenario(ticks=16), ["kept a at 1"]),
    "does_not_look_back": (LogScenario(ticks=16, publish_at=(1, 2, 3, 5)), ["blank c at 4"]),
    "reads_nothing": (LogScenario(ticks=16, publish_at=(1, 3)), ["replace q at 1"]),
    "reads_any_log": (
        LogScenario(ticks=16, publish_at=(1,)),
        [*["lost Append p>a at 1"] * 2, "stopped 10 p at 1", "stopped 10 b at 1", "replace q at 1"],
    ),
    "answers_before_the_disk": (
        LogScenario(ticks=16, publish_at=(1,), slow_disks=True, trusted=True),
        ["lost Append p>c at 1", "stopped 10 p at 1", "kept a at 1", "kept b at 1", "replace q at 1"],
    ),
    "cuts_off_what_agrees": (
        LogScenario(ticks=20, publish_at=(1, 2)),
        [
            "twice Append p>a at 1", "late 4 Appended a>p at 1", "late 4 Appended b>p at 1",
            "late 4 Appended c>p at 1", "lost Append p>c at 2", "lost Append p>a at 2",
            "lost Append p>b at 2", "lost Append p>c at 2", "stopped 10 p at 2", "stopped 10 b at 2",
            "replace q at 6",
        ],
    ),
    "counts_older_epochs": (
        LogScenario(ticks=30, publish_at=(1, 2), value_bytes=30_000),
        [
            "lost Append p>b at 1", "lost Append p>c at 1", "lost Append p>b at 2", "lost Append p>c at 2",
            "stopped 3 p at 2", "replace q at 2",
            "lost Prepare q>a at 2", "lost Append q>a at 2", "lost Append q>c at 2", "stopped 10 q at 2",
            "stopped 10 b at 2", "replace p at 4", "late 1 Append p>a at 5", "late 1 Append p>c at 5",
            "lost Append p>a at 6", "lost Append p>c at 6", "stopped 10 p at 6", "replace q at 11",
            "lost Prepare q>a at 12",
        ],
    ),
    "counts_without_memory": (
        LogScenario(ticks=20, publish_at=(1,)),
        [*FORGETS_WHAT_COUNTED, "blank a at 1", "replace q at 1"],
    ),
    "believes_every_disk": (
        LogScenario(ticks=20, publish_at=(1,), faults=(*LogScenario.faults, "oldest")),
        [*FORGETS_WHAT_COUNTED, "oldest a at 1", "replace q at 1"],
    ),
    "counts_incarnations_too_early": (
        LogScenario(ticks=20, publish_at=(1, 4, 6)),
        [
            "stopped 3 p at 0", "replace q at 0", "lost Prepare q>c at 0", "lost Append q>c at 0",
            "stopped 10 q at 1", "blank a at 1", "stopped 10 b at 1",
        ],
    ),
    "trusts_retired_incarnations": (
        LogScenario(ticks=20, publish_at=(7,)),
        [
            "replace q at 0", "lost Prepare q>b at 0", "lost Prepare q>c at 0", "stopped 10 q at 0",
            "blank a at 0", "lost Append p>c at 7", "lost Append p>c at 7", "stopped 10 p at 7",
            "stopped 10 b at 7",
        ],
    ),
    "announces_too_early": (
        LogScenario(ticks=20, publish_at=(1, 2, 3, 4), value_bytes=30_000),
        ["blank c at 5"],
    ),
    "lets_deletions_go_alone": (
        DELETES, [*["lost Append p>c at 9"] * 2, *["lost Append p>c at 11"] * 2],
    ),
    "takes_a_disk_put_back": (DELETES, ["copy c at 6", "oldest c at 15"]),
    "retains_purged_keys": (
        DELETES, ["stopped 10 p at 6", "replace q at 6", "replace p at 15", "blank c at 18"],
    ),
    "fills_up_what_is_there": (
        replace(
            DELETES, ticks=46, keys=tuple("klmnopqr"), publish_at=(1, 2, 3, 4, 5, 6, 7, 14, 20, 24, 28),
            value_bytes=11_000,
        ),
        [
            "blank c at 8", "late 1 Append p>c", "late 1 Append p>c", *["lost Append p>c at 14"] * 2,
            "copy c at 14", "oldest c at 36",
        ],
    ),
}  # fmt: skip
