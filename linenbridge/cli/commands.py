"""The command line's commands, on `typer`.

Owns the words that people type and read, and exit codes: 0 done, 1 a check or a drill found something, 2 what
was given cannot be used. It must never do a command's work itself: that lies in the package it names.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table as Grid

from linenbridge.configuration.read import Configuration, ConfigurationError, read, schema_text
from linenbridge.processor.responses import ResponseFormat
from linenbridge.processor.configuration import processor_settings, routes
from linenbridge.routes.table import Request

FOUND, UNUSABLE = 1, 2
SHOWN_LIMITS = {  # names of the settings, as `settings show` prints them, and of the attributes
    "streams": "max_streams",
    "message": "max_message_bytes",
    "headers": "max_header_bytes",
    "backlog": "max_unsent_bytes",
    "first_word": "first_message_timeout",
    "unread": "unsent_timeout",
    "idle": "idle_timeout",
}
SHOWN_TERMS = {
    "use_within": "use_within",
    "retry_within": "retry_within",
    "remember": "remember_for",
    "open_most": "max_open",
    "remember_most": "max_remembered",
}

app = typer.Typer(
    name="linenbridge", no_args_is_help=True, add_completion=True, rich_markup_mode=None,
    help="Routes RPCs while a new build is rolled out, and votes on it from its own traffic.\n\n"
    "Without a command, `python -m linenbridge` is the platform's gateway and reads LB_CONFIG.",
)  # fmt: skip
route = typer.Typer(no_args_is_help=True, help="Look at the routes: which RPC a request at a proxy is.")
settings = typer.Typer(no_args_is_help=True, help="Look at the settings file (XML).")
drill = typer.Typer(no_args_is_help=True, help="Play days with faults against stand-ins on loopback.")
app.add_typer(route, name="route")
app.add_typer(settings, name="settings")
app.add_typer(drill, name="drill")

SettingsFile = Annotated[
    Path, typer.Option("--settings", "-s", help="Settings of our own, in XML.", envvar="LB_SETTINGS")
]
ConfigFile = Annotated[
    Path, typer.Option("--config", "-c", help="The platform's configuration, in JSON.", envvar="LB_CONFIG")
]
OptionalConfigFile = Annotated[
    Path | None, typer.Option("--config", "-c", help="The platform's configuration.", envvar="LB_CONFIG")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def _refuse(error: Exception) -> typer.Exit:
    print(f"linenbridge: {error}", file=sys.stderr)
    return typer.Exit(UNUSABLE)


def _loaded(config: Path):  # noqa: ANN202  (its module is imported where used)
    from linenbridge.process.configuration import load

    return load({**os.environ, "LB_CONFIG": str(config)})


def _run(settings_file: Path, config: Path | None, resp: bool) -> None:
    from linenbridge.processor.server import run as stand

    try:
        configuration = read(str(settings_file))
        if config is None:
            code = _witness(configuration)
        else:
            at = _loaded(config)
            os.environ["LB_CONFIG"] = str(config)  # A reload reads the same file.
            code = stand(configuration, at, resp)
    except (ConfigurationError, ValueError, OSError) as error:
        raise _refuse(error) from None
    raise typer.Exit(code)


def _witness(configuration: Configuration) -> int:
    """Settings with a fleet or a distribution alone need no configuration of the platform: a process that
    serves no RPCs."""
    from linenbridge.fleet.hosting.quorum_member import run as witness
    from linenbridge.fleet.configuration import fleet_settings

    if configuration.part("distribution") is not None:
        from linenbridge.distribution.hosting.server import run as distribute

        return distribute(configuration)
    told = fleet_settings(configuration)
    if told is None or configuration.part("processor") is not None:
        raise ConfigurationError(f"{configuration.path}: only a fleet alone runs without --config")
    return witness(configuration, told)


@app.command()
def serve(settings_file: SettingsFile, config: OptionalConfigFile = None) -> None:
    """Serve clients by RESP2 and proxies by external processing, from one process.

    With settings that hold a fleet alone, and no configuration: a member that serves no RPCs (a witness).
    """
    _run(settings_file, config, resp=True)


@app.command()
def processor(settings_file: SettingsFile, config: ConfigFile) -> None:
    """Serve proxies alone: they ask on a stream for each request where it goes.

    SIGTERM tells proxies to go elsewhere and ends once nothing is open; SIGHUP reads keys, discovery and
    platform anew; SIGUSR1 prints the counters.
    """
    _run(settings_file, config, resp=False)


@app.command()
def publish(
    settings_file: SettingsFile,
    kind: Annotated[str, typer.Option(help="routes, tenant, instance or zone.")],
    name: Annotated[str, typer.Option(help="The key: a service, tenant, service/instance, or zone.")],
    value: Annotated[
        Path | None,
        typer.Option(help="A file: routes as text, all else as a JSON object."),
    ] = None,
    delete: Annotated[bool, typer.Option("--delete", help="Delete the key.")] = False,
    region: Annotated[str, typer.Option(help="Which owns the key; without it, the settings' own.")] = "",
    accepted_within: Annotated[float, typer.Option(help="Seconds to wait until it is accepted.")] = 30.0,
    in_force_within: Annotated[float, typer.Option(help="Seconds more until it is in force.")] = 10.0,
    as_json: AsJson = False,
) -> None:
    """Publish one change: prints when it is accepted and when it is in force, and who is not reached.

    Exit codes: 0 in force everywhere, 1 accepted but not known to be in force everywhere, 2 refused or not
    published, 3 unknown: it may be accepted later.
    """
    from linenbridge.cli.publish import Wanted, publish as ask

    wanted = Wanted(kind, name, value, delete, region, accepted_within, in_force_within)
    try:
        code = ask(read(str(settings_file)), wanted, as_json)
    except (ConfigurationError, ValueError, OSError) as error:
        raise _refuse(error) from None
    raise typer.Exit(code)


@app.command()
def sim() -> None:
    """The decision module on the bench's wire, on standard input and output."""
    from linenbridge.simulator.adapter import serve as bench

    raise typer.Exit(bench(sys.stdin.buffer, sys.stdout.buffer) or 0)


