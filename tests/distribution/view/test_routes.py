"""Packed routes give the same results as the table of the same text, and compiled sets are bounded."""

from __future__ import annotations

import gc
import random
import re
import weakref
from collections.abc import Callable, Iterable

import pytest

from linenbridge.distribution.changes import Kind
from linenbridge.distribution.view.results import ViewLimits
from linenbridge.distribution.view.rules import RULE_BYTES, PackedTable, pack_rules
from linenbridge.distribution.view.view import View
from linenbridge.routes import checks
from linenbridge.routes.checks import check
from linenbridge.routes.language import MAX_RULES, RouteError, Rule, parse, parse_by_rule
from linenbridge.routes.table import RoutesError, Request, table
from tests.distribution.view.helpers import MAX_DEADLINE, METHODS, method_of, new_view
from tests.distribution.view.model import batch, change, route_text

BY_NAME = {method.name: method for method in METHODS}
SUBJECTS = ("path", "verb", "authority", 'header("x-a")', 'query("q")', 'attribute("peer")')
OPERANDS = {"path": ("/a", "/a/b", "/b/", "/c/d/e"), "verb": ("GET", "POST"), "authority": ("shop", "pay")}
CLAUSES = (
    'tenant header("x-tenant") else segment(2) else "none"',
    "key segment(1)",
    "soft 250ms",
    'deadline header("grpc-timeout") grpc else 2s',
    "deadline 40ms",
    'cost query("cost") ms else 3ms',
)


def condition(seeded: random.Random, depth: int = 2) -> str:
    """Return a random condition."""
    form = seeded.randrange(8 if depth else 3)
    subject = seeded.choice(SUBJECTS)
    operands = OPERANDS.get(subject, ("1", "12", "x"))
    if form == 0:
        operator = seeded.choice(("starts", "ends", "contains", "is", "matches"))
        return f'{subject} {operator} "{seeded.choice(operands)}"'
    if form == 1:
        return f'{subject} in ("{operands[0]}", "{operands[1]}")'
    if form == 2:
        return 'has header("x-a")' if seeded.random() < 0.5 else 'path starts "/a/"'
    if form in (3, 4):
        return f"not ({condition(seeded, depth - 1)})"
    joint = " and " if form in (5, 6) else " or "
    return "(" + joint.join(condition(seeded, depth - 1) for _ in range(seeded.randrange(2, 4))) + ")"


def rules(seeded: random.Random) -> str:
    """Return a random set of rules, whose last one matches every request."""
    made = []
    for number in range(seeded.randrange(1, 12)):
        clauses = " ".join([*seeded.sample(CLAUSES[:3], seeded.randrange(3)), seeded.choice(CLAUSES[3:])])
        over = f" over r{number + 1}" if seeded.random() < 0.1 else ""
        made.append(f'route r{number} {{ when {condition(seeded)} method "look" {clauses}{over} }}')
    return "\n".join([*made, 'route r99 { when always method "look" }'])


def request(seeded: random.Random) -> Request:
    """Return a random request."""
    path = seeded.choice(("/a", "/a/b", "/a/b/c", "/b/x", "/c/d/e", "/")) + seeded.choice(("", "?q=1&cost=7"))
    headers = {name: seeded.choice(("1", "12", "x")) for name in ("x-a", "x-tenant") if seeded.random() < 0.5}
    if seeded.random() < 0.3:
        headers["grpc-timeout"] = "100m"
    attributes = {"peer": "12"} if seeded.random() < 0.5 else {}
    verb = seeded.choice(("GET", "POST"))
    return Request(seeded.choice(("shop", "pay")), path, verb, "http", headers, attributes)


@pytest.mark.parametrize("seed", range(60))
def test_a_packed_set_finds_and_explains_the_same_as_the_table_of_its_text(seed: int) -> None:
    seeded = random.Random(seed)
    while True:
        try:
            plain = table(rules(seeded), METHODS, MAX_DEADLINE)
            break
        except RoutesError:
            continue  # a rule can never match: draw another text

    packed = PackedTable(pack_rules(plain), BY_NAME, MAX_DEADLINE)

    for _ in range(30):
        sent = request(seeded)
        assert packed.find(sent) == plain.find(sent)
        assert packed.explain(sent) == plain.explain(sent)
    assert len(packed.rules) == len(plain.rules)
    assert [rule.name for rule in packed.rules] == [rule.name for rule in plain.rules]


