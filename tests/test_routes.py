"""Routes: errors are reported with their position, and a table gives what the rules of its text say."""

from __future__ import annotations

import pytest

from linenbridge.routes.checks import check, conjunctions_of, covers, is_satisfied_by, is_satisfiable
from linenbridge.routes.language import All, Any, Not, Place, RouteError, Predicate, parse
from linenbridge.routes.regexes import reason_to_reject
from linenbridge.routes.table import RoutesError, Request, Table, table
from tests.helpers import MS, startup
from tests.peer_script import seeded_random

METHODS = startup().methods
MAX_DEADLINE = 5_000 * MS


def compiled_table(text: str) -> Table:
    return table(text, METHODS, MAX_DEADLINE)


def errors_of(text: str) -> list[str]:
    with pytest.raises(RoutesError) as found:
        compiled_table(text)
    return str(found.value).split("\n")


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('route a { when path is "/x" method "look"', (1, 42)),
        ('route a {\n  when path like "/x" }', (2, 13)),
        ('route a { when path is "/x\n" method "look" }', (1, 24)),
        ('route a { when segment(1) is "x" }', (1, 16)),
        ('route a { when always method "look" method "look" }', (1, 44)),
        ('route a { when always method "look" soft 3 }', (1, 42)),
        ('route a { when always method "look" key segment(0) }', (1, 49)),
        ("route A { when always }", (1, 7)),
    ],
)
def test_a_syntax_error_is_reported_with_its_position(text, place):
    with pytest.raises(RouteError) as found:
        parse(text)
    assert (found.value.place.line, found.value.place.column) == place


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ('route a { when always method "pay" }', "1:30", "no method is named 'pay'"),
        ("route a { when always }", "1:7", "names no method"),
        ('route a { when path is "/a" and path starts "/b" method "look" }', "1:7", "contradicts itself"),
        (
            'route a { when has header("x") and not has header("x") method "look" }',
            "1:7",
            "contradicts itself",
        ),
        ('route a { when verb is "FETCH" method "look" }', "1:24", "no request has the verb"),
        ('route a { when path is "x" method "look" }', "1:24", "no request has the path"),
        ('route a { when path matches "(a+)+$" method "look" }', "1:29", "repeat within a repeat"),
        ('route a { when always method "look" over b }', "1:7", "no other route"),
        (
            'route a { when path starts "/a" method "look" }\nroute b { when path starts "/a/b" method "look" }',
            "2:7",
            "route b can never match: all its requests match a before it",
        ),
        (
            'route a { when path is "/a" method "look" }\nroute b { when path is "/b" method "look" }\n'
            'route c { when path in ("/a", "/b") method "charge" }',
            "3:7",
            "can never match",
        ),
        (
            'route a { when has header("x") method "look" }\nroute b { when verb is "POST" method "charge" }',
            "2:7",
            "can both match",
        ),
        (
            'route a { when always method "look" }\nroute a { when always method "look" }',
            "2:7",
            "two routes named a",
        ),
    ],
)
def test_an_invalid_rule_is_reported_with_its_position_and_the_reason(text, line, message):
    assert any(one.startswith(line + ":") and message in one for one in errors_of(text)), errors_of(text)


def test_a_special_case_before_the_general_rule_and_an_over_clause_are_no_conflict():
    compiled_table(
        'route a { when path starts "/a/b" method "charge" }\nroute b { when path starts "/a" method "look" }'
    )
    compiled_table(
        'route a { when has header("x") method "look" over b }\nroute b { when verb is "POST" method "charge" }'
    )


@pytest.mark.parametrize(
    "pattern",
    [
        "(a+)+",
        "(a*)*b",
        "(a|a)*",
        "(aa|a?)*c",
        "(.*)*",
        "a*a*a*b",
        "(?:x+x+)+y",
        "(a?)*",
        r"(\d+\w*)*",
        "([a-z]+)*$",
        "a{2000}",
        "(a",
        "x" * 600,
        r"(a)\1",
        ".*.*.*x",
    ],
)
def test_expressions_that_can_backtrack_excessively_or_are_invalid_are_rejected(pattern):
    assert reason_to_reject(pattern) is not None


@pytest.mark.parametrize(
    "pattern",
    [
        "^/v[0-9]+/quote",
        "a+b+c+",
        "(foo|bar)*x",
        r"^\d{4}-\d{2}$",
        "[a-z]*[0-9]*$",
        "(ab)+c",
        ".*x.*",
        "a|b|c",
        "^x?y?z?",
    ],
)
def test_expressions_with_bounded_backtracking_are_accepted(pattern):
    assert reason_to_reject(pattern) is None


