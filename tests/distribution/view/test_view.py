"""A view changes whole, between two requests; what is refused leaves the last good version in force."""

from __future__ import annotations

import msgspec
import pytest

from linenbridge import interface as face
from linenbridge.distribution.changes import MAX_VALUE_BYTES, InstanceValue, Kind, TenantValue, Version
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.regions import REGIONS_MOST
from linenbridge.distribution.view.tenants import EPOCH_MOST, SEQUENCE_MOST
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.startup import LONG_AGO
from linenbridge.routes.table import Request
from tests.distribution.view.helpers import LONGEST, METHODS, new_view, reloaded
from tests.distribution.view.model import (
    batch, change, instance_value, pack, range_number, range_of_changes, route_text, tenant_value, zone_value,
)  # fmt: skip


def routes(sequence: int, value: bytes, name: str = "shop", region: str = "eu", epoch: int = 1):
    return change(Kind.ROUTES, name, value, sequence, region, epoch)


def tenant(sequence: int, share: float, name: str = "t1", region: str = "eu", epoch: int = 1):
    return change(Kind.TENANT, name, tenant_value(share), sequence, region, epoch)


def instance(sequence: int, name: str, region: str = "eu", **value):
    return change(Kind.INSTANCE, name, instance_value(**value), sequence, region)


def method_of(view, authority: str = "shop", path: str = "/a") -> str | None:
    table = view.routes(authority)
    found = table and table.find(Request(authority, path))
    return found and found.method


# ---- refused changes ---------------------------------------------------------------------------------


def test_a_refused_change_names_itself_and_leaves_the_last_good_version_in_force():
    view = new_view()
    view.apply(batch(routes(1, route_text("look"))))
    applied = view.apply(batch(routes(2, route_text("pay")), tenant(3, 0.5)))
    assert [str(one.error()) for one in applied.refused] == [
        "routes shop at eu/1/2: 1:42: no method is named 'pay'; "
        "mend the value and publish it again; the error names the place"
    ]
    assert isinstance(applied.refused[0].error(), ChangeRejected)
    assert method_of(view) == "look" and view.tenant("t1") == 0.5
    assert (applied.taken, view.counts["refused"], applied.upto) == (1, 1, Version(1, 3))
    assert [(one.kind, one.name, one.version) for one in view.refused()] == [
        (Kind.ROUTES, "shop", Version(1, 2))
    ]


def test_the_next_good_version_ends_a_refusal_and_so_does_a_deletion():
    view = new_view()
    view.apply(batch(routes(1, route_text("look")), routes(2, b"\xff", "pay"), tenant(3, 1.5)))
    assert len(view.refused()) == 2
    view.apply(batch(routes(4, route_text("charge"), "pay"), change(Kind.TENANT, "t1", b"", 5)))
    assert view.refused() == [] and method_of(view, "pay") == "charge" and view.tenant("t1") is None


@pytest.mark.parametrize(
    ("kind", "name", "value", "words"),
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
        (Kind.INSTANCE, "shop/i1", pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "", 1)), "there is a host"),
        (Kind.INSTANCE, "shop/i1", pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "h", 65536)), "no port"),
        (Kind.ZONE, "z1", b"\x90", "length"),
        (9, "x", b"x", "no kind"),
    ],
)
def test_a_value_that_cannot_be_used_is_refused_and_says_why(kind, name, value, words):
    why = ValueChecks(METHODS, LONGEST)(kind, name, value)
    assert words in why
    view = new_view()
    applied = view.apply(batch(change(kind, name, value, 1)))
    assert [one.reason for one in applied.refused] == [why] and applied.digest != 0


def test_a_version_too_large_for_the_pages_is_refused_before_anything_changes():
    for one in (tenant(1, 0.5, epoch=EPOCH_MOST), tenant(SEQUENCE_MOST, 0.5)):
        view = new_view()
        applied = view.apply(Apply("eu", Version(EPOCH_MOST, SEQUENCE_MOST), [one]))
        assert len(applied.refused) == 1 and view.tenant("t1") is None


