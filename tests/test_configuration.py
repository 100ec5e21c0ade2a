"""The settings file and the command line: locations of errors, defaults, and exit codes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from typer.testing import CliRunner

from linenbridge.cli.commands import app
from linenbridge.configuration.read import ConfigurationError, duration, parse, size
from linenbridge.faults.process import free_port
from linenbridge.processor.configuration import PeerDirectory, processor_settings

ROOT = Path(__file__).parent.parent
HEAD = '<linenbridge xmlns="urn:linenbridge:premises:1">\n'
ROUTES = '<routes><![CDATA[route a { when always method "look" }]]></routes>'
PARTNER = '<partner name="desk" address="127.0.0.1"/>'


def file(
    inside: str = PARTNER + ROUTES, attributes: str = 'listen="127.0.0.1:9001"', before: str = ""
) -> bytes:
    return f"{before}{HEAD}<processor {attributes}>\n{inside}</processor>\n</linenbridge>".encode()


def test_a_minimal_file_gets_the_defaults_of_the_schema():
    settings = processor_settings(parse(file(), "x.xml"))
    assert (settings.host, settings.port, settings.connections, settings.limits.max_streams) == (
        "127.0.0.1",
        9001,
        256,
        1000,
    )
    assert settings.terms.use_within == 100_000
    assert settings.terms.remember_for == 600_000_000
    assert settings.response_format.endpoint == "x-gateway-destination-endpoint"
    assert settings.peers[0].peer.fail_open


def test_attributes_in_the_file_override_the_defaults():
    inside = (
        '<tls certificate="c.pem" key="k.pem" authorities="a.pem"/><bounds streams="7" message="2M"/>'
        '<tickets use-within="20ms" open="9"/><store file="h.db" outlives="power"/>'
        '<answer endpoint="x-to" pushed-back="429" aborted="504"/><proof status="503" header="x-n" value="1"/>'
        '<partner name="a" identity="desk.example" ours="true" attempts="4" fail-open="false"/>' + ROUTES
    )
    settings = processor_settings(parse(file(inside), "/etc/lb/x.xml"))
    assert settings.tls.key == "/etc/lb/k.pem"
    assert settings.store == ("/etc/lb/h.db", "power")
    assert (settings.limits.max_streams, settings.limits.max_message_bytes) == (7, 2 << 20)
    assert (
        settings.response_format.endpoint,
        settings.response_format.pushed_back,
        settings.response_format.aborted,
    ) == ("x-to", 429, 504)
    partner = settings.peers[0].peer
    assert (partner.is_own, partner.attempts, partner.fail_open) == (True, 4, False)


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"", "x.xml:"),
        (file()[:-5], "x.xml:4:"),
        (file(before='<!DOCTYPE linenbridge [<!ENTITY e "x">]>\n'), "document types and entities"),
        (file(before='<!DOCTYPE linenbridge SYSTEM "http://127.0.0.1:1/x.dtd">\n'), "document types"),
        (
            file("&e;" + ROUTES, before='<!DOCTYPE l [<!ENTITY e SYSTEM "file:///etc/hostname">]>\n'),
            "document types",
        ),
        (
            file('<include xmlns="http://www.w3.org/2001/XInclude" href="/etc/hostname"/>' + ROUTES),
            "XInclude is not allowed",
        ),
        (file(PARTNER + ROUTES + "<?php x?>"), "processing instructions"),
        (
            file(
                attributes='listen="127.0.0.1:9" xmlns:i="http://www.w3.org/2001/XMLSchema-instance" '
                'i:schemaLocation="a b"'
            ),
            "references to other schemas",
        ),
        (file(attributes='listen="nowhere"'), "x.xml:2: element 'processor', attribute 'listen'"),
        (file(PARTNER + "<wrong/>" + ROUTES), "element 'wrong'"),
        (file(ROUTES), "x.xml:3: element 'routes'"),
        (
            file('<tickets use-within="300ms"/>' + PARTNER + ROUTES),
            "use-within is 300ms, the maximum is 250ms",
        ),
        (file('<tickets use-within="soon"/>' + PARTNER + ROUTES), "attribute 'use-within'"),
        (file(PARTNER + PARTNER + ROUTES), "the name 'desk' is used by several partners"),
        (file('<partner name="a"/>' + ROUTES), "a partner requires either `identity` or `address`"),
        (file('<partner name="a" address="300.1.1.1"/>' + ROUTES), "300.1.1.1"),
        (
            file('<partner name="a" address="10.0.0.0/8" ours="true"/>' + ROUTES),
            "as others can be spoofed",
        ),
        (file(PARTNER + '<routes file="none.lbr"/>'), "none.lbr"),
        (b" " * (1 << 21), "longer than"),
    ],
)
def test_an_invalid_file_raises_with_its_location_and_reason(data, words):
    with pytest.raises(ConfigurationError) as found:
        processor_settings(parse(data, "x.xml"))
    assert words in str(found.value), str(found.value)
    assert all(line.startswith("x.xml") for line in str(found.value).splitlines())


def test_nested_entity_expansion_is_rejected():
    entities = "".join(f'<!ENTITY a{n} "{f"&a{n - 1};" * 10}">' for n in range(1, 10))
    with pytest.raises(ConfigurationError):
        parse(file("&a9;" + ROUTES, before=f'<!DOCTYPE l [<!ENTITY a0 "ha">{entities}]>\n'), "x.xml")


def test_durations_are_read_as_microseconds_and_sizes_as_bytes():
    assert [duration(text) for text in ("5us", "7ms", "2s", "3m", "1h")] == [
        5,
        7_000,
        2_000_000,
        180_000_000,
        3600_000_000,
    ]
    assert [size(text) for text in ("9", "3K", "2M")] == [9, 3072, 2 << 20]


def test_a_partner_is_found_by_its_certificate_name_or_its_network():
    inside = '<partner name="a" identity="desk.example"/><partner name="b" address="10.1.0.0/16"/>' + ROUTES
    directory = PeerDirectory(processor_settings(parse(file(inside), "x.xml")).peers)
    assert directory.find("9.9.9.9", ("other", "desk.example")).name == "a"
    assert directory.find("10.1.2.3", ()).name == "b"
    assert directory.find("10.2.2.3", ("else",)) is None


# ---- the command line --------------------------------------------------------------------------------


@pytest.fixture
def settings_arguments(tmp_path):
    settings, config = tmp_path / "s.xml", tmp_path / "c.json"
    settings.write_bytes(
        file(
            PARTNER
            + (
                '<routes><![CDATA[\nroute a { when path starts "/a" method "look" }\n'
                'route b { when path starts "/b" and verb is "POST" method "book" }\n]]></routes>'
            )
        )
    )
    config.write_bytes((ROOT / "examples" / "config.json").read_bytes())
    return ["--settings", str(settings), "--config", str(config)], settings, config


def run_command(*arguments: str) -> tuple[int, str]:
    found = CliRunner().invoke(app, list(arguments))
    return found.exit_code, found.output


def test_explain_prints_the_matching_route_and_exits_1_without_one(settings_arguments):
    code, output = run_command(
        "route", "explain", *settings_arguments[0], "/b/1", "--verb", "POST", "-H", "x-a: 1"
    )
    assert code == 0
    assert "takes it  b" in output
    assert "method book" in output
    assert "passes    a" in output
    code, output = run_command("route", "explain", *settings_arguments[0], "/c", "--json")
    assert code == 1
    assert json.loads(output)["rpc"] is None


def test_checks_exit_with_2_and_the_location_of_the_fault(settings_arguments):
    arguments, settings, _ = settings_arguments
    assert run_command("route", "check", *arguments) == (0, "2 routes, no fault\n")
    assert run_command("settings", "check", *arguments)[0] == 0
    settings.write_bytes(settings.read_bytes().replace(b'"book"', b'"pay"'))
    code, output = run_command("route", "check", *arguments)
    assert code == 2
    assert "s.xml:5:59: no method is named 'pay'" in output
    assert run_command("settings", "check", *arguments)[0] == 2
    settings.write_bytes(b"<x/>")
    assert run_command("settings", "check", "--settings", str(settings))[0] == 2


def test_show_prints_the_settings_and_schema_the_namespace(settings_arguments):
    code, output = run_command("settings", "show", "--settings", str(settings_arguments[1]), "--json")
    assert code == 0
    assert json.loads(output)["tickets.use_within"] == 100_000
    assert "desk" in run_command("settings", "show", "--settings", str(settings_arguments[1]))[1]
    assert "urn:linenbridge:premises:1" in run_command("settings", "schema")[1]


def test_a_start_without_arguments_does_not_import_the_command_line():
    """Modules that only other commands need would delay the start of the gateway."""
    environ = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    found = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "linenbridge"],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        text=True,
    )
    names = {line.rpartition("|")[2].strip() for line in found.stderr.splitlines()}
    loaded = {name.partition(".")[0] for name in names}
    assert found.returncode == 2
    assert "twisted" in loaded
    assert not loaded & {
        "typer",
        "click",
        "rich",
        "lxml",
        "lark",
        "h2",
        "google",
        "apsw",
        "structlog",
        "cryptography",
    }
    # Twisted would import OpenSSL, which takes 8 MB of memory; `__main__` prevents that.
    assert "OpenSSL.crypto" not in names


def test_a_processor_starts_serves_reloads_and_stops(settings_arguments, tmp_path):
    arguments, settings, _ = settings_arguments
    missing = subprocess.run(
        [sys.executable, "-m", "linenbridge", "processor", "--settings", "none.xml", *arguments[2:]],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert missing.returncode == 2
    assert "none.xml" in missing.stderr
    port = b"127.0.0.1:%d" % free_port()
    settings.write_bytes(settings.read_bytes().replace(b"127.0.0.1:9001", port))
    process = subprocess.Popen(
        [sys.executable, "-m", "linenbridge", "processor", *arguments],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    lines = []
    for line in process.stderr:
        lines.append(json.loads(line))
        if lines[-1]["event"] == "started":
            process.send_signal(signal.SIGHUP)
        if lines[-1]["event"] == "reloaded":
            time.sleep(0.05)
            process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    events = [line["event"] for line in lines]
    assert events[-1] == "stopped"
    assert "processor.listening" in events
    assert "failed" not in events
