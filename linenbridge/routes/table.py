"""The routing table: finds the RPC that a request belongs to.

A table is compiled once from checked rules and is immutable: each condition becomes one function, and rules
that require a first path segment are indexed by it, so that a look-up evaluates few rules. A look-up accepts
any request: a property that the request lacks has no value and satisfies no predicate.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from operator import attrgetter
from typing import Protocol
from urllib.parse import parse_qsl

import msgspec
from msgspec import Struct

from linenbridge.interface import Method
from linenbridge.routes.checks import check, conjunctions_of, is_satisfiable
from linenbridge.routes.language import (
    UNITS,
    All,
    Any,
    Condition,
    Not,
    Part,
    Predicate,
    RouteError,
    Rule,
    Subject,
    Timed,
    parse,
    predicates,
)

MAX_VALUE_LENGTH = 4096  # characters that a regular expression searches; a longer value does not match
MAX_NAME_LENGTH = 256  # characters of a tenant's or a key's name
MAX_TIME_DIGITS = 12  # digits of a duration in a request
PAIR = 2  # parts of the most frequent conjunction, which is compiled to a shorter function
SEGMENT_SLASHES = 2  # in a path prefix that contains the complete first segment
# The microseconds of each unit of a gRPC timeout.
GRPC_UNITS = {"n": 0.001, "u": 1, "m": 1_000, "S": 1_000_000, "M": 60_000_000, "H": 3_600_000_000}


@dataclass
class Request:
    """The properties of one request that a proxy reports; header names are in lower case."""

    authority: str = ""
    path: str = "/"
    verb: str = "GET"
    scheme: str = "http"
    headers: Mapping[str, str] = field(default_factory=dict)
    attributes: Mapping[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.plain = self.path.partition("?")[0]  # the path without its query
        self.segments = self.plain.split("/")[1:]

    @cached_property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query; of several with the same name, the first."""
        found: dict[str, str] = {}
        try:
            pairs = parse_qsl(self.path.partition("?")[2], keep_blank_values=True, max_num_fields=64)
        except ValueError:
            return found
        for name, value in pairs:
            found.setdefault(name, value)
        return found

    def value(self, subject: Subject) -> str | None:
        """Return the value of a property; None if the request lacks it."""
        match subject.kind:
            case "path":
                return self.plain
            case "header":
                return self.headers.get(subject.name)
            case "query":
                return self.query.get(subject.name)
            case "attribute":
                return self.attributes.get(subject.name)
        return getattr(self, subject.kind)


class MatchedRequest(Struct, frozen=True):
    """The RPC of a request. Times are in microseconds; `cost` is an estimate of the work, None if unknown."""

    rule: str
    method: str
    tenant: str
    key: str | None
    latency_objective: int = msgspec.field(name="soft_deadline")  # as `route explain --json` prints it
    deadline: int
    cost: int | None


@dataclass(frozen=True, slots=True)
class Step:
    """One rule in an explanation: whether it matched, and its predicates.

    `answers` has the text of each predicate, the value of its subject, and whether the value satisfies it.
    """

    rule: str
    matched: bool
    answers: tuple[tuple[str, str | None, bool], ...]


class Routing(Protocol):
    """Finds the RPC of a request among the given methods."""

    methods: Mapping[str, Method]

    def find(self, request: Request) -> MatchedRequest | None:
        """Return the RPC that the first matching rule gives; None if no rule matches."""
        ...


class Table:
    """All routes of one gateway, compiled; `max_deadline` is the longest deadline, in microseconds."""

    def __init__(self, rules: list[Rule], methods: Iterable[Method], max_deadline: int) -> None:
        self.rules: Sequence[Rule] = rules
        self.methods = {method.name: method for method in methods}
        self.max_deadline = max_deadline
        self.conditions: Sequence[Callable[[Request], bool]] = [compiled(rule.when) for rule in rules]
        self.rules_for_other_segments: list[int] = []
        self.rules_by_segment: dict[str, list[int]] = {}
        self._index_rules()

    def _index_rules(self) -> None:
        """Index each rule by the first segments that it requires; others are under all segments."""
        firsts = [_first_segments(rule) for rule in self.rules]
        named = sorted({segment for found in firsts if found is not None for segment in found})
        self.rules_by_segment = {segment: [] for segment in named}
        for number, found in enumerate(firsts):
            if found is None:
                self.rules_for_other_segments.append(number)
            for segment in named if found is None else sorted(found):
                self.rules_by_segment[segment].append(number)

    def find(self, request: Request) -> MatchedRequest | None:
        """Return the RPC that the first matching rule gives; None if no rule matches."""
        for number in self._candidates(request):
            if self.conditions[number](request):
                return self._match(self.rules[number], request)
        return None

    def _candidates(self, request: Request) -> Sequence[int]:
        """Return the numbers of the rules that can match, in their order, by the path's first segment."""
        first = request.segments[0] if request.segments else ""
        return self.rules_by_segment.get(first, self.rules_for_other_segments)

    def explain(self, request: Request) -> list[Step]:
        """Return the rules in their order up to the first that matches."""
        steps = []
        for number, rule in enumerate(self.rules):
            answers = tuple(
                (str(predicate), request.value(predicate.subject), compiled(predicate)(request))
                for predicate in predicates(rule.when)
            )
            matched = self.conditions[number](request)
            steps.append(Step(rule.name, matched, answers))
            if matched:
                break
        return steps

    def _match(self, rule: Rule, request: Request) -> MatchedRequest:
        method = self.methods[rule.method]
        deadline = min(_time(rule.deadline, request) or self.max_deadline, self.max_deadline)
        latency_objective = min(rule.latency_objective or method.latency_objective, deadline)
        cost = _time(rule.cost, request) if rule.cost is not None else None
        tenant = _value(rule.tenant, request) or ""
        key = _value(rule.key, request)
        return MatchedRequest(rule.name, rule.method, tenant, key, latency_objective, deadline, cost)


