"""The fleet's incrementally updated orders and sums equal those that a reference algorithm recomputes."""

from __future__ import annotations

from itertools import accumulate
from zlib import crc32

from hypothesis import example, given, settings
from hypothesis import strategies as st

from linenbridge.interface import EndpointEntry, InstanceState
from linenbridge.state import fleet as fleet_module
from linenbridge.state.fleet import Fleet

RESPONSE_GAP = 400_000.0
CONCURRENCY_LIMIT = 3.0
GATEWAY_NUMBER = 3


class ReferenceFleet:
    """Reference implementation for these tests: applies a list in one pass over all instances."""

    def __init__(self) -> None:
        self.slots: list[EndpointEntry] = []  # by index, with build and start time as of the last reset
        self.index: dict[int | str, int] = {}
        self.resets: list[int] = []
        self.ready: list[int] = []
        self.sums: list[float] = []
        self.ready_by_build: dict[int, list[int]] = {}

    def update(self, entries: list[EndpointEntry], is_snapshot: bool, used: set[int]) -> None:
        initial_count = len(self.slots)
        last_assigned = -1
        for entry in entries:
            instance_index = self.index.get(entry.instance)
            if instance_index is None and entry.state == InstanceState.REMOVED:
                continue
            if instance_index is None:
                free = [
                    other_index
                    for other_index in range(last_assigned + 1, initial_count)
                    if self.slots[other_index].state == InstanceState.REMOVED and other_index not in used
                ]
                last_assigned = free[0] if free else initial_count
                if free:
                    instance_index = free[0]
                    del self.index[self.slots[instance_index].instance]
                    self.slots[instance_index] = entry
                    self.resets[instance_index] += 1
                else:
                    instance_index = len(self.slots)
                    self.slots.append(entry)
                    self.resets.append(1)
                self.index[entry.instance] = instance_index
                continue
            before = self.slots[instance_index]
            if entry.state == InstanceState.READY and (entry.started_at, entry.build) != (
                before.started_at,
                before.build,
            ):
                self.resets[instance_index] += 1
            else:
                entry = entry._replace(started_at=before.started_at, build=before.build)
            self.slots[instance_index] = entry
        if is_snapshot:
            named = {entry.instance for entry in entries}
            for name, instance_index in self.index.items():
                if name not in named:
                    self.slots[instance_index] = self.slots[instance_index]._replace(
                        state=InstanceState.REMOVED
                    )
        self._order()

    def _order(self) -> None:
        """Recompute the orders and sums from all slots."""
        self.ready = [
            instance_index
            for instance_index, slot in enumerate(self.slots)
            if slot.state == InstanceState.READY
        ]
        self.sums = list(
            accumulate(max(self.slots[instance_index].size, 1e-6) for instance_index in self.ready)
        )
        self.ready_by_build = {
            build: [] for build in sorted({self.slots[instance_index].build for instance_index in self.ready})
        }
        for instance_index in sorted(self.ready, key=self.rank):
            self.ready_by_build[self.slots[instance_index].build].append(instance_index)

    def rank(self, instance_index: int) -> int:
        return fleet_module.crc32(f"{GATEWAY_NUMBER}/{self.slots[instance_index].instance}".encode())


def entry_strategy(ids: st.SearchStrategy) -> st.SearchStrategy[EndpointEntry]:
    sizes = st.one_of(
        st.sampled_from((1.0, 2.0, 0.1, 0.3, 0.0, -1.0)), st.floats(1e-9, 1e12, allow_subnormal=False)
    )
    return st.builds(
        EndpointEntry,
        instance=ids,
        build=st.integers(1, 4),
        zone=st.sampled_from("abc"),
        cell=st.integers(0, 3),
        state=st.sampled_from(
            (
                InstanceState.READY,
                InstanceState.READY,
                InstanceState.READY,
                InstanceState.DRAINING,
                InstanceState.REMOVED,
            )
        ),
        size=sizes,
        started_at=st.integers(-3, 0),
    )


ENTRIES_WITH_FEW_IDS = entry_strategy(st.one_of(st.integers(0, 9), st.sampled_from(("i-1", "i-2"))))
ENTRIES_WITH_MANY_IDS = entry_strategy(st.integers(0, 90))
LIST_SEQUENCES = st.lists(
    st.tuples(
        st.one_of(
            st.lists(ENTRIES_WITH_FEW_IDS, max_size=6),
            st.lists(ENTRIES_WITH_MANY_IDS, max_size=5),
            st.lists(ENTRIES_WITH_MANY_IDS, max_size=90),
        ),
        st.sampled_from((False, False, False, True)),
        st.sets(st.integers(0, 30), max_size=4),
    ),
    max_size=25,
)


