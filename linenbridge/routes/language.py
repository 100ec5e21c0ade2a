"""Parses the text of the routes into rules.

The grammar is `grammar.lark`; this module builds a `Rule` from each parsed rule and keeps the positions of
tokens for error messages. The result depends on the text alone. `checks` compares the rules with each other
and with the methods of a deployment.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from importlib import resources
from typing import NamedTuple, cast

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

MAX_TEXT_LENGTH = 256 * 1024  # characters, of one text
MAX_RULES = 512  # of one text
# Matches up to the end of a rule: the first `}` that is neither in a string nor in a comment.
RULE_END = re.compile(r'(?:"(?:[^"\\\n]|\\["\\])*"|#[^\n]*|[^"#}])*\}')
UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000}  # microseconds


@dataclass(frozen=True, slots=True)
class Place:
    """The position of a token in the text: line and column, both from 1."""

    line: int
    column: int


class RouteError(ValueError):
    """One error in the text of the routes, with its position; `str` returns `line:column: what`."""

    def __init__(self, place: Place, what: str) -> None:
        super().__init__(f"{place.line}:{place.column}: {what}")
        self.place = place
        self.what = what


@dataclass(frozen=True, slots=True)
class Subject:
    """A property of a request: authority, path, verb, scheme, or a header, query or attribute by its name."""

    kind: str
    name: str = ""

    def __str__(self) -> str:
        return f'{self.kind}("{self.name}")' if self.name else self.kind


@dataclass(frozen=True, slots=True)
class Predicate:
    """One comparison: `has`, `is`, `starts`, `ends`, `contains`, `matches` or `in`, with its operands."""

    subject: Subject
    operator: str
    operands: tuple[str, ...] = ()
    place: Place = field(default=Place(0, 0), compare=False)

    def __str__(self) -> str:
        if self.operator == "has":
            return f"has {self.subject}"
        if self.operator == "in":
            operands = ", ".join('"' + operand + '"' for operand in self.operands)
            return f"{self.subject} in ({operands})"
        return f'{self.subject} {self.operator} "{self.operands[0]}"'


@dataclass(frozen=True, slots=True)
class Not:
    """A condition that is satisfied if its part is not."""

    part: Condition


@dataclass(frozen=True, slots=True)
class All:
    """A condition that is satisfied if every part is; without parts it is always satisfied."""

    parts: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class Any:
    """A condition that is satisfied if at least one part is."""

    parts: tuple[Condition, ...]


Condition = Predicate | Not | All | Any


@dataclass(frozen=True, slots=True)
class Part:
    """The source of a value: a subject, a segment of the path (counted from 1), or a literal."""

    subject: Subject | None = None
    segment: int = 0
    literal: str | None = None


@dataclass(frozen=True, slots=True)
class Timed:
    """A duration: the number in a subject of the request, in `unit`, or else `default`, in microseconds."""

    default: int
    subject: Subject | None = None
    unit: str = ""


@dataclass(slots=True)
class Rule:
    """One rule of the text. Times are microseconds; 0, None, "" and () mean that the clause is absent."""

    name: str
    place: Place
    when: Condition
    method: str = ""
    method_place: Place = Place(0, 0)
    tenant: tuple[Part, ...] = ()
    key: tuple[Part, ...] = ()
    latency_objective: int = 0
    deadline: Timed | None = None
    cost: Timed | None = None
    over: tuple[str, ...] = ()


class Clause(NamedTuple):
    """One parsed clause of a rule; `place` is the position of its value, if an error message may need it."""

    name: str
    value: object
    place: Place | None = None


CLAUSE_ATTRIBUTES = {"soft": "latency_objective"}  # clause: attribute of Rule, where the two differ


def _place(token: Token) -> Place:
    return Place(token.line or 0, token.column or 0)


def _unquoted(token: Token) -> str:
    return str(token)[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def duration(token: str) -> int:
    """Return the microseconds of a DURATION token such as `250ms`."""
    digits = token.rstrip("ums")
    return int(digits) * UNITS[token[len(digits) :]]


@v_args(inline=True)
class _Builder(Transformer):
    """Builds the rules from the parse tree; each method is named after the grammar rule that it handles."""

    def plain(self, kind: Token) -> Subject:
        return Subject(str(kind))

    def named(self, kind: Token, name: Token) -> Subject:
        string = _unquoted(name)
        if not string:
            raise RouteError(_place(name), f"{kind} needs a name that is not empty")
        return Subject(str(kind), string.lower() if kind == "header" else string)

    def always(self) -> Condition:
        return All(())

    def present(self, subject: Subject) -> Condition:
        return Predicate(subject, "has")

    def compare(self, subject: Subject, operator: Token, string: Token) -> Condition:
        return Predicate(subject, str(operator), (_unquoted(string),), _place(string))

    def among(self, subject: Subject, *strings: Token) -> Condition:
        return Predicate(
            subject, "in", tuple(sorted({_unquoted(string) for string in strings})), _place(strings[0])
        )

    def negated(self, part: Condition) -> Condition:
        return Not(part)

    def all_of(self, *parts: Condition) -> Condition:
        return All(parts)

    def any_of(self, *parts: Condition) -> Condition:
        return Any(parts)

    def literal(self, string: Token) -> Part:
        return Part(literal=_unquoted(string))

    def segment(self, number: Token) -> Part:
        if int(number) < 1:
            raise RouteError(
                _place(number), "segment(0) does not exist: the first segment of a path is segment(1)"
            )
        return Part(segment=int(number))

    def value(self, *parts: Part | Subject) -> tuple[Part, ...]:
        return tuple(Part(subject=part) if isinstance(part, Subject) else part for part in parts)

    def timed(self, *parts: Subject | Token) -> Timed:
        if len(parts) == 1:
            return Timed(duration(str(parts[0])))
        subject, unit, default = parts
        return Timed(duration(str(default)), subject, str(unit))  # type: ignore[arg-type]

    def method(self, string: Token) -> Clause:
        return Clause("method", _unquoted(string), _place(string))

    def tenant(self, value: tuple[Part, ...]) -> Clause:
        return Clause("tenant", value)

    def key(self, value: tuple[Part, ...]) -> Clause:
        return Clause("key", value)

    def soft(self, token: Token) -> Clause:
        return Clause("soft", duration(str(token)), _place(token))

    def deadline(self, timed: Timed) -> Clause:
        return Clause("deadline", timed)

    def cost(self, timed: Timed) -> Clause:
        return Clause("cost", timed)

    def over(self, *names: Token) -> Clause:
        return Clause("over", tuple(str(name) for name in names), _place(names[0]))

    def rule(self, name: Token, when: Condition, *clauses: Clause) -> Rule:
        rule = Rule(str(name), _place(name), when)
        seen: set[str] = set()
        for clause, value, place in clauses:
            if clause in seen:
                raise RouteError(place or rule.place, f"route {name} has more than one `{clause}` clause")
            seen.add(clause)
            setattr(rule, CLAUSE_ATTRIBUTES.get(clause, clause), value)
            if clause == "method" and place is not None:
                rule.method_place = place
        return rule

    def start(self, *rules: Rule) -> list[Rule]:
        return list(rules)


@cache
def _parser() -> Lark:
    grammar = resources.files(__package__).joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", lexer="contextual", transformer=_Builder())


def parse(text: str) -> list[Rule]:
    """Return the rules of a text in their order; raise RouteError at the first error."""
    if len(text) > MAX_TEXT_LENGTH:
        raise RouteError(Place(1, 1), f"the routes are longer than {MAX_TEXT_LENGTH} characters")
    try:
        rules = cast(list[Rule], _parser().parse(text))  # what _Builder.start returns
    except UnexpectedInput as error:
        raise RouteError(*_unexpected(error, text)) from None
    except Exception as error:
        if isinstance(cause := getattr(error, "orig_exc", error), RouteError):
            raise cause from None
        raise
    if len(rules) > MAX_RULES:
        raise RouteError(rules[MAX_RULES].place, f"more than {MAX_RULES} routes")
    return rules


def parse_by_rule(text: str) -> Iterator[Rule]:
    """Yield the rules that `parse` returns one by one, so that a caller can do other work in between.

    Raises the same RouteError as `parse`, possibly after some rules.
    """
    count = 0
    try:
        for piece in _pieces(text):
            for rule in parse(piece):
                count += 1
                if count > MAX_RULES:
                    raise RouteError(rule.place, f"more than {MAX_RULES} routes")
                yield rule
    except RouteError:
        parse(text)  # raises the error that comes first in the complete text
        raise


def _pieces(text: str) -> Iterator[str]:
    """Split the text after the end of each rule; padding keeps the line and column of each token."""
    if len(text) > MAX_TEXT_LENGTH:
        raise RouteError(Place(1, 1), f"the routes are longer than {MAX_TEXT_LENGTH} characters")
    begin = line = column = 0
    while begin < len(text):
        found = RULE_END.match(text, begin)
        end = len(text) if found is None else found.end()
        piece = text[begin:end]
        yield "\n" * line + " " * column + piece
        line += piece.count("\n")
        column = len(piece) - piece.rfind("\n") - 1 if "\n" in piece else column + len(piece)
        begin = end


def _unexpected(error: UnexpectedInput, text: str) -> tuple[Place, str]:
    """Return the position and the message for an error of the parser."""
    if isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END":
        lines = text.split("\n")
        return Place(len(lines), len(lines[-1]) + 1), "the text ends in the middle of a route"
    place = Place(error.line, error.column)
    if isinstance(error, UnexpectedCharacters):
        return place, f"unexpected character {error.char!r}"
    found = getattr(error, "token", "")
    return place, f"{str(found)!r} does not fit here"


def predicates(condition: Condition) -> Iterator[Predicate]:
    """Yield every predicate of a condition, in the order of the text."""
    match condition:
        case Predicate():
            yield condition
        case Not(part):
            yield from predicates(part)
        case All(parts) | Any(parts):
            for part in parts:
                yield from predicates(part)
