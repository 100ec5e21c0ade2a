"""A view equals a simple model after any changes in any order, with repeats, ranges and restarts."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from linenbridge.distribution.changes import Change, Kind, Version
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.view.results import StoredPage
from tests.distribution.view.helpers import PageKey, check_equal, new_view, reloaded
from tests.distribution.view.model import (
    Model,
    change,
    instance_value,
    range_number,
    range_of_changes,
    route_text,
    tenant_value,
    zone_value,
)

REGIONS = ("ap", "eu")
NAMES = {
    Kind.ROUTES: {"shop", "pay"},
    Kind.TENANT: {"t1", "t2", "t3"},
    Kind.INSTANCE: {f"{service}/i{number}" for service in ("shop", "pay") for number in range(4)},
    Kind.ZONE: {"z1", "z2"},
    9: {"unknown"},
}
BAD = {b"\xc1", b"route one {"}
VALUES = {
    Kind.ROUTES: [route_text("look"), route_text("charge", "/b"), b"route one {"],
    Kind.TENANT: [tenant_value(0.5), tenant_value(0.125), b"\xc1"],
    Kind.INSTANCE: [instance_value(), instance_value(2, "z2"), instance_value(3, state=2), b"\xc1"],
    Kind.ZONE: [zone_value(), zone_value(lost=False), b"\xc1"],
    9: [b"\xc1"],
}
KEYS = sorted((kind, name) for kind, names in NAMES.items() for name in names)
RANGES_USED = sorted({range_number(kind, name) for kind, name in KEYS})

Draft = tuple[int, str, bytes]  # kind, name, value


def is_good(_kind: int, _name: str, value: bytes) -> bool:
    """Return whether a value passes its checks: the argument `is_good` of `Model`."""
    return value not in BAD


@st.composite
def drafts(draw: Callable, *, all_good: bool = False) -> Draft:
    """Draw a key and its new value, which may be empty (a deletion) or invalid."""
    kind, name = draw(st.sampled_from(KEYS))
    values = [value for value in VALUES[kind] if not (all_good and value in BAD)]
    return kind, name, draw(st.sampled_from([b"", *values]))


class ViewsAgree(RuleBasedStateMachine):
    """The content of the publishers, a view with restarts that follows it, and the model."""

    @initialize()
    def begin(self) -> None:
        self.view = new_view()
        self.model = Model(is_good)
        self.pages: dict[PageKey, StoredPage] = {}
        self.heads = dict.fromkeys(REGIONS, Version(1, 0))
        self.content: dict[str, dict[tuple[int, str], Change]] = {region: {} for region in REGIONS}
        self.history: list[Apply] = []

    def publish(self, region: str, drafted: list[Draft]) -> list[Change]:
        """Publish the drafts and return their changes: only the newest of each key, as relays send them."""
        made = {}
        for kind, name, value in drafted:
            head = Version(self.heads[region].epoch, self.heads[region].sequence + 1)
            self.heads[region] = head
            made[kind, name] = change(kind, name, value, head.sequence, region, head.epoch)
        self.content[region].update(made)
        return list(made.values())

    def present(self, region: str) -> list[Change]:
        """Return the region's content without deletions."""
        return [one for one in self.content[region].values() if one.value]

    @rule(region=st.sampled_from(REGIONS), drafted=st.lists(drafts(), max_size=6), random=st.randoms())
    def apply(self, region: str, drafted: list[Draft], random: Random) -> None:
        changes = self.publish(region, drafted)
        random.shuffle(changes)
        sent = Apply(region, self.heads[region], changes)
        self.history.append(sent)
        self.view.apply(sent)
        self.model.apply(sent)

    @rule(number=st.integers(0, 99))
    def repeat_an_earlier_batch(self, number: int) -> None:
        if self.history:
            for page in self.view.take_changed_pages():
                self.pages[page.kind, page.name, page.number] = page
            result = self.view.apply(self.history[number % len(self.history)])
            assert result.applied == 0
            assert not result.rejected
            assert not self.view.take_changed_pages()

    @rule(region=st.sampled_from(REGIONS))
    def next_epoch(self, region: str) -> None:
        self.heads[region] = Version(self.heads[region].epoch + 1, self.heads[region].sequence)

    @rule(region=st.sampled_from(REGIONS), drafted=st.lists(drafts(), max_size=6))
    def replace_all_content(self, region: str, drafted: list[Draft]) -> None:
        self.publish(region, drafted)
        present = self.present(region)
        head = self.heads[region]
        for number in RANGES_USED:
            final = number == RANGES_USED[-1]
            self.view.replace(range_of_changes(region, present, number, head, final=final))
        self.model.replace_content(region, present, head)

    @rule(region=st.sampled_from(REGIONS), drafted=st.lists(drafts(all_good=True), min_size=1, max_size=6))
    def replace_while_more_is_published(self, region: str, drafted: list[Draft]) -> None:
        """Read each range after the transfer began; the batch that follows has the changes that it lacks.

        Only good values are drawn, because the last good version before a rejected one depends on when the
        range is read.
        """
        begun = self.heads[region]
        later: list[Change] = []
        for number in RANGES_USED:
            if drafted:
                later += self.publish(region, [drafted.pop()])
            everything = list(self.content[region].values())
            final = number == RANGES_USED[-1]
            self.view.replace(range_of_changes(region, everything, number, begun, final=final))
        newest = {one.key: one for one in later}
        sent = Apply(region, self.heads[region], list(newest.values()))
        self.history.append(sent)
        self.view.apply(sent)
        self.model.replace_content(region, self.present(region), self.heads[region])

    @rule()
    def restart(self) -> None:
        self.view = reloaded(self.view, self.pages)

    @invariant()
    def equal(self) -> None:
        if hasattr(self, "view"):
            check_equal(self.view, self.model, NAMES)


ViewsAgree.TestCase.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None, suppress_health_check=list(HealthCheck)
)
TestViewsAgree = ViewsAgree.TestCase