def apply_to_both(lists: list[tuple[list[EndpointEntry], bool, set[int]]]) -> tuple[Fleet, ReferenceFleet]:
    """Apply the lists to a fleet and its reference, compare both after each list, and return both."""
    fleet = Fleet(GATEWAY_NUMBER, 0)
    reference = ReferenceFleet()
    for changes, is_snapshot, used in lists:
        resets = reference.resets[:]
        for instance_index in range(len(fleet.ids)):
            fleet.consecutive_failures[instance_index] = 1  # a reset clears it
        fleet.update(
            changes,
            is_snapshot=is_snapshot,
            response_gap=RESPONSE_GAP,
            concurrency_limit=CONCURRENCY_LIMIT,
            used=used,
        )
        reference.update(changes, is_snapshot, used)
        assert fleet.index == reference.index
        assert fleet.ids == [slot.instance for slot in reference.slots]
        for name in ("build", "zone", "cell", "state", "started_at"):
            assert getattr(fleet, name) == [getattr(slot, name) for slot in reference.slots]
        assert fleet.size == [max(slot.size, 1e-6) for slot in reference.slots]
        were_reset = [count > before for count, before in zip(reference.resets, resets, strict=False)]
        assert [not failures for failures in fleet.consecutive_failures[: len(resets)]] == were_reset
        assert fleet.ready == reference.ready
        assert list(fleet.cumulative_sizes) == reference.sums
        assert list(fleet.ready_by_build.items()) == list(reference.ready_by_build.items())
        before = fleet.mean_ready_size
        fleet.update_ready_size(1_000, 5_000_000)
        assert before or fleet.mean_ready_size == sum(
            fleet.size[instance_index] for instance_index in reference.ready
        )
        fleet.mean_ready_size = 0.0
    return fleet, reference


@settings(max_examples=300, deadline=None)
@given(LIST_SEQUENCES)
def test_random_lists_give_the_orders_sums_and_indices_of_the_reference(lists):
    apply_to_both(lists)


def new_entry(
    name: int, build: int = 1, state: InstanceState = InstanceState.READY, size: float = 1.0
) -> EndpointEntry:
    return EndpointEntry(name, build, "a", 0, state, size, 0)


def test_an_index_freed_below_the_last_one_assigned_is_assigned_only_by_the_next_list():
    """When the third list begins, indices 1 and 4 are free and 3 is in use; 0 is freed after 4 was assigned.

    Only the fourth list assigns indices 0 and 3.
    """
    fleet, _ = apply_to_both(
        [
            ([new_entry(n) for n in range(5)], True, set()),
            (
                [
                    new_entry(1, state=InstanceState.REMOVED),
                    new_entry(3, state=InstanceState.REMOVED),
                    new_entry(4, state=InstanceState.REMOVED),
                ],
                False,
                set(),
            ),
            (
                [
                    new_entry(10),
                    new_entry(11),
                    new_entry(0, state=InstanceState.REMOVED),
                    new_entry(12),
                    new_entry(13),
                ],
                False,
                {3},
            ),
            ([new_entry(14), new_entry(15)], False, set()),
        ]
    )
    assert [fleet.index[name] for name in (10, 11, 12, 13, 14, 15)] == [1, 4, 5, 6, 0, 3]


def test_instances_of_equal_checksum_are_ordered_by_index(monkeypatch):
    """Among 200,000 instances some have the same 32-bit checksum."""
    monkeypatch.setattr(fleet_module, "crc32", lambda name: crc32(name) % 3)
    apply_to_both(
        [
            ([new_entry(n, build=1 + n % 2) for n in range(40)], True, set()),
            *(([new_entry(n, build=2 - n % 2, size=0.1 * n)], False, set()) for n in range(40)),
            *(
                ([new_entry(39 - n, state=InstanceState.REMOVED), new_entry(100 + n)], False, set())
                for n in range(40)
            ),
        ]
    )


def test_a_change_among_ten_thousand_instances_reads_ranks_only_for_bisections():
    """Counts the reads of ranks: two bisections and no sort."""
    rank_reads = 0

    class CountingRanks(list):
        def __getitem__(self, instance_index):
            nonlocal rank_reads
            rank_reads += 1
            return super().__getitem__(instance_index)

    fleet = Fleet(0, 0)
    fleet.order.ranks = fleet.rank = CountingRanks()
    fleet.update(
        [new_entry(n) for n in range(10_000)],
        is_snapshot=True,
        response_gap=RESPONSE_GAP,
        concurrency_limit=CONCURRENCY_LIMIT,
        used=set(),
    )
    rank_reads = 0
    fleet.update(
        [new_entry(5_000, state=InstanceState.DRAINING)],
        is_snapshot=False,
        response_gap=RESPONSE_GAP,
        concurrency_limit=CONCURRENCY_LIMIT,
        used=set(),
    )
    fleet.update(
        [new_entry(5_000, size=0.3)],
        is_snapshot=False,
        response_gap=RESPONSE_GAP,
        concurrency_limit=CONCURRENCY_LIMIT,
        used=set(),
    )
    assert 0 < rank_reads <= 2 * 16


@example(1)
@example(4_000)
@given(st.integers(1, 300))
@settings(max_examples=20, deadline=None)
def test_a_free_index_is_stored_once_however_often_its_instance_is_removed_and_added(times):
    fleet = Fleet(0, 0)
    fleet.update(
        [new_entry(n) for n in range(4)],
        is_snapshot=True,
        response_gap=RESPONSE_GAP,
        concurrency_limit=CONCURRENCY_LIMIT,
        used=set(),
    )
    for _ in range(times):
        fleet.update(
            [new_entry(2, state=InstanceState.REMOVED)],
            is_snapshot=False,
            response_gap=RESPONSE_GAP,
            concurrency_limit=CONCURRENCY_LIMIT,
            used=set(),
        )
        fleet.update(
            [new_entry(2)],
            is_snapshot=False,
            response_gap=RESPONSE_GAP,
            concurrency_limit=CONCURRENCY_LIMIT,
            used=set(),
        )
    assert len(fleet.free.heap) + len(fleet.free.deferred) <= 1
    fleet.update(
        [new_entry(9)],
        is_snapshot=False,
        response_gap=RESPONSE_GAP,
        concurrency_limit=CONCURRENCY_LIMIT,
        used=set(),
    )
    assert fleet.index[9] == 4
    assert not fleet.free.heap