# ---- routes ------------------------------------------------------------------------------------------


def _table(settings_file: Path, config: Path):  # noqa: ANN202
    from linenbridge.startup import micros, startup

    try:
        at, configuration = _loaded(config), read(str(settings_file))
        if (told := processor_settings(configuration)) is None:
            raise ConfigurationError(f"{settings_file}: it has no processor, and so no routes")
        longest = micros(max(profile.give_up for profile in at.settings.profiles))
        return routes(told, list(startup(at.settings).methods), longest)
    except (ConfigurationError, ValueError, OSError) as error:
        raise _refuse(error) from None


@route.command("check")
def route_check(settings_file: SettingsFile, config: ConfigFile) -> None:
    """Hold the routes against each other and against the methods: exit 2 names each place that is wrong."""
    table = _table(settings_file, config)
    print(f"{len(table.rules)} routes, no fault")


@route.command("explain")
def route_explain(
    settings_file: SettingsFile,
    config: ConfigFile,
    path: Annotated[str, typer.Argument(help="The request's path, with its query if it has one.")],
    verb: Annotated[str, typer.Option("--verb", "-X", help="GET, POST and so on.")] = "GET",
    authority: Annotated[str, typer.Option(help="The host that is asked.")] = "",
    header: Annotated[
        list[str] | None, typer.Option("--header", "-H", help="`name: value`, repeatable.")
    ] = None,
    attribute: Annotated[list[str] | None, typer.Option("--attribute", "-A", help="`name=value`.")] = None,
    as_json: AsJson = False,
) -> None:
    """Say which route takes a request and why: exit 1 where none does."""
    table = _table(settings_file, config)
    headers = {n.strip().lower(): v.strip() for n, _, v in (one.partition(":") for one in header or [])}
    attributes = {n: v for n, _, v in (one.partition("=") for one in attribute or [])}
    request = Request(authority, path, verb, "http", headers, attributes)
    asked, steps = table.find(request), table.explain(request)
    if as_json:
        found = msgspec.to_builtins(asked)
        rows = [{"route": s.rule, "took": s.took, "answers": [list(a) for a in s.answers]} for s in steps]
        print(json.dumps({"rpc": found, "routes": rows}))
    else:
        for step in steps:
            print(f"{'takes it' if step.took else 'passes  '}  {step.rule}")
            for question, value, answer in step.answers:
                print(f"            {'yes' if answer else 'no '}  {question}   (it is {value!r})")
        if asked is not None:
            times = (
                f"soft deadline {asked.latency_objective / 1000:g} ms, deadline {asked.deadline / 1000:g} ms"
            )
            print(
                f"method {asked.method}, tenant {asked.tenant!r}, key {asked.key!r}, {times}, "
                f"cost {asked.cost}"
            )
    if asked is None:
        if not as_json:
            print("no route takes it")
        raise typer.Exit(FOUND)


# ---- settings ----------------------------------------------------------------------------------------


@settings.command("check")
def settings_check(
    settings_file: SettingsFile,
    config: Annotated[
        Path | None,
        typer.Option("--config", "-c", help="Check the routes' methods against it.", envvar="LB_CONFIG"),
    ] = None,
) -> None:
    """Check the file by its schema and its parts, and its routes where a configuration is given."""
    from linenbridge.distribution.configuration import distribution

    try:
        configuration = read(str(settings_file))
        told = processor_settings(configuration)
        distribution(configuration)
    except ConfigurationError as error:
        raise _refuse(error) from None
    if config is not None and told is not None:
        _table(settings_file, config)
    print(f"{settings_file}: no fault")


@settings.command("show")
def settings_show(settings_file: SettingsFile, as_json: AsJson = False) -> None:
    """Show what the file comes to, defaults and all."""
    try:
        rows = shown(read(str(settings_file)))
    except ConfigurationError as error:
        raise _refuse(error) from None
    if as_json:
        print(json.dumps(rows))
        return
    grid = Grid("what", "value")
    for name, value in rows.items():
        grid.add_row(name, str(value))
    Console().print(grid)


