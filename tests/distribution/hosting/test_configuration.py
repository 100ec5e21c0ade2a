"""The element `distribution`: its parsed settings, and each invalid setting in one line with advice."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from linenbridge.cli.settings_commands import shown
from linenbridge.configuration.read import ConfigurationError, parse, read
from linenbridge.distribution.configuration import Role, distribution
from linenbridge.distribution.hosting.methods import methods_of
from linenbridge.fleet.configuration import fleet_settings as fleet_of

ROOT = Path(__file__).parents[3]
EU = (
    '<region name="eu"><relay name="eu-1" address="127.0.0.1:7301"/>'
    '<relay name="eu-2" address="127.0.0.1:7302"/><publisher name="p1" address="127.0.0.1:7311"/></region>'
)
US = '<region name="us"><relay name="us-1" address="[::1]:7401"/></region>'
GATEWAY = 'role="gateway" name="g-1" region="eu"'
RELAY = 'role="relay" name="eu-1" region="eu" listen="127.0.0.1:7301" store="eu-1.db"'
PUBLISHER = 'role="publisher" name="p1" region="eu" listen="127.0.0.1:7311"'
ACCEPTORS = "".join(f'<member name="m{n}" address="127.0.0.1:910{n}"/>' for n in (2, 3)) + (
    '<council><seat name="m1"/><seat name="m2"/><seat name="m3"/></council>'
)


def fleet(tasks: str) -> str:
    return f'<fleet member="m1" listen="127.0.0.1:7101">{ACCEPTORS}{tasks}</fleet>\n'


def settings_file(attributes: str, regions: str = EU + US, before: str = "") -> bytes:
    return (
        f'<linenbridge xmlns="urn:linenbridge:premises:1">\n{before}<distribution {attributes}>\n{regions}\n'
        f"</distribution>\n</linenbridge>"
    ).encode()


def test_a_gateway_without_optional_attributes_gets_the_schemas_defaults():
    settings = distribution(parse(settings_file(GATEWAY), "x.xml"))
    assert (settings.role, settings.name, settings.region) == (Role.GATEWAY, "g-1", "eu")
    assert (settings.listen, settings.store, settings.trusted) == (None, "", False)
    assert (settings.rate, settings.rate_between_regions) == (14_000, 4 << 20)
    assert (settings.gather, settings.heartbeat, settings.silence) == (200_000, 1_000_000, 2_500_000)
    assert (settings.followers, settings.authors) == (400, 64)
    assert settings.home.relays == {"eu-1": ("127.0.0.1", 7301), "eu-2": ("127.0.0.1", 7302)}
    assert settings.home.publishers == {"p1": ("127.0.0.1", 7311)}
    assert settings.relay_address("us-1") == ("::1", 7401)
    assert settings.relay_address("us-9") is None


def test_a_relative_store_is_resolved_against_the_folder_of_the_settings():
    settings = distribution(parse(settings_file(RELAY), "/etc/linenbridge/x.xml"))
    assert settings.role == Role.RELAY
    assert settings.listen == ("127.0.0.1", 7301)
    assert settings.store == "/etc/linenbridge/eu-1.db"


def test_a_publisher_with_the_task_of_its_region_is_accepted():
    data = settings_file(PUBLISHER, before=fleet('<task name="publish-eu"/>'))
    assert distribution(parse(data, "x.xml")).role == Role.PUBLISHER


def test_settings_without_the_element_return_none():
    assert distribution(parse(b'<linenbridge xmlns="urn:linenbridge:premises:1"/>', "x.xml")) is None


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (settings_file(GATEWAY + ' gather="2s"'), "x.xml:2:1: `gather` is longer than `heartbeat`; shorten"),
        (
            settings_file(GATEWAY + ' silence="1s"'),
            "x.xml:2:1: `silence` is shorter than 2 heartbeats; shorten",
        ),
        (settings_file(GATEWAY, EU + EU), "x.xml:3:165: two regions are named eu; give each region"),
        (
            settings_file(GATEWAY, EU + US.replace("us-1", "eu-2")),
            "two processes are named eu-2; give each relay",
        ),
        (
            settings_file(GATEWAY, EU + US.replace("us-1", "p1")),
            "two processes are named p1; give each relay",
        ),
        (settings_file(GATEWAY, US), "x.xml:2:1: no region is named eu; add the region"),
        (
            settings_file(GATEWAY.replace("g-1", "eu-2")),
            "a relay or publisher is named eu-2; give the gateway",
        ),
        (settings_file(GATEWAY.replace("g-1", "p1")), "a relay or publisher is named p1; give the gateway"),
        (settings_file(RELAY.replace("eu-1", "eu-9", 1)), "eu-9 is not a relay of region eu; add it to"),
        (settings_file(RELAY.replace('store="eu-1.db"', "")), "a relay has no `store`; add `store`"),
        (
            settings_file(RELAY.replace('listen="127.0.0.1:7301"', "")),
            "a relay has no `listen`; add `listen`",
        ),
        (
            settings_file(PUBLISHER),
            "requires the element `fleet`, for its lease; add the element `fleet` with a task publish-eu",
        ),
        (settings_file(PUBLISHER, before=fleet("")), "x.xml:2:1: no task is named publish-eu; add the task"),
        (
            settings_file(PUBLISHER, before=fleet('<task name="publish-eu" places="2"/>')),
            "`places` is not 1: a region has one publisher at a time; set `places` to 1",
        ),
        (
            settings_file(PUBLISHER.replace("p1", "p2"), before=fleet('<task name="publish-eu"/>')),
            "p2 is not a publisher of region eu; add it to",
        ),
    ],
)
def test_an_invalid_setting_is_reported_with_its_place_and_advice(data, expected):
    with pytest.raises(ConfigurationError) as error:
        distribution(parse(data, "x.xml"))
    assert expected in str(error.value)


def test_several_invalid_settings_are_reported_in_one_error():
    with pytest.raises(ConfigurationError) as error:
        distribution(
            parse(settings_file(RELAY.replace('store="eu-1.db"', "") + ' silence="1s"', EU + EU), "x.xml")
        )
    assert len(str(error.value).splitlines()) == 6


@pytest.mark.parametrize(
    "attributes",
    [GATEWAY.replace("gateway", "broker"), GATEWAY + ' rate="0"', GATEWAY + ' heartbeat="1"', 'role="relay"'],
)
def test_attributes_that_the_schema_rejects_are_reported_with_their_line(attributes):
    with pytest.raises(ConfigurationError, match=r"x\.xml:2: element 'distribution'"):
        parse(settings_file(attributes), "x.xml")


@pytest.mark.parametrize("name", ["relay", "publisher", "gateway"])
def test_the_example_settings_are_valid(name):
    configuration = read(str(ROOT / "examples" / "distribution" / f"{name}.xml"))
    settings = distribution(configuration)
    assert settings.role == name
    assert len(settings.home.relays) == 3
    rows = shown(configuration)
    assert rows["distribution.rate"] == 14_000
    assert rows["distribution.region.us.publishers"] == "us-p1 us-p2"
    assert (fleet_of(configuration) is not None) == (name == "publisher")
    if settings.platform:
        assert methods_of(settings).methods


def test_a_process_with_invalid_settings_exits_with_2(tmp_path):
    (tmp_path / "x.xml").write_bytes(settings_file(RELAY.replace("eu-1", "eu-9", 1)))
    run = subprocess.run(
        [sys.executable, "-m", "linenbridge", "serve", "--settings", str(tmp_path / "x.xml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == 2
    assert "eu-9 is not a relay of region eu" in run.stderr
