"""Converts the commands and options of the command line, and the results of calls, to plain values.

`record_command_line.py` uses this module with commit 4d24a08, `test_command_line.py` with the present code.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:9001">
    <tls certificate="c.pem" key="k.pem"/>
    <bounds streams="7" message="2M" headers="9K" backlog="3M"
      first-word="4s" unread="5s" idle="6s" connections="8"/>
    <tickets use-within="20ms" open="9" remember="11m" ids="12"/>
    <store file="h.db" outlives="power"/>
    <answer endpoint="x-to" pushed-back="429" aborted="504"/>
    <partner name="desk" address="127.0.0.1"/>
    <partner name="ours" identity="desk.example" ours="true" attempts="4" fail-open="false"/>
    <routes><![CDATA[
route a { when path starts "/a" method "look" }
route b { when path starts "/b" and verb is "POST" method "book" }
]]></routes>
  </processor>
  <distribution role="gateway" name="g-1" region="eu" store="view.db">
    <region name="eu"><relay name="eu-1" address="127.0.0.1:7301"/>
      <publisher name="p1" address="127.0.0.1:7311"/></region>
  </distribution>
  <log level="debug"/>
</linenbridge>
"""
WITHOUT_DISTRIBUTION = SETTINGS[: SETTINGS.index("  <distribution")] + "</linenbridge>"
WRONG_METHOD = SETTINGS.replace('"book"', '"pay"')
WRONG_FORM = SETTINGS.replace("<tickets ", "<tickets wrong='1' ")
FLEET_ALONE = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <fleet member="g1" listen="127.0.0.1:7101"><member name="g2" address="127.0.0.1:7102"/></fleet>
</linenbridge>
"""
FILES = {
    "settings.xml": SETTINGS,
    "processor.xml": WITHOUT_DISTRIBUTION,
    "method.xml": WRONG_METHOD,
    "form.xml": WRONG_FORM,
    "fleet.xml": FLEET_ALONE,
    "empty.xml": '<linenbridge xmlns="urn:linenbridge:premises:1"/>',
    "value.json": "[]",
    "cut.json": "{",
}
S, C = ("--settings", "settings.xml"), ("--config", "config.json")
CALLS: tuple[tuple[str, ...], ...] = (
    (),
    ("--help",),
    ("nothing",),
    ("serve",),
    ("serve", "--settings", "none.xml"),
    ("serve", "--settings", "empty.xml"),
    ("serve", "--settings", "fleet.xml"),
    ("serve", "--settings", "processor.xml"),
    ("serve", *S, "--config", "none.json"),
    ("processor", *S),
    ("processor", "--settings", "none.xml", *C),
    ("processor", "--settings", "empty.xml", *C),
    ("processor", *S, "--config", "cut.json"),
    ("route",),
    ("route", "check", *S, *C),
    ("route", "check", "--settings", "method.xml", *C),
    ("route", "check", "--settings", "empty.xml", *C),
    ("route", "check", *S, "--config", "none.json"),
    ("route", "explain", *S, *C, "/b/1", "--verb", "POST", "-H", "x-a: 1", "-A", "k=v"),
    ("route", "explain", *S, *C, "/b/1", "-X", "POST", "--authority", "here", "--json"),
    ("route", "explain", *S, *C, "/c"),
    ("route", "explain", *S, *C, "/c", "--json"),
    ("route", "explain", *S, *C),
    ("settings",),
    ("settings", "check", *S),
    ("settings", "check", "-s", "settings.xml", "-c", "config.json"),
    ("settings", "check", "--settings", "form.xml"),
    ("settings", "check", "--settings", "none.xml"),
    ("settings", "check", "--settings", "method.xml", *C),
    ("settings", "show", *S, "--json"),
    ("settings", "show", "--settings", "empty.xml", "--json"),
    ("settings", "show", "--settings", "form.xml"),
    ("settings", "schema", "--wrong"),
    ("drill",),
    ("drill", "processor", "--wrong"),
    ("drill", "processor", "--seed", "x"),
    ("drill", "transport", "--seconds", "x"),
    ("drill", "nothing"),
    ("publish",),
    ("publish", *S, "--kind", "routes"),
    ("publish", "--settings", "empty.xml", "--kind", "routes", "--name", "a", "--delete"),
    ("publish", *S, "--kind", "nothing", "--name", "a", "--delete"),
    ("publish", *S, "--kind", "tenant", "--name", "a"),
    ("publish", *S, "--kind", "tenant", "--name", "a", "--value", "value.json"),
    ("publish", *S, "--kind", "tenant", "--name", "a", "--value", "none.json"),
    ("publish", *S, "--kind", "tenant", "--name", "a", "--delete", "--region", "us"),
    ("publish", *S, "--kind", "tenant", "--name", "a", "--delete", "--accepted-within", "x"),
    ("logs",),
    ("logs", "none"),
    ("logs", "logs", "--every", "0"),
    ("logs", "logs", "--json"),
    ("logs", "logs", "--json", "--every", "2.5", "--most", "1"),
    ("sim", "--wrong"),
    ("try", "--wrong"),
)
EXACT = (
    {"settings", "show", "--json"},
    {"route", "explain", "--json"},
)  # arguments of calls whose output is read by programs
LOG = (
    '{"at": 100.0, "event": "started"}\n{"at": 101.0, "event": "listening", "port": 7000}\n'
    '{"at": 109.0, "event": "counters", "counts": {"accepted.look": 5}}\nno line\n'
)


def options(command: Any, path: str = "") -> Iterator[tuple[str, list[dict[str, Any]]]]:
    """Yield the path of each command with its parameters."""
    rows = [
        {
            "kind": param.param_type_name,
            "names": [*param.opts, *param.secondary_opts] if param.param_type_name == "option" else [],
            "type": getattr(
                param.type_descriptor.annotation, "__name__", str(param.type_descriptor.annotation)
            ),
            "required": param.required,
            "default": param.default if isinstance(param.default, bool | int | float | str) else None,
            "environment": param.envvar,
            "repeatable": param.multiple if hasattr(param, "multiple") else False,
            "flag": bool(getattr(param, "is_flag", False)),
            "values": param.nargs,
        }
        for param in command.params
    ]
    yield path, rows
    for name, inner in sorted(getattr(command, "commands", {}).items()):
        yield from options(inner, f"{path} {name}".strip())


def call(app: Any, arguments: tuple[str, ...]) -> dict[str, Any]:
    """Return the exit code of a call, and its output or the keys of its output if programs read its JSON."""
    result = CliRunner().invoke(app, list(arguments))
    found: dict[str, Any] = {"code": result.exit_code}
    if any(exact <= set(arguments) for exact in EXACT):
        found["output"] = json.loads(result.stdout) if result.stdout else None
    elif arguments[:1] == ("logs",) and "--json" in arguments:
        found["keys"] = sorted(json.loads(result.stdout))
    return found


def lay_out(folder: Path, config: Path) -> None:
    """Write the files that the calls refer to into `folder`."""
    for name, text in FILES.items():
        (folder / name).write_text(text)
    shutil.copy(config, folder / "config.json")
    (folder / "logs").mkdir()
    (folder / "logs" / "n0.log").write_text(LOG)