@pytest.mark.parametrize("seed", range(40))
def test_skipping_pairs_of_rules_without_a_common_path_changes_no_error(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Compare the errors with those that `check` finds when it skips no pair of rules."""
    seeded = random.Random(1000 + seed)
    made = rules(seeded).replace('method "look"', "method METHOD")
    text = re.sub("METHOD", lambda _: seeded.choice(('"look"', '"charge"', '"pay"')), made)

    found = [str(error) for error in check(parse(text), BY_NAME)]
    monkeypatch.setattr(checks, "_share_no_path", lambda *_: False)
    expected = [str(error) for error in check(parse(text), BY_NAME)]

    assert found == expected


def outcome(read: Callable[[str], Iterable[Rule]], text: str) -> list[Rule] | str:
    """Return the rules of a text, or the text of its error."""
    try:
        return list(read(text))
    except RouteError as error:
        return str(error)


DAMAGES = ("}", '"', "#", "{", "x", "\n", 'route b { when path is "/}#" method "look" } # }', "")


@pytest.mark.parametrize("seed", range(40))
def test_parse_by_rule_gives_the_rules_and_errors_of_parse(seed: int) -> None:
    """Compare rules with their positions, and errors of texts that are damaged at a random position."""
    seeded = random.Random(2000 + seed)
    text = rules(seeded).replace("} route", "}route").replace("\nroute r3", " # not } \nroute r3")

    assert outcome(parse_by_rule, text) == outcome(parse, text)

    for _ in range(10):
        at = seeded.randrange(len(text))
        damaged = text[:at] + seeded.choice(DAMAGES) + text[at + seeded.randrange(3) :]
        assert outcome(parse_by_rule, damaged) == outcome(parse, damaged), damaged


def rules_by_path(count: int) -> str:
    """Return a text of rules, each of which matches another path."""
    return "\n".join(
        f'route r{number} {{ when path starts "/p{number}/" method "look" }}' for number in range(count)
    )


def test_a_change_is_validated_in_a_step_for_each_rule_and_not_at_all_if_the_view_has_it(
    view: View,
) -> None:
    one = change(Kind.ROUTES, "shop", rules_by_path(26).encode(), 1)

    steps = list(view.validation_steps(one))

    assert len(steps) == 27
    assert len(view.validator.ahead) == 1

    view.apply(batch(one))

    assert list(view.validation_steps(one)) == []
    assert not view.validator.ahead


def test_only_rules_that_a_request_can_match_are_read() -> None:
    packed = PackedTable(pack_rules(table(rules_by_path(50), METHODS, MAX_DEADLINE)), BY_NAME, MAX_DEADLINE)

    found = packed.find(Request("shop", "/p7/x"))

    assert found is not None
    assert found.rule == "r7"
    assert [rule is not None for rule in packed.rules.items].count(True) == 1


def test_a_table_without_references_is_freed_at_once() -> None:
    packed = PackedTable(pack_rules(table('route a { when always method "look" }', METHODS, 1)), BY_NAME, 1)
    assert packed.find(Request()) is not None
    known = weakref.ref(packed.rules)

    gc.disable()
    try:
        del packed
        assert known() is None
    finally:
        gc.enable()


def test_a_set_above_the_limit_of_rules_is_rejected_and_smaller_sets_are_accepted(view: View) -> None:
    rule = 'route r{0} {{ when path is "/{0}" method "look" }}'
    full = "\n".join(rule.format(number) for number in range(100))

    result = view.apply(
        batch(
            change(Kind.ROUTES, "shop", full.encode(), 1),
            change(Kind.ROUTES, "pay", full.encode(), 2),
            change(Kind.ROUTES, "many", b"route r { when always }" * (MAX_RULES + 1), 3),
        )
    )

    assert [(one.name, one.reason.partition(": ")[2]) for one in result.rejected] == [
        ("many", f"more than {MAX_RULES} routes")
    ]


def test_compiled_sets_are_bounded_in_memory_and_every_set_is_still_found() -> None:
    view = new_view(ViewLimits(max_compiled_bytes=50_000))
    names = [f"s{number}" for number in range(100)]
    view.apply(
        batch(*(change(Kind.ROUTES, name, route_text("look"), at + 1) for at, name in enumerate(names)))
    )

    for _ in range(3):
        for name in names:
            assert method_of(view, name) == "look"

    tables = view.route_table.compiled.values()
    assert 0 < len(tables) < 12
    assert view.route_table.cost == sum(one.cost for one in tables) <= 50_000 + RULE_BYTES
