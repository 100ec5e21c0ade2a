"""A view applies changes between two requests; a rejected change leaves the last good version in force."""

from __future__ import annotations

import msgspec
import pytest

from linenbridge.distribution.changes import MAX_VALUE_BYTES, InstanceValue, Kind, TenantValue, Version
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.regions import MAX_REGIONS
from linenbridge.distribution.view.results import StoredPage
from linenbridge.distribution.view.tenants import MAX_EPOCH, MAX_SEQUENCE
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.distribution.view.view import View
from linenbridge.interface import InstanceState
from linenbridge.routes.table import Request
from linenbridge.startup import LONG_AGO
from tests.distribution.view.helpers import (
    MAX_DEADLINE,
    METHODS,
    PageKey,
    instance_change,
    method_of,
    new_view,
    reloaded,
    routes_change,
    tenant_change,
)
from tests.distribution.view.model import (
    batch,
    change,
    instance_value,
    pack,
    range_number,
    range_of_changes,
    route_text,
    tenant_value,
    zone_value,
)

# ---- rejected changes --------------------------------------------------------------------------------


def test_a_rejected_change_names_its_key_and_leaves_the_last_good_version_in_force(view: View) -> None:
    view.apply(batch(routes_change(1, route_text("look"))))

    result = view.apply(batch(routes_change(2, route_text("pay")), tenant_change(3, 0.5)))

    assert [str(one.error()) for one in result.rejected] == [
        "routes shop at eu/1/2: 1:42: no method is named 'pay'; "
        "mend the value and publish it again; the error names the place"
    ]
    assert isinstance(result.rejected[0].error(), ChangeRejected)
    assert method_of(view) == "look"
    assert view.tenant_quota("t1") == 0.5
    assert (result.applied, view.counters.rejected, result.upto) == (1, 1, Version(1, 3))
    assert [(one.kind, one.name, one.version) for one in view.rejected()] == [
        (Kind.ROUTES, "shop", Version(1, 2))
    ]


def test_the_next_good_version_or_a_deletion_ends_a_rejection(view: View) -> None:
    view.apply(
        batch(routes_change(1, route_text("look")), routes_change(2, b"\xff", "pay"), tenant_change(3, 1.5))
    )
    assert len(view.rejected()) == 2

    view.apply(batch(routes_change(4, route_text("charge"), "pay"), change(Kind.TENANT, "t1", b"", 5)))

    assert view.rejected() == []
    assert method_of(view, "pay") == "charge"
    assert view.tenant_quota("t1") is None


@pytest.mark.parametrize(
    ("kind", "name", "value", "reason"),
    [
        (Kind.ROUTES, "shop", b"\xff", "utf-8"),
        (Kind.ROUTES, "shop", b"route a {", "ends in the middle"),
        (Kind.ROUTES, "shop", b"#" * (MAX_VALUE_BYTES + 1), f"{MAX_VALUE_BYTES} at most"),
        (Kind.ROUTES, "", route_text("look"), "1 to 256 characters"),
        (Kind.ROUTES, "s" * 257, route_text("look"), "1 to 256 characters"),
        (Kind.TENANT, "t1", b"\xc1", "MessagePack"),
        (Kind.TENANT, "t1", tenant_value(1.01), "0 to 1"),
        (Kind.TENANT, "t1", tenant_value(float("nan")), "0 to 1"),
        (Kind.TENANT, "t1", pack([1]), "one 64-bit float"),
        (Kind.TENANT, "t1", tenant_value(0.5) + b"\x00", "trailing"),
        (Kind.INSTANCE, "shop", instance_value(), "service/instance"),
        (Kind.INSTANCE, "/i1", instance_value(), "service/instance"),
        (Kind.INSTANCE, "shop/i1", instance_value(state=3), "no state"),
        (Kind.INSTANCE, "shop/i1", instance_value(build=-1), "whole numbers"),
        (Kind.INSTANCE, "shop/i1", instance_value(zone="z" * 257), "256 characters"),
        (Kind.INSTANCE, "shop/i1", pack(InstanceValue(1, "z", "c", 1, 0.0, 1, "h", 1)), "above 0"),
        (
            Kind.INSTANCE,
            "shop/i1",
            pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "", 1)),
            "there is a host",
        ),
        (Kind.INSTANCE, "shop/i1", pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "h", 65536)), "no port"),
        (Kind.ZONE, "z1", b"\x90", "length"),
        (9, "x", b"x", "no kind"),
    ],
)
def test_an_invalid_value_is_rejected_with_its_reason(
    view: View, kind: int, name: str, value: bytes, reason: str
) -> None:
    checked = ValueChecks(METHODS, MAX_DEADLINE)(kind, name, value)

    result = view.apply(batch(change(kind, name, value, 1)))

    assert reason in checked
    assert [one.reason for one in result.rejected] == [checked]
    assert result.digest != 0


