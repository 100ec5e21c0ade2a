"""The operators' page names every event, attribute of the settings and counter of the distribution."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from lxml import etree

from linenbridge.configuration.read import schema_text
from tests.fleet.procs.installation import ROOT

PAGE = (ROOT / "docs" / "distribution-operators.md").read_text()
CODE = ROOT / "linenbridge" / "distribution"
SCHEMA = "{http://www.w3.org/2001/XMLSchema}"


def events() -> set[str]:
    """Return the names of events in the source, written with the prefix or for a core that adds it."""
    found = set[str]()
    for path in CODE.rglob("*.py"):
        text = path.read_text()
        found |= set(re.findall(r'(?:event|event_sampled|Event|say)\(\s*"distribution\.([a-z_]+)"', text))
        found |= set(re.findall(r'_event\(\s*"([a-z_]+)"', text))
    return found


def attributes() -> set[str]:
    """Return the attributes of the element `distribution` in the schema."""
    for found in etree.fromstring(schema_text()).iter(f"{SCHEMA}complexType"):
        if found.get("name") == "distribution":
            return {row.get("name") for row in found.iter(f"{SCHEMA}attribute")}
    return set()


def counters() -> set[str]:
    """Return the keys of the counters of all roles."""
    found = set[str]()
    for name in ("relay", "publisher", "gateway"):
        text = Path(CODE / "hosting" / f"{name}.py").read_text()
        facts = text[text.index("def facts(") :].split("    def ")[0]
        found |= set(re.findall(r'"([a-z_]+)":', facts))
    return found


def test_events_attributes_and_counters_are_found_in_the_source():
    assert len(events()) >= 20
    assert len(attributes()) >= 12
    assert len(counters()) >= 25


@pytest.mark.parametrize("name", sorted(events()))
def test_each_event_is_on_the_operators_page(name):
    assert f"`distribution.{name}`" in PAGE or f"`.{name}`" in PAGE


@pytest.mark.parametrize("name", sorted(attributes() | counters()))
def test_each_attribute_and_counter_is_on_the_operators_page(name):
    assert f"`{name}`" in PAGE
