"""Each kind of error says what an operator can do, and has its line in the operators' page of its part."""

from __future__ import annotations

import importlib
import pkgutil
from pathlib import Path

import pytest

import linenbridge.distribution
import linenbridge.fleet
from linenbridge.errors import ControlPlaneError, Rejection, error_types
from linenbridge.fleet.leases.errors import QuorumLost

DOCS = Path(__file__).parents[1] / "docs"
PAGES = {
    "linenbridge.fleet": (DOCS / "oncall-fleet.md").read_text(),
    "linenbridge.distribution": (DOCS / "distribution-operators.md").read_text(),
}
for package in (linenbridge.fleet, linenbridge.distribution):
    for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        importlib.import_module(module.name)
BASES = {"Rejection", "LeaseError", "FileFaultError"}


@pytest.mark.parametrize(
    "kind", [kind for kind in error_types() if kind.__name__ not in BASES], ids=lambda k: k.__name__
)
def test_every_kind_has_advice_and_a_line_on_the_page(kind):
    assert kind.advice and kind.advice in str(kind("it happened", "g1"))
    page = PAGES[".".join(kind.__module__.split(".")[:2])]
    row = next((line for line in page.splitlines() if line.startswith(f"| `{kind.__name__}`")), "")
    assert row and kind.advice in row, "the operators' page does not say it"


def test_each_refusal_has_a_code_of_its_own():
    codes = [kind.code for kind in error_types(Rejection)]
    assert len(codes) > 4 and len(set(codes)) == len(codes) and all(codes)


def test_an_error_is_plain_data_for_the_log():
    class PlannedError(ControlPlaneError):
        advice = "wait"

    assert str(PlannedError("late", "g1")) == "g1: late; wait"
    assert PlannedError("late", "g1").fields() == {
        "kind": "PlannedError",
        "what": "late",
        "where": "g1",
        "do": "wait",
    }


def test_a_renamed_kind_is_logged_under_both_names():
    fields = QuorumLost("only g1 grants", "g2").fields()
    assert (fields["kind"], fields["name"]) == ("CouncilLost", "QuorumLost")