def test_a_version_too_large_for_the_pages_is_rejected_before_anything_changes() -> None:
    for one in (tenant_change(1, 0.5, epoch=MAX_EPOCH), tenant_change(MAX_SEQUENCE, 0.5)):
        view = new_view()

        result = view.apply(Apply("eu", Version(MAX_EPOCH, MAX_SEQUENCE), [one]))

        assert len(result.rejected) == 1
        assert view.tenant_quota("t1") is None


def test_a_region_beyond_the_maximum_is_rejected_by_name(view: View) -> None:
    for number in range(MAX_REGIONS):
        view.apply(Apply(f"r{number}", Version(1, 1), []))

    with pytest.raises(ChangeRejected, match="255 regions"):
        view.apply(Apply("one-more", Version(1, 1), []))


# ---- order and positions -----------------------------------------------------------------------------


def test_changes_up_to_the_position_or_beyond_the_batch_are_skipped(view: View) -> None:
    view.apply(batch(tenant_change(5, 0.5)))

    older = view.apply(batch(tenant_change(4, 0.25)))
    mixed = view.apply(
        Apply(
            "eu",
            Version(1, 8),
            [tenant_change(4, 0.25), tenant_change(9, 0.75), tenant_change(7, 0.1, "t2")],
        )
    )

    assert (older.applied, older.upto) == (0, Version(1, 5))
    assert (mixed.applied, mixed.skipped, mixed.upto) == (1, 2, Version(1, 8))
    assert view.tenant_quota("t1") == 0.5
    assert view.tenant_quota("t2") == 0.1


def test_a_change_of_another_region_in_a_batch_is_skipped(view: View) -> None:
    result = view.apply(batch(tenant_change(1, 0.5, region="ap")))

    assert result.skipped == 1
    assert view.tenant_quota("t1") is None


def test_an_unordered_batch_ends_with_the_newest_version_of_each_key(view: View) -> None:
    view.apply(batch(tenant_change(3, 0.3), tenant_change(1, 0.1), tenant_change(2, 0.2)))

    assert view.tenant_quota("t1") == 0.3


def test_a_later_epoch_is_newer_whatever_the_sequence(view: View) -> None:
    view.apply(batch(tenant_change(9, 0.9)))

    later = view.apply(batch(tenant_change(2, 0.2, epoch=2), epoch=2))
    earlier = view.apply(batch(tenant_change(10, 0.1)))

    assert later.applied == 1
    assert earlier.applied == 0
    assert view.tenant_quota("t1") == 0.2


def test_of_two_regions_with_a_key_the_first_by_name_takes_precedence_in_any_order() -> None:
    for order in (("eu", "ap"), ("ap", "eu")):
        view = new_view()

        for region in order:
            share, method = (0.1, "look") if region == "ap" else (0.9, "charge")
            view.apply(batch(tenant_change(1, share, region=region), region=region))
            view.apply(batch(routes_change(2, route_text(method), region=region), region=region))
            instance = instance_change(3, "shop/i1", region, build=1 + (region == "eu"))
            view.apply(batch(instance, region=region))

        assert view.tenant_quota("t1") == 0.1
        assert method_of(view) == "look"
        assert [entry.build for entry in view.instances("shop")] == [1]

        deleted = [(Kind.TENANT, "t1"), (Kind.ROUTES, "shop"), (Kind.INSTANCE, "shop/i1")]
        deletions = [change(kind, name, b"", 4 + at, "ap") for at, (kind, name) in enumerate(deleted)]
        view.apply(batch(*deletions, region="ap"))

        assert view.tenant_quota("t1") == 0.9
        assert method_of(view) == "charge"
        assert [entry.build for entry in view.instances("shop")] == [2]


# ---- complete ranges ---------------------------------------------------------------------------------