def test_more_regions_than_pages_have_room_for_are_refused_by_name():
    view = new_view()
    for number in range(REGIONS_MOST):
        view.apply(Apply(f"r{number}", Version(1, 1), []))
    with pytest.raises(ChangeRejected, match="255 regions"):
        view.apply(Apply("one-more", Version(1, 1), []))


# ---- order and positions -----------------------------------------------------------------------------


def test_what_is_not_behind_the_position_or_beyond_the_batch_is_passed_over():
    view = new_view()
    view.apply(batch(tenant(5, 0.5)))
    older = view.apply(batch(tenant(4, 0.25)))
    assert (older.taken, older.upto) == (0, Version(1, 5))
    applied = view.apply(Apply("eu", Version(1, 8), [tenant(4, 0.25), tenant(9, 0.75), tenant(7, 0.1, "t2")]))
    assert (applied.taken, applied.passed, applied.upto) == (1, 2, Version(1, 8))
    assert view.tenant("t1") == 0.5 and view.tenant("t2") == 0.1


def test_a_change_of_another_region_in_a_batch_is_passed_over():
    view = new_view()
    assert view.apply(batch(tenant(1, 0.5, region="ap"))).passed == 1
    assert view.tenant("t1") is None


def test_a_batch_in_disorder_ends_with_the_newest_version_of_each_key():
    view = new_view()
    view.apply(batch(tenant(3, 0.3), tenant(1, 0.1), tenant(2, 0.2)))
    assert view.tenant("t1") == 0.3


def test_a_later_epoch_is_newer_whatever_the_sequence():
    view = new_view()
    view.apply(batch(tenant(9, 0.9)))
    assert view.apply(batch(tenant(2, 0.2, epoch=2), epoch=2)).taken == 1
    assert view.apply(batch(tenant(10, 0.1))).taken == 0
    assert view.tenant("t1") == 0.2


def test_of_two_regions_that_hold_a_key_the_first_by_name_counts_whatever_came_first():
    for order in (("eu", "ap"), ("ap", "eu")):
        view = new_view()
        for region in order:
            share, method = (0.1, "look") if region == "ap" else (0.9, "charge")
            view.apply(batch(tenant(1, share, region=region), region=region))
            view.apply(batch(routes(2, route_text(method), region=region), region=region))
            view.apply(batch(instance(3, "shop/i1", region, build=1 + (region == "eu")), region=region))
        assert view.tenant("t1") == 0.1 and method_of(view) == "look"
        assert [entry.build for entry in view.instances("shop")] == [1]
        deletions = [(Kind.TENANT, "t1"), (Kind.ROUTES, "shop"), (Kind.INSTANCE, "shop/i1")]
        gone = [change(kind, name, b"", 4 + at, "ap") for at, (kind, name) in enumerate(deletions)]
        view.apply(batch(*gone, region="ap"))
        assert view.tenant("t1") == 0.9 and method_of(view) == "charge"
        assert [entry.build for entry in view.instances("shop")] == [2]


# ---- whole ranges ------------------------------------------------------------------------------------


def test_a_replaced_range_is_not_put_back_by_an_older_batch_before_the_transfer_ends():
    view = new_view()
    number = range_number(Kind.TENANT, "t1")
    view.apply(batch(tenant(1, 0.1), tenant(2, 0.2, "t2")))
    applied = view.replace(range_of_changes("eu", [tenant(9, 0.9)], number, Version(1, 9), final=False))
    assert applied.digest is None and applied.upto == Version(1, 2) and view.tenant("t1") == 0.9
    applied = view.apply(batch(tenant(5, 0.5), tenant(6, 0.6, "t2"), tenant(7, 0.7, "t3")))
    assert (applied.passed, applied.digest) == (1, None)
    assert [view.tenant(name) for name in ("t1", "t2", "t3")] == [0.9, 0.6, 0.7]
    assert view.apply(Apply("eu", Version(1, 9), [])).digest is not None


