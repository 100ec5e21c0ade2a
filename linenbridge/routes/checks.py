"""Whether routes make sense together. Decides without I/O, on the rules alone.

Each condition is brought into a choice of plain conjunctions; on these it is decided whether a rule can ever
take a request, whether rules before it leave it any, and whether two rules contend for some without either
being the special case of the other. It must never guess in a rule's favour: where it cannot tell, a rule
counts as one that may match, and the file must then say which of two goes `over` the other.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import combinations

from linenbridge.routes.language import (
    All,
    Any,
    Condition,
    Not,
    Place,
    RouteError,
    Rule,
    Subject,
    Predicate,
    predicates,
)
from linenbridge.routes.regexes import runaway

MAX_CHOICES = 256  # conjunctions that one condition may come to
VERBS = frozenset(("GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"))
SCHEMES = frozenset(("http", "https"))


@dataclass(frozen=True, slots=True)
class Literal:
    """A predicate and the result that is required of it."""

    predicate: Predicate
    expected: bool = True


Conjunction = tuple[Literal, ...]


def check(rules: list[Rule], methods: Iterable[str]) -> list[RouteError]:
    """Everything that is wrong with the rules, in the order of the text."""
    known, names = set(methods), {rule.name for rule in rules}
    wrong = [error for rule in rules for error in _alone(rule, known, names)]
    seen: set[str] = set()
    for rule in rules:
        if rule.name in seen:
            wrong.append(RouteError(rule.place, f"there are two routes named {rule.name}"))
        seen.add(rule.name)
    choices: dict[int, list[Conjunction]] = {}
    for number, rule in enumerate(rules):
        try:
            choices[number] = [found for found in choice(rule.when, rule.place) if possible(found)]
        except RouteError as error:
            wrong.append(error)
            continue
        if not choices[number]:
            wrong.append(RouteError(rule.place, f"route {rule.name} can never match: it contradicts itself"))
    wrong.extend(_together(rules, choices))
    return sorted(wrong, key=lambda error: (error.place.line, error.place.column))


def _alone(rule: Rule, known: set[str], names: set[str]) -> Iterator[RouteError]:
    if not rule.method:
        yield RouteError(rule.place, f"route {rule.name} names no method")
    elif rule.method not in known:
        yield RouteError(rule.method_place, f"no method is named {rule.method!r}")
    for name in rule.over:
        if name not in names or name == rule.name:
            yield RouteError(rule.place, f"route {rule.name} is to go over {name}, which is no other route")
    for predicate in predicates(rule.when):
        if predicate.operator == "matches" and (why := runaway(predicate.operands[0])):
            yield RouteError(predicate.place, f"the expression cannot be used: {why}")
        wrong = [operand for operand in predicate.operands if not _fits(predicate, operand)]
        if wrong:
            yield RouteError(predicate.place, f"no request has the {predicate.subject.kind} {wrong[0]!r}")


def _fits(predicate: Predicate, operand: str) -> bool:
    """A verb or scheme that does not exist, a path without its slash: such a rule would wait for ever."""
    if predicate.operator not in ("is", "in", "starts"):
        return True
    if predicate.subject.kind == "path":
        return operand.startswith(("/", "*"))
    if predicate.operator == "starts":
        return True
    if predicate.subject.kind == "verb":
        return operand in VERBS
    return predicate.subject.kind != "scheme" or operand in SCHEMES


def _together(rules: list[Rule], choices: dict[int, list[Conjunction]]) -> Iterator[RouteError]:
    starts = {number: _path_starts(own) for number, own in choices.items()}
    for number, own in choices.items():
        if not own:
            continue
        before = [
            (n, choices[n]) for n in range(number) if n in choices and not _apart(starts[n], starts[number])
        ]
        left = [c for c in own if not any(covers(other, c) for _, earlier in before for other in earlier)]
        if not left:
            takers = [
                rules[n].name for n, earlier in before if any(covers(o, c) for o in earlier for c in own)
            ]
            yield RouteError(
                rules[number].place,
                f"route {rules[number].name} can never match: {' and '.join(takers)} before it take it all",
            )
    for first, second in combinations(choices, 2):
        one, two = rules[first], rules[second]
        if _apart(starts[first], starts[second]):
            continue
        if one.method == two.method or two.name in one.over or one.name in two.over:
            continue
        if _special(choices[first], choices[second]) or _special(choices[second], choices[first]):
            continue
        if any(possible((*c, *d)) for c in choices[first] for d in choices[second]):
            yield RouteError(
                two.place,
                f"routes {one.name} and {two.name} can both match and name different methods; "
                f"{one.name} stands first: let it say `over {two.name}`, or keep them apart",
            )


def _path_starts(choices: list[Conjunction]) -> list[str]:
    """What a path starts with in each choice, "" where one does not say."""
    return [max((_path_start(literal) for literal in found), key=len, default="") for found in choices]


def _path_start(literal: Literal) -> str:
    predicate = literal.predicate
    if not literal.expected or predicate.subject.kind != "path" or predicate.operator not in ("is", "starts"):
        return ""
    return predicate.operands[0]


def _apart(one: list[str], two: list[str]) -> bool:
    """Whether no path starts as one rule and as the other asks: then neither takes what the other does, and
    nothing else has to be compared. Most rules of one service are apart from each other."""
    return not any(first.startswith(second) or second.startswith(first) for first in one for second in two)


def _special(narrow: list[Conjunction], wide: list[Conjunction]) -> bool:
    """Whether all that one rule takes the other would take too: the usual special case before the general."""
    return all(any(covers(other, c) for other in wide) for c in narrow)


# ---- conditions as choices of conjunctions -----------------------------------------------------------


def choice(condition: Condition, place: Place, expected: bool = True) -> list[Conjunction]:
    """The condition (or, not `expected`, its contrary) as conjunctions one of which must hold."""
    match condition:
        case Predicate() if condition.operator == "in" and expected:
            return [
                (Literal(Predicate(condition.subject, "is", (operand,), condition.place)),)
                for operand in condition.operands
            ]
        case Predicate():
            return [(Literal(condition, expected),)]
        case Not(part):
            return choice(part, place, not expected)
        case All(parts) | Any(parts):
            found = [choice(part, place, expected) for part in parts]
            if isinstance(condition, All) != expected:
                return [conjunction for part in found for conjunction in part]
            product: list[Conjunction] = [()]
            for part in found:
                product = [(*c, *d) for c in product for d in part]
                if len(product) > MAX_CHOICES:
                    raise RouteError(place, f"the condition comes to more than {MAX_CHOICES} choices")
            return product
    raise AssertionError(condition)


def evaluate(predicate: Predicate, value: str | None) -> bool:
    """The answer to a plain question about a value; None where the request has none."""
    if value is None:
        return False
    if predicate.operator == "has":
        return True
    if predicate.operator == "in":
        return value in predicate.operands
    operand = predicate.operands[0]
    match predicate.operator:
        case "is":
            return value == operand
        case "starts":
            return value.startswith(operand)
        case "ends":
            return value.endswith(operand)
        case "contains":
            return operand in value
    return re.search(operand, value) is not None


def possible(conjunction: Conjunction) -> bool:
    """Whether some request may satisfy all these literals; when in doubt, yes."""
    subjects: dict[Subject, list[Literal]] = {}
    for literal in conjunction:
        subjects.setdefault(literal.predicate.subject, []).append(literal)
    return all(_possible(subject, literals) for subject, literals in subjects.items())


def _possible(subject: Subject, literals: list[Literal]) -> bool:
    required = [literal.predicate for literal in literals if literal.expected]
    denied = [literal.predicate for literal in literals if not literal.expected]
    if required and any(predicate.operator == "has" for predicate in denied):
        return False
    if not required and any(predicate.operator == "has" for predicate in denied):
        return True
    if (values := _values(required)) is not None:
        return any(_agrees(value, literals) for value in values)
    if not required and subject.kind not in ("verb", "scheme"):
        return True
    if subject.kind in ("verb", "scheme"):
        every = VERBS if subject.kind == "verb" else SCHEMES
        return any(_agrees(value, literals) for value in sorted(every))
    start, end = _longest(required, "starts"), _longest(required, "ends")
    if start is None or end is None:
        return False
    for predicate in denied:
        inside = predicate.operator == "contains" and any(
            predicate.operands[0] in other.operands[0]
            for other in required
            if other.operator in ("starts", "ends", "contains")
        )
        if inside or predicate in required:
            return False
        if predicate.operator == "starts" and start.startswith(predicate.operands[0]):
            return False
        if predicate.operator == "ends" and end.endswith(predicate.operands[0]):
            return False
    return True


def _values(required: list[Predicate]) -> set[str] | None:
    """The few values that the questions leave, where they name any."""
    named = [set(predicate.operands) for predicate in required if predicate.operator in ("is", "in")]
    return set.intersection(*named) if named else None


def _agrees(value: str, literals: list[Literal]) -> bool:
    return all(evaluate(literal.predicate, value) == literal.expected for literal in literals)


def _longest(required: list[Predicate], operator: str) -> str | None:
    """The longest required operand at one end, "" without one; None where two contradict each other."""
    operands = sorted(
        (predicate.operands[0] for predicate in required if predicate.operator == operator), key=len
    )
    for shorter, longer in zip(operands, operands[1:], strict=False):
        if not (longer.startswith(shorter) if operator == "starts" else longer.endswith(shorter)):
            return None
    return operands[-1] if operands else ""


def covers(wide: Conjunction, narrow: Conjunction) -> bool:
    """Whether every request that satisfies `narrow` satisfies `wide` too; when in doubt, no."""
    return all(_implied(literal, narrow) for literal in wide)


def _implied(literal: Literal, given: Conjunction) -> bool:
    about = [other for other in given if other.predicate.subject == literal.predicate.subject]
    if literal in about:
        return True
    required = [other.predicate for other in about if other.expected]
    if (values := _values(required)) is not None:
        agreeing = [value for value in values if _agrees(value, about)]
        return all(evaluate(literal.predicate, value) == literal.expected for value in agreeing)
    predicate = literal.predicate
    if not literal.expected:
        # What contradicts the question implies its contrary.
        return bool(about) and not _possible(predicate.subject, [*about, Literal(predicate)])
    if predicate.operator == "has":
        return bool(required)
    if predicate.operator not in ("starts", "ends", "contains"):
        return False
    operand = predicate.operands[0]
    for other in required:
        if other.operator not in ("starts", "ends", "contains"):
            continue
        found = other.operands[0]
        if predicate.operator == "contains" and operand in found:
            return True
        if predicate.operator == other.operator == "starts" and found.startswith(operand):
            return True
        if predicate.operator == other.operator == "ends" and found.endswith(operand):
            return True
    return not operand and bool(required)