def test_an_older_batch_during_a_transfer_does_not_overwrite_a_replaced_range(view: View) -> None:
    number = range_number(Kind.TENANT, "t1")
    view.apply(batch(tenant_change(1, 0.1), tenant_change(2, 0.2, "t2")))

    replaced = view.replace(
        range_of_changes("eu", [tenant_change(9, 0.9)], number, Version(1, 9), final=False)
    )

    assert replaced.digest is None
    assert replaced.upto == Version(1, 2)
    assert view.tenant_quota("t1") == 0.9

    older = view.apply(batch(tenant_change(5, 0.5), tenant_change(6, 0.6, "t2"), tenant_change(7, 0.7, "t3")))

    assert (older.skipped, older.digest) == (1, None)
    assert [view.tenant_quota(name) for name in ("t1", "t2", "t3")] == [0.9, 0.6, 0.7]
    assert view.apply(Apply("eu", Version(1, 9), [])).digest is not None


def test_a_range_read_later_than_its_transfer_is_complete_up_to_the_newest_it_names(view: View) -> None:
    number = range_number(Kind.TENANT, "t1")

    later = view.replace(range_of_changes("eu", [tenant_change(9, 0.9)], number, Version(1, 5), final=True))

    assert later.upto == Version(1, 5)
    assert later.digest is None
    assert view.apply(batch(tenant_change(7, 0.7))).skipped == 1
    assert view.tenant_quota("t1") == 0.9

    older = view.replace(range_of_changes("eu", [tenant_change(8, 0.8)], number, Version(1, 8), final=True))

    assert (older.skipped, older.upto, older.digest) == (1, Version(1, 8), None)
    assert view.apply(batch(tenant_change(10, 0.1))).digest is not None
    assert view.tenant_quota("t1") == 0.1


def test_a_range_with_a_rejected_version_leaves_the_good_one_in_force(view: View) -> None:
    view.apply(batch(routes_change(1, route_text("look")), tenant_change(2, 0.2)))

    for one, number in (
        (routes_change(3, b"route"), range_number(Kind.ROUTES, "shop")),
        (tenant_change(4, 4.0), range_number(Kind.TENANT, "t1")),
    ):
        result = view.replace(range_of_changes("eu", [one], number, Version(1, 4), final=False))
        assert len(result.rejected) == 1

    assert method_of(view) == "look"
    assert view.tenant_quota("t1") == 0.2
    assert len(view.rejected()) == 2

    again = view.replace(range_of_changes("eu", [tenant_change(4, 4.0)], number, Version(1, 4), final=True))

    assert again.rejected == []
    assert again.digest == view.digest("eu") != 0


def test_an_older_range_is_skipped_and_one_at_the_same_version_is_applied(view: View) -> None:
    number = range_number(Kind.TENANT, "t1")
    view.apply(batch(tenant_change(5, 0.5)))

    older = view.replace(range_of_changes("eu", [tenant_change(4, 0.4)], number, Version(1, 4), final=True))

    assert (older.skipped, older.upto, view.tenant_quota("t1")) == (1, Version(1, 5), 0.5)

    view.replace(range_of_changes("eu", [], number, Version(1, 5), final=True))

    assert view.tenant_quota("t1") is None
    assert view.digest("eu") == 0


def test_a_range_replaces_only_its_own_keys_and_leaves_other_regions_alone(view: View) -> None:
    number = range_number(Kind.TENANT, "t1")
    view.apply(batch(tenant_change(1, 0.1, region="ap"), region="ap"))
    content = range_of_changes("eu", [tenant_change(2, 0.2)], number, Version(1, 9), final=True)
    content.changes.extend([tenant_change(3, 0.3, "t2"), tenant_change(4, 0.4, region="ap")])

    result = view.replace(content)

    assert (result.applied, result.skipped) == (1, 2)
    assert view.tenant_quota("t2") is None
    assert view.tenant_quota("t1") == 0.1
    assert view.digest("ap") != 0


def test_a_restart_during_a_transfer_restores_which_ranges_are_ahead(view: View) -> None:
    pages: dict[PageKey, StoredPage] = {}
    number = range_number(Kind.TENANT, "t1")
    view.replace(range_of_changes("eu", [tenant_change(9, 0.9)], number, Version(1, 9), final=False))

    restarted = reloaded(view, pages)

    assert restarted.apply(batch(tenant_change(5, 0.5))).skipped == 1
    assert restarted.tenant_quota("t1") == 0.9
    assert restarted.digest("eu") is None


# ---- one version for a request -----------------------------------------------------------------------


def test_a_table_that_a_request_uses_is_not_altered_by_a_later_change(view: View) -> None:
    view.apply(batch(routes_change(1, route_text("look"))))
    found = view.routes("shop")
    assert found is not None

    view.apply(batch(routes_change(2, route_text("charge"))))

    answer = found.find(Request("shop", "/a"))
    assert answer is not None
    assert answer.method == "look"
    assert method_of(view) == "charge"