def test_a_range_read_later_than_its_transfer_is_complete_up_to_the_newest_it_names():
    view = new_view()
    number = range_number(Kind.TENANT, "t1")
    applied = view.replace(range_of_changes("eu", [tenant(9, 0.9)], number, Version(1, 5), final=True))
    assert applied.upto == Version(1, 5) and applied.digest is None
    assert view.apply(batch(tenant(7, 0.7))).passed == 1 and view.tenant("t1") == 0.9
    older = view.replace(range_of_changes("eu", [tenant(8, 0.8)], number, Version(1, 8), final=True))
    assert (older.passed, older.upto, older.digest) == (1, Version(1, 8), None)
    assert view.apply(batch(tenant(10, 0.1))).digest is not None and view.tenant("t1") == 0.1


def test_a_range_with_a_refused_version_leaves_the_good_one_in_force():
    view = new_view()
    view.apply(batch(routes(1, route_text("look")), tenant(2, 0.2)))
    for one, number in (
        (routes(3, b"route"), range_number(Kind.ROUTES, "shop")),
        (tenant(4, 4.0), range_number(Kind.TENANT, "t1")),
    ):
        applied = view.replace(range_of_changes("eu", [one], number, Version(1, 4), final=False))
        assert len(applied.refused) == 1
    assert method_of(view) == "look" and view.tenant("t1") == 0.2 and len(view.refused()) == 2
    again = view.replace(range_of_changes("eu", [tenant(4, 4.0)], number, Version(1, 4), final=True))
    assert again.refused == [] and again.digest == view.digest("eu") != 0


def test_an_older_range_is_passed_over_and_one_at_the_same_version_is_taken():
    view = new_view()
    number = range_number(Kind.TENANT, "t1")
    view.apply(batch(tenant(5, 0.5)))
    applied = view.replace(range_of_changes("eu", [tenant(4, 0.4)], number, Version(1, 4), final=True))
    assert (applied.passed, applied.upto, view.tenant("t1")) == (1, Version(1, 5), 0.5)
    view.replace(range_of_changes("eu", [], number, Version(1, 5), final=True))
    assert view.tenant("t1") is None and view.digest("eu") == 0


def test_a_range_takes_only_keys_of_its_own_and_leaves_other_regions_alone():
    view = new_view()
    number = range_number(Kind.TENANT, "t1")
    view.apply(batch(tenant(1, 0.1, region="ap"), region="ap"))
    content = range_of_changes("eu", [tenant(2, 0.2)], number, Version(1, 9), final=True)
    content.changes.extend([tenant(3, 0.3, "t2"), tenant(4, 0.4, region="ap")])
    applied = view.replace(content)
    assert (applied.taken, applied.passed) == (1, 2) and view.tenant("t2") is None
    assert view.tenant("t1") == 0.1 and view.digest("ap") != 0


def test_a_restart_in_the_middle_of_a_transfer_knows_which_ranges_are_ahead():
    view, pages = new_view(), {}
    number = range_number(Kind.TENANT, "t1")
    view.replace(range_of_changes("eu", [tenant(9, 0.9)], number, Version(1, 9), final=False))
    view = reloaded(view, pages)
    assert view.apply(batch(tenant(5, 0.5))).passed == 1 and view.tenant("t1") == 0.9
    assert view.digest("eu") is None


# ---- one version for a request -----------------------------------------------------------------------


def test_a_table_that_a_request_has_found_does_not_change_under_it():
    view = new_view()
    view.apply(batch(routes(1, route_text("look"))))
    held = view.routes("shop")
    view.apply(batch(routes(2, route_text("charge"))))
    assert held.find(Request("shop", "/a")).method == "look" and method_of(view) == "charge"


