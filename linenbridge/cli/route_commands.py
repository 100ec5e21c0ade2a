"""`linenbridge route`: check the routes, and find the route that matches a request."""

from __future__ import annotations

import json
from typing import Annotated

import msgspec
import typer

from linenbridge.cli.options import CHECK_FAILED, AsJson, ConfigFile, SettingsFile, load_routes
from linenbridge.routes.table import MatchedRequest, Request, Step

app = typer.Typer(
    no_args_is_help=True, help="Check the routes, and find the one that matches a request of a proxy."
)


@app.command("check")
def check(settings_file: SettingsFile, config: ConfigFile) -> None:
    """Check the routes against each other and against the methods.

    Prints the line and column of each fault. Exit code 2 if there is one.
    """
    table = load_routes(settings_file, config)
    print(f"{len(table.rules)} routes, no fault")


@app.command("explain")
def explain(
    settings_file: SettingsFile,
    config: ConfigFile,
    path: Annotated[str, typer.Argument(help="The request's path, with its query if it has one.")],
    verb: Annotated[str, typer.Option("--verb", "-X", help="GET, POST and so on.")] = "GET",
    authority: Annotated[str, typer.Option(help="The host of the request (`:authority`).")] = "",
    header: Annotated[
        list[str] | None, typer.Option("--header", "-H", help="`name: value`, repeatable.")
    ] = None,
    attribute: Annotated[
        list[str] | None, typer.Option("--attribute", "-A", help="`name=value`, repeatable.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Print which route matches a request, and why. Exit code 1 if no route matches."""
    table = load_routes(settings_file, config)
    headers = {name.strip().lower(): value.strip() for name, value in _pairs(header, ":")}
    request = Request(authority, path, verb, "http", headers, dict(_pairs(attribute, "=")))
    match = table.find(request)
    steps = list(table.explain(request))
    if as_json:
        _print_json(match, steps)
    else:
        _print_text(match, steps)
    if match is None:
        raise typer.Exit(CHECK_FAILED)


def _pairs(texts: list[str] | None, separator: str) -> list[tuple[str, str]]:
    parts = (text.partition(separator) for text in texts or [])
    return [(name, value) for name, _, value in parts]


def _print_json(match: MatchedRequest | None, steps: list[Step]) -> None:
    rows = [
        {"route": step.rule, "took": step.matched, "answers": [list(answer) for answer in step.answers]}
        for step in steps
    ]
    print(json.dumps({"rpc": msgspec.to_builtins(match), "routes": rows}))


def _print_text(match: MatchedRequest | None, steps: list[Step]) -> None:
    for step in steps:
        print(f"{'takes it' if step.matched else 'passes  '}  {step.rule}")
        for question, value, answer in step.answers:
            print(f"            {'yes' if answer else 'no '}  {question}   (it is {value!r})")
    if match is None:
        print("no route takes it")
        return
    objective, deadline = f"{match.latency_objective / 1000:g}", f"{match.deadline / 1000:g}"
    print(
        f"method {match.method}, tenant {match.tenant!r}, key {match.key!r}, "
        f"soft deadline {objective} ms, deadline {deadline} ms, cost {match.cost}"
    )