def test_a_change_validated_ahead_gives_the_same_result_and_is_not_checked_again(
    view: View, monkeypatch: pytest.MonkeyPatch
) -> None:
    good = routes_change(1, route_text("look"))
    bad = routes_change(2, b"route", "pay")
    for one in (good, bad):
        view.prevalidate(one)
    monkeypatch.setattr(view.validator.checks, "read_in_steps", lambda *_: pytest.fail("checked again"))

    result = view.apply(batch(good, bad))

    assert result.applied == 1
    assert len(result.rejected) == 1
    assert method_of(view) == "look"
    assert not view.validator.ahead


# ---- instances and zones -----------------------------------------------------------------------------


def test_one_change_removes_the_instances_of_a_zone_and_another_restores_them(view: View) -> None:
    names = [f"shop/i{number}" for number in range(100)]
    view.apply(batch(*(instance_change(at + 1, name, zone=f"z{at % 2}") for at, name in enumerate(names))))

    lost = view.apply(batch(change(Kind.ZONE, "z1", zone_value(), 200)))

    assert (lost.applied, lost.zones) == (1, ["z1"])
    states = [entry.state for entry in view.instances("shop")]
    assert (states.count(InstanceState.REMOVED), states.count(InstanceState.READY)) == (50, 50)

    view.apply(batch(change(Kind.ZONE, "z1", zone_value(lost=False), 201)))

    assert all(entry.state == InstanceState.READY for entry in view.instances("shop"))


def test_changes_of_services_in_use_are_reported_one_by_one(view: View) -> None:
    view.apply(batch(*(instance_change(at + 1, f"shop/i{at}") for at in range(200))))
    assert len(view.use("shop")) == 200

    result = view.apply(
        batch(
            instance_change(300, "shop/i7", build=9),
            change(Kind.INSTANCE, "shop/i8", b"", 301),
            instance_change(302, "pay/i1"),
            change(Kind.INSTANCE, "shop/none", b"", 303),
        )
    )

    changed = result.instances["shop"]
    assert [(one.entry.instance, one.entry.build, one.entry.state) for one in changed] == [
        ("i7", 9, InstanceState.READY),
        ("i8", 1, InstanceState.REMOVED),
    ]
    assert list(result.instances) == ["shop"]
    assert changed[0].address == ("127.0.0.1", 9000)
    assert sorted(view.instances("shop")) == sorted(one.entry for one in reloaded(view, {}).endpoints("shop"))

    view.release("shop")

    assert view.apply(batch(instance_change(400, "shop/i7"))).instances == {}


def test_an_instances_start_is_in_the_gateways_clock(view: View) -> None:
    unknown = pack(InstanceValue(1, "z", "c", 1, 1.0, 0, "h", 1))

    view.apply(batch(instance_change(1, "shop/i1"), change(Kind.INSTANCE, "shop/i2", unknown, 2)))

    starts = {entry.instance: entry.started_at for entry in view.instances("shop")}
    assert starts == {"i1": 1_700_000_000_000_000 - 7, "i2": LONG_AGO}


def test_a_change_in_a_large_service_rewrites_one_page(view: View) -> None:
    view.apply(batch(*(instance_change(at + 1, f"shop/i{at}") for at in range(3000))))
    view = reloaded(view, {})

    view.apply(batch(instance_change(5000, "shop/i77", build=2)))

    changed = [page for page in view.take_changed_pages() if page.kind == Kind.INSTANCE]
    assert len(changed) == 1
    assert len(changed[0].body or b"") in range(1, 4000)
    assert len(view.instances("shop")) == 3000

    view.apply(batch(*(change(Kind.INSTANCE, f"shop/i{at}", b"", 6000 + at) for at in range(3000))))

    assert view.instances("shop") == []
    assert list(view.services()) == []
    assert view.digest("eu") == 0


def test_a_tenants_quota_is_stored_exactly(view: View) -> None:
    shares = {f"t{number}": 1 / (number + 3) for number in range(5000)}

    view.apply(
        batch(*(tenant_change(at + 1, share, name) for at, (name, share) in enumerate(shares.items())))
    )

    assert all(view.tenant_quota(name) == share for name, share in shares.items())
    assert view.tenant_quota("t5000") is None
    assert len(view.tenant_table) == 5000
    assert msgspec.msgpack.decode(tenant_value(1 / 3), type=TenantValue).share == 1 / 3