def test_a_change_examined_ahead_comes_to_the_same_and_is_not_checked_again(monkeypatch):
    view = new_view()
    good, bad = routes(1, route_text("look")), routes(2, b"route", "pay")
    for one in (good, bad):
        view.examine(one)
    monkeypatch.setattr(view.checks, "reading", lambda *_: pytest.fail("checked again"))
    applied = view.apply(batch(good, bad))
    assert applied.taken == 1 and len(applied.refused) == 1 and method_of(view) == "look"
    assert not view.ahead


# ---- instances and zones -----------------------------------------------------------------------------


def test_a_lost_zone_is_one_change_and_its_end_another():
    view = new_view()
    names = [f"shop/i{number}" for number in range(100)]
    view.apply(batch(*(instance(n + 1, name, zone=f"z{n % 2}") for n, name in enumerate(names))))
    applied = view.apply(batch(change(Kind.ZONE, "z1", zone_value(), 200)))
    assert (applied.taken, applied.zones) == (1, ["z1"])
    states = [entry.state for entry in view.instances("shop")]
    assert (states.count(face.GONE), states.count(face.READY)) == (50, 50)
    view.apply(batch(change(Kind.ZONE, "z1", zone_value(False), 201)))
    assert all(entry.state == face.READY for entry in view.instances("shop"))


def test_changes_of_services_in_use_are_told_one_by_one():
    view = new_view()
    view.apply(batch(*(instance(n + 1, f"shop/i{n}") for n in range(200))))
    assert len(view.use("shop")) == 200
    applied = view.apply(
        batch(instance(300, "shop/i7", build=9), change(Kind.INSTANCE, "shop/i8", b"", 301),
              instance(302, "pay/i1"), change(Kind.INSTANCE, "shop/none", b"", 303))
    )  # fmt: skip
    told = applied.instances["shop"]
    assert [(one.entry.instance, one.entry.build, one.entry.state) for one in told] == [
        ("i7", 9, face.READY), ("i8", 1, face.GONE),
    ]  # fmt: skip
    assert list(applied.instances) == ["shop"] and told[0].address == ("127.0.0.1", 9000)
    assert sorted(view.instances("shop")) == sorted(one.entry for one in reloaded(view, {}).listed("shop"))
    view.release("shop")
    assert view.apply(batch(instance(400, "shop/i7"))).instances == {}


def test_an_instance_has_the_gateways_own_time_of_start():
    view = new_view()
    unknown = pack(InstanceValue(1, "z", "c", 1, 1.0, 0, "h", 1))
    view.apply(batch(instance(1, "shop/i1"), change(Kind.INSTANCE, "shop/i2", unknown, 2)))
    starts = {entry.instance: entry.started for entry in view.instances("shop")}
    assert starts == {"i1": 1_700_000_000_000_000 - 7, "i2": LONG_AGO}


def test_a_large_service_costs_one_page_a_change():
    view, pages = new_view(), {}
    view.apply(batch(*(instance(n + 1, f"shop/i{n}") for n in range(3000))))
    view = reloaded(view, pages)
    view.apply(batch(instance(5000, "shop/i77", build=2)))
    changed = [page for page in view.dirty() if page.kind == Kind.INSTANCE]
    assert len(changed) == 1 and len(changed[0].body) < 4000
    assert len(view.instances("shop")) == 3000
    view.apply(batch(*(change(Kind.INSTANCE, f"shop/i{n}", b"", 6000 + n) for n in range(3000))))
    assert view.instances("shop") == [] and list(view.services()) == [] and view.digest("eu") == 0


def test_a_tenants_share_keeps_all_its_digits():
    view = new_view()
    shares = {f"t{number}": 1 / (number + 3) for number in range(5000)}
    view.apply(batch(*(tenant(n + 1, share, name) for n, (name, share) in enumerate(shares.items()))))
    assert all(view.tenant(name) == share for name, share in shares.items())
    assert view.tenant("t5000") is None and len(view.by_tenant) == 5000
    assert msgspec.msgpack.decode(tenant_value(1 / 3), type=TenantValue).share == 1 / 3