def table(text: str, methods: Iterable[Method], max_deadline: int) -> Table:
    """Return the table of a text; `max_deadline` is the longest deadline, in microseconds.

    Raises RouteError if the text cannot be parsed, RoutesError if its rules fail the checks.
    """
    return checked_table(parse(text), methods, max_deadline)


def checked_table(rules: list[Rule], methods: Iterable[Method], max_deadline: int) -> Table:
    """Return the table of these rules; raise RoutesError with every error of the checks."""
    methods = list(methods)
    if errors := check(rules, [method.name for method in methods]):
        raise RoutesError(errors)
    return Table(rules, methods, max_deadline)


class RoutesError(ValueError):
    """All errors that the checks find in a set of rules; `str` has one per line."""

    def __init__(self, errors: list[RouteError]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


# ---- conditions and values as functions --------------------------------------------------------------


def compiled(condition: Condition) -> Callable[[Request], bool]:
    """Return a function that evaluates the condition for a request."""
    match condition:
        case Not(part):
            inner = compiled(part)
            return lambda request: not inner(request)
        case All(parts):
            every = [compiled(part) for part in parts]
            return (
                _both(*every) if len(every) == PAIR else lambda request: all(part(request) for part in every)
            )
        case Any(parts):
            some = [compiled(part) for part in parts]
            return lambda request: any(part(request) for part in some)
        case Predicate():
            return _compiled_predicate(condition)
    raise AssertionError(condition)


def _both(first: Callable[[Request], bool], second: Callable[[Request], bool]) -> Callable[[Request], bool]:
    return lambda request: first(request) and second(request)


def _compiled_predicate(predicate: Predicate) -> Callable[[Request], bool]:
    value_of = _value_reader(predicate.subject)
    operand = predicate.operands[0] if predicate.operands else ""
    match predicate.operator:
        case "has":
            return lambda request: value_of(request) is not None
        case "is":
            return lambda request: value_of(request) == operand
        case "in":
            operands = frozenset(predicate.operands)
            return lambda request: value_of(request) in operands
        case "starts":
            return lambda request: (value := value_of(request)) is not None and value.startswith(operand)
        case "ends":
            return lambda request: (value := value_of(request)) is not None and value.endswith(operand)
        case "contains":
            return lambda request: (value := value_of(request)) is not None and operand in value
    search = re.compile(operand).search

    def matches(request: Request) -> bool:
        value = value_of(request)
        return value is not None and len(value) <= MAX_VALUE_LENGTH and search(value) is not None

    return matches


def _value_reader(subject: Subject) -> Callable[[Request], str | None]:
    """Return a function that gives the same value as `Request.value` of one subject."""
    name = subject.name
    match subject.kind:
        case "path":
            return attrgetter("plain")
        case "header":
            return lambda request: request.headers.get(name)
        case "query":
            return lambda request: request.query.get(name)
        case "attribute":
            return lambda request: request.attributes.get(name)
    return attrgetter(subject.kind)


def _value(parts: tuple[Part, ...], request: Request) -> str | None:
    """Return the value of the first part that the request has, at most MAX_NAME_LENGTH characters of it."""
    for part in parts:
        if part.literal is not None:
            return part.literal
        if part.subject is not None:
            found = request.value(part.subject)
        else:
            found = request.segments[part.segment - 1] if part.segment <= len(request.segments) else None
        if found:
            return found[:MAX_NAME_LENGTH]
    return None


def _time(timed: Timed | None, request: Request) -> int:
    """Return the duration in microseconds; a value of the request that is not a duration counts as absent."""
    if timed is None:
        return 0
    text = (request.value(timed.subject) or "") if timed.subject is not None else ""
    if timed.unit == "grpc":
        digits = text[:-1]
        unit = GRPC_UNITS.get(text[-1:], 0)
        # gRPC over HTTP/2 limits "TimeoutValue" to 8 digits; a literal is faster than a global constant.
        if unit and digits.isascii() and digits.isdigit() and len(digits) <= 8:  # noqa: PLR2004
            return max(1, round(int(digits) * unit))
    elif text.isascii() and text.isdigit() and len(text) <= MAX_TIME_DIGITS:
        return max(1, int(text) * UNITS[timed.unit])
    return timed.default


def _first_segments(rule: Rule) -> set[str] | None:
    """Return the first path segments that the conjunctions of a rule require; None if one requires none."""
    found: set[str] = set()
    for conjunction in conjunctions_of(rule.when, rule.place):
        if not is_satisfiable(conjunction):
            continue
        named = [_segments_of(literal.predicate) for literal in conjunction if literal.expected]
        if not (required := [segments for segments in named if segments is not None]):
            return None
        found |= set.intersection(*required)
    return found


def _segments_of(predicate: Predicate) -> set[str] | None:
    """Return the first path segments that the predicate allows; None if it allows any."""
    if predicate.subject.kind != "path":
        return None
    if predicate.operator in ("is", "in"):
        return {[*operand.split("/"), ""][1] for operand in predicate.operands}
    if predicate.operator == "starts" and predicate.operands[0].count("/") >= SEGMENT_SLASHES:
        return {predicate.operands[0].split("/")[1]}
    return None
