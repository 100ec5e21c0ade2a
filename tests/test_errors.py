"""Every error type has advice for operators and a row with it on the operators' page of its package."""

from __future__ import annotations

import importlib
import pkgutil
from pathlib import Path

import pytest

import linenbridge.distribution
import linenbridge.fleet
from linenbridge.errors import ControlPlaneError, FileFaultError, Rejection, error_types
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
    "error_type",
    [error_type for error_type in error_types() if error_type.__name__ not in BASES],
    ids=lambda error_type: error_type.__name__,
)
def test_every_error_type_has_advice_and_a_row_with_it_on_the_operators_page(error_type):
    page = PAGES[".".join(error_type.__module__.split(".")[:2])]
    row = next((line for line in page.splitlines() if line.startswith(f"| `{error_type.__name__}`")), "")

    assert error_type.advice
    assert error_type.advice in str(error_type("it happened", "g1"))
    assert row, "the operators' page has no row for this error type"
    assert error_type.advice in row, "the row on the operators' page gives other advice than the error type"


def test_every_rejection_type_has_a_unique_code():
    codes = [error_type.code for error_type in error_types(Rejection)]

    assert len(codes) > 4
    assert len(set(codes)) == len(codes)
    assert all(codes)


def test_an_error_gives_its_text_and_its_fields_for_the_log():
    class ExampleError(ControlPlaneError):
        advice = "wait"

    error = ExampleError("late", "g1")

    assert str(error) == "g1: late; wait"
    assert error.fields() == {
        "kind": "ExampleError",
        "what": "late",
        "where": "g1",
        "do": "wait",
    }


def test_an_error_of_a_renamed_type_is_logged_under_its_current_name_only():
    fields = QuorumLost("only g1 grants", "g2").fields()

    assert fields["kind"] == "QuorumLost"
    assert set(fields) == {"kind", "what", "where", "do"}


def test_advice_given_to_a_file_fault_replaces_the_advice_of_its_type():
    class ExampleFaultError(FileFaultError):
        advice = "correct it"

    assert str(ExampleFaultError("too long", "x.xml:2:1")) == "x.xml:2:1: too long; correct it"
    assert str(ExampleFaultError("too long", "x.xml:2:1", "shorten it")) == "x.xml:2:1: too long; shorten it"
    assert ExampleFaultError("too long", "x.xml:2:1", "shorten it").fields()["do"] == "shorten it"