def shown(configuration: Configuration) -> dict[str, object]:
    """The settings in force, by dotted names; times in microseconds."""
    rows: dict[str, object] = {"log.level": configuration.log_level, **_distribution_rows(configuration)}
    if (told := processor_settings(configuration)) is None:
        return rows
    rows |= {
        "listen": f"{told.host}:{told.port}",
        "unrouted": "pass" if told.pass_unrouted else "refuse",
    }
    rows["tls"] = None if told.tls is None else told.tls.certificate
    rows["bounds.connections"] = told.connections
    rows |= {f"bounds.{name}": getattr(told.limits, attribute) for name, attribute in SHOWN_LIMITS.items()}
    rows |= {f"tickets.{name}": getattr(told.terms, attribute) for name, attribute in SHOWN_TERMS.items()}
    rows["store"] = None if told.store is None else " ".join(told.store)
    rows |= {f"answer.{name}": getattr(told.response_format, name) for name in ResponseFormat.__slots__}
    for known in told.peers:
        peer, by = known.peer, known.identity or str(known.network)
        said = f"{by}, {peer.attempts} attempts, fail {'open' if peer.fail_open else 'closed'}"
        rows[f"partner.{peer.name}"] = said + (", ours" if peer.is_own else "")
    return rows


def _distribution_rows(configuration: Configuration) -> dict[str, object]:
    """The element `distribution`, where there is one: rates in bytes a second."""
    from linenbridge.distribution.configuration import distribution

    told = distribution(configuration)
    if told is None:
        return {}
    rows: dict[str, object] = {
        f"distribution.{name}": getattr(told, name) for name in told.__slots__ if name != "regions"
    }
    for name, region in told.regions.items():
        rows[f"distribution.region.{name}.relays"] = " ".join(region.relays)
        rows[f"distribution.region.{name}.publishers"] = " ".join(region.publishers)
    return rows


@settings.command("schema")
def settings_schema() -> None:
    """Print the schema (XSD), for editors and other checkers."""
    sys.stdout.write(schema_text().decode())


# ---- drills ------------------------------------------------------------------------------------------


@drill.command("processor")
def drill_processor(
    quick: Annotated[bool, typer.Option("--quick", help="Under forty seconds.")] = False,
    seed: Annotated[int, typer.Option(help="Of the day that is played.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Stand-in nodes, platform, discovery and proxy before a processor, with and without faults.

    Prints decisions, the rules, and the added latency beside an empty processor. Exit 1: a rule broke.
    """
    from linenbridge.faults.processor import play

    report = play(seed, quick)
    print(json.dumps(report.as_dict()) if as_json else report.as_text())
    if report.broken():
        raise typer.Exit(FOUND)


@drill.command("transport")
def drill_transport(
    seconds: Annotated[float, typer.Option(help="For how long each transport is asked.")] = 3.0,
    as_json: AsJson = False,
) -> None:
    """The same dialogue against an empty processor on each transport: what each costs for a stream."""
    from linenbridge.faults.transport import weigh

    rows = weigh(seconds)
    if as_json:
        print(json.dumps([vars(row) for row in rows]))
        return
    grid = Grid("transport", "streams", "streams a core second", "p50 ms", "start s", "memory MB")
    for row in rows:
        grid.add_row(
            row.name, str(row.streams), f"{row.streams_per_core_s:.0f}", f"{row.p50_ms:.2f}",
            f"{row.start_s:.2f}", f"{row.memory_mb:.1f}",
        )  # fmt: skip
    Console().print(grid)


@app.command()
def logs(
    folder: Annotated[Path, typer.Argument(help="A folder with one gateway's log in each file.")],
    every: Annotated[float, typer.Option(help="Seconds in each stretch of the table.")] = 5.0,
    most: Annotated[int, typer.Option(help="Rows to show.")] = 40,
    as_json: AsJson = False,
) -> None:
    """Add up a whole fleet's logs: lines of each kind by stretch of time, and all counters."""
    from linenbridge.cli.logs import add_up

    try:
        sums = add_up(folder, every)
    except (OSError, ValueError) as error:
        raise _refuse(error) from None
    rows, counters = sums.rows()[:most], dict(sorted(sums.counters.items()))
    if as_json:
        table = [{"kind": n, "lines": c, "gateways": g, "by": by} for n, c, g, by in rows]
        print(json.dumps({"every": every, "unread": sums.unread, "rows": table, "counters": counters}))
        return
    grid = Grid("kind", "lines", "gateways", f"lines by {every:g} s")
    for name, count, gateways, by in rows:
        grid.add_row(name, str(count), str(gateways), " ".join(f"{s}:{n}" for s, n in by.items()))
    Console().print(grid)
    for name, count in counters.items():
        print(f"{name} {count}")
    if sums.unread:
        print(f"{sums.unread} lines were no gateway's", file=sys.stderr)


@app.command("try")
def try_out() -> None:
    """Start a gateway before stand-ins on loopback, send some requests and show what comes back."""
    from linenbridge.faults.demo import show

    raise typer.Exit(show())


def run() -> int:
    """The command line as a program; the exit code is returned."""
    try:
        app(prog_name="linenbridge", standalone_mode=True)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