def test_a_matched_request_has_the_method_tenant_key_and_times_of_its_rule():
    routes = compiled_table(
        'route a { when path starts "/charge/" method "charge" tenant header("x-tenant") else query("t") else "none"\n'
        '          key segment(2) soft 300ms deadline header("grpc-timeout") grpc else 2s cost query("w") us else 7ms }'
    )
    found = routes.find(Request(path="/charge/k1?t=acme&w=12", headers={"grpc-timeout": "800m"}))
    assert (found.method, found.tenant, found.key) == ("charge", "acme", "k1")
    assert (found.latency_objective, found.deadline, found.cost) == (300 * MS, 800 * MS, 12)
    bare = routes.find(Request(path="/charge/", headers={"grpc-timeout": "99999999999H"}))
    assert (bare.tenant, bare.key, bare.deadline, bare.cost) == ("none", None, 2_000 * MS, 7 * MS)
    assert routes.find(Request(path="/charge/x", headers={"grpc-timeout": "9H"})).deadline == MAX_DEADLINE
    assert routes.find(Request(path="/else")) is None


def test_an_explanation_ends_with_the_rule_that_matches():
    routes = compiled_table(
        'route a { when path starts "/a" and verb is "POST" method "charge" }\nroute b { when always method "look" }'
    )
    steps = routes.explain(Request(path="/a/1"))
    assert [(step.rule, step.matched) for step in steps] == [("a", False), ("b", True)]
    assert steps[0].answers == (('path starts "/a"', "/a/1", True), ('verb is "POST"', "GET", False))


# ---- comparison with direct evaluation, on random conditions -----------------------------------------

OPERANDS = ("/a", "/a/b", "/b", "/a/b/c", "/", "")


def _condition(seeded, depth: int = 0):
    if depth < 3 and seeded.random() < 0.5:
        parts = tuple(_condition(seeded, depth + 1) for _ in range(seeded.randint(1, 3)))
        return Not(parts[0]) if seeded.random() < 0.3 else seeded.choice((All, Any))(parts)
    from linenbridge.routes.language import Subject

    subject = seeded.choice((Subject("path"), Subject("header", "x")))
    operator = seeded.choice(("is", "starts", "ends", "contains", "in", "has"))
    if operator == "has":
        return Predicate(subject, "has")
    count = seeded.randint(1, 3) if operator == "in" else 1
    return Predicate(subject, operator, tuple(seeded.choice(OPERANDS) for _ in range(count)))


def _evaluate(condition, request: Request) -> bool:
    match condition:
        case Predicate():
            return is_satisfied_by(condition, request.value(condition.subject))
        case Not(part):
            return not _evaluate(part, request)
        case All(parts):
            return all(_evaluate(part, request) for part in parts)
        case Any(parts):
            return any(_evaluate(part, request) for part in parts)


REQUESTS = [
    Request(path=path, headers=headers)
    for path in ("/", "/a", "/a/b", "/a/b/c", "/b", "/b/a", "/c")
    for headers in ({}, {"x": "/a"}, {"x": ""}, {"x": "/b/c"}, {"x": "/a/b"})
]


def test_conjunctions_of_covers_and_is_satisfiable_agree_with_direct_evaluation():
    """Unsatisfiable conjunctions match no request, and a covering one matches all that the covered one does."""
    place, covered_count = Place(1, 1), 0
    for seed in range(400):
        seeded = seeded_random(seed)
        one, two = _condition(seeded), _condition(seeded)
        try:
            ones, twos = conjunctions_of(one, place), conjunctions_of(two, place)
        except RouteError:
            continue
        for request in REQUESTS:

            def agrees(conjunction, request=request):
                return all(
                    is_satisfied_by(literal.predicate, request.value(literal.predicate.subject))
                    == literal.expected
                    for literal in conjunction
                )

            assert any(agrees(c) for c in ones) == _evaluate(one, request)
            for c in ones:
                assert is_satisfiable(c) or not agrees(c)
                for d in twos:
                    if covers(d, c) and is_satisfiable(c):
                        covered_count += 1
                        assert not agrees(c) or agrees(d)
                    assert is_satisfiable((*c, *d)) or not (agrees(c) and agrees(d))
    assert covered_count > 1_000


def test_the_segment_index_finds_the_same_rule_as_a_scan_of_all_rules():
    """Tables with random conditions, compared by the first rule that matches each request."""
    for seed in range(60):
        seeded = seeded_random(seed)
        rules = parse("".join(f'route r{n} {{ when always method "look" }}' for n in range(6)))
        for rule in rules:
            rule.when = _condition(seeded)
        try:
            made_table = Table(rules, METHODS, MAX_DEADLINE)
        except RouteError:
            continue
        for request in REQUESTS:
            first = next((rule.name for rule in rules if _evaluate(rule.when, request)), None)
            found = made_table.find(request)
            assert (found.rule if found else None) == first


def test_a_condition_that_expands_to_too_many_conjunctions_is_rejected():
    parts = " and ".join(f'(path is "/a{n}" or path is "/b{n}")' for n in range(20))
    assert any(
        "more than 256 alternatives" in str(error)
        for error in check(parse(f'route a {{ when {parts} method "look" }}'), ["look"])
    )
