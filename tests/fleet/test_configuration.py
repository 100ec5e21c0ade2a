"""The element `fleet`: the settings read from it, and an error line with place and advice per fault."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from linenbridge.configuration.read import ConfigurationError, parse
from linenbridge.fleet.configuration import fleet_settings
from linenbridge.fleet.leases.quorum import Quorum

ACCEPTORS = '<quorum><acceptor name="g1"/><acceptor name="g2"/><acceptor name="g3"/></quorum>'
INVALID_SETTINGS_EXIT = 2  # exit code
OTHER_MEMBERS = "".join(f'<member name="g{number}" address="127.0.0.1:710{number}"/>' for number in (2, 3, 4))


def settings_text(inside: str = OTHER_MEMBERS + ACCEPTORS, attributes: str = "") -> bytes:
    return (
        f'<linenbridge xmlns="urn:linenbridge:premises:1">\n<fleet member="g1" listen="127.0.0.1:7101" {attributes}>\n'
        f"{inside}\n</fleet>\n</linenbridge>"
    ).encode()


def test_an_element_without_attributes_gets_the_schemas_defaults():
    found = fleet_settings(parse(settings_text(), "x.xml"))

    assert found.timing == (10_000_000, 10_000_000, 10_000, 2_000_000)
    assert found.is_acceptor()
    assert found.quorum == Quorum(1, ("g1", "g2", "g3"), ("g1", "g2", "g3"))
    assert found.members["g4"] == ("127.0.0.1", 7104)
    assert not found.tasks


def test_a_joining_acceptor_is_only_in_the_new_list_of_the_quorum():
    with_joining = ACCEPTORS.replace("<quorum>", '<quorum generation="2">').replace(
        "</quorum>", '<acceptor name="g4" joins="true"/></quorum>'
    )

    quorum = fleet_settings(parse(settings_text(OTHER_MEMBERS + with_joining), "x.xml")).quorum

    assert quorum == Quorum(2, ("g1", "g2", "g3", "g4"), ("g1", "g2", "g3"))


def test_the_former_names_of_the_quorum_and_its_acceptors_give_equal_settings():
    former_names = ACCEPTORS.replace("quorum", "council").replace("<acceptor", "<seat")
    assert "<council><seat" in former_names
    assert fleet_settings(parse(settings_text(OTHER_MEMBERS + former_names), "x.xml")) == fleet_settings(
        parse(settings_text(), "x.xml")
    )
    with pytest.raises(ConfigurationError):
        parse(settings_text(OTHER_MEMBERS + ACCEPTORS + former_names), "x.xml")


@pytest.mark.parametrize(
    ("data", "line"),
    [
        (
            settings_text(attributes='lease="5s" longest="2s"'),
            "x.xml:2:1: `lease` is 5s, longer than `longest` (2s); lower",
        ),
        (
            settings_text(attributes='lease="5s" beat="4s"'),
            "`lease` is 5s, shorter than three times `beat`; shorten",
        ),
        (
            settings_text(attributes='clocks-apart="50%"'),
            "`clocks-apart` is 50%, but has to be below 50%; set it",
        ),
        (
            settings_text(OTHER_MEMBERS + OTHER_MEMBERS + ACCEPTORS),
            "x.xml:3:133: two members are named g2; give each",
        ),
        (
            settings_text(OTHER_MEMBERS + ACCEPTORS.replace('"g3"', '"g9"')),
            "no member is named g9; add the member",
        ),
        (settings_text(OTHER_MEMBERS + ACCEPTORS.replace('"g3"', '"g2"')), "g2 is an acceptor already"),
        (settings_text(OTHER_MEMBERS + '<quorum><acceptor name="g1"/></quorum>'), "3 to 7 acceptors, not 1"),
        (
            settings_text(
                OTHER_MEMBERS
                + ACCEPTORS.replace('name="g2"', 'name="g2" leaves="true"').replace(
                    "</quorum>", '<acceptor name="g4" joins="true"/></quorum>'
                )
            ),
            "more than one acceptor joins or leaves; let only one acceptor join or leave at a time",
        ),
        (
            settings_text(OTHER_MEMBERS + ACCEPTORS + '<task name="a"/><task name="a"/>'),
            "the task name a is already in use; give each task its own name",
        ),
        (
            settings_text(OTHER_MEMBERS + ACCEPTORS + '<task name="a" places="65"/>'),
            "`places` is 65, above the maximum of 64",
        ),
    ],
)
def test_an_invalid_setting_is_rejected_with_its_place_and_advice(data, line):
    with pytest.raises(ConfigurationError) as error:
        fleet_settings(parse(data, "x.xml"))

    assert line in str(error.value)


def test_all_invalid_settings_are_reported_at_once():
    with pytest.raises(ConfigurationError) as error:
        fleet_settings(
            parse(
                settings_text(OTHER_MEMBERS + ACCEPTORS.replace('"g3"', '"g9"'), 'lease="5s" beat="4s"'),
                "x.xml",
            )
        )

    assert len(str(error.value).splitlines()) == 2


def test_serve_exits_with_2_without_a_fleet_or_with_an_invalid_one(tmp_path):
    root = Path(__file__).parents[2]
    for data in (
        settings_text(OTHER_MEMBERS + ACCEPTORS.replace('"g3"', '"g9"')),
        b"<linenbridge xmlns='urn:linenbridge:premises:1'/>",
    ):
        (tmp_path / "x.xml").write_bytes(data)
        run = subprocess.run(
            [sys.executable, "-m", "linenbridge", "serve", "--settings", str(tmp_path / "x.xml")],
            cwd=root,
            capture_output=True,
            text=True,
            timeout=60,
        )

        assert run.returncode == INVALID_SETTINGS_EXIT
        assert "x.xml" in run.stderr
