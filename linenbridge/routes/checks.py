"""Checks of the rules of one text against each other; no I/O.

Each condition is expanded into disjunctive normal form: conjunctions of literals, of which one has to be
satisfied. From the conjunctions, the checks decide whether a rule can match at all, whether earlier rules
match all of its requests, and whether two rules with different methods can match the same request although
neither is a special case of the other. The checks are conservative: a rule that they cannot decide about
counts as one that can match, and the author of the text states the precedence with `over`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass
from itertools import combinations, pairwise

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
from linenbridge.routes.regexes import reason_to_reject

MAX_CONJUNCTIONS = 256  # of one condition
VERBS = frozenset(("GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH"))
SCHEMES = frozenset(("http", "https"))
KNOWN_VALUES = {"verb": VERBS, "scheme": SCHEMES}  # subjects with a fixed set of values
SUBSTRING_OPERATORS = frozenset(("starts", "ends", "contains"))


@dataclass(frozen=True, slots=True)
class Literal:
    """A predicate and the result that it has to have."""

    predicate: Predicate
    expected: bool = True


Conjunction = tuple[Literal, ...]


def check(rules: list[Rule], methods: Iterable[str]) -> list[RouteError]:
    """Return all errors of the rules, in the order of the text."""
    known = set(methods)
    names = {rule.name for rule in rules}
    wrong = [error for rule in rules for error in _errors_of_rule(rule, known, names)]
    seen: set[str] = set()
    for rule in rules:
        if rule.name in seen:
            wrong.append(RouteError(rule.place, f"there are two routes named {rule.name}"))
        seen.add(rule.name)
    conjunctions: dict[int, list[Conjunction]] = {}
    for number, rule in enumerate(rules):
        try:
            conjunctions[number] = [
                found for found in conjunctions_of(rule.when, rule.place) if is_satisfiable(found)
            ]
        except RouteError as error:
            wrong.append(error)
            continue
        if not conjunctions[number]:
            wrong.append(
                RouteError(rule.place, f"route {rule.name} can never match: its condition contradicts itself")
            )
    starts = {number: _path_starts(own) for number, own in conjunctions.items()}
    wrong.extend(_shadowed_rules(rules, conjunctions, starts))
    wrong.extend(_conflicts(rules, conjunctions, starts))
    return sorted(wrong, key=lambda error: (error.place.line, error.place.column))


def _errors_of_rule(rule: Rule, known: set[str], names: set[str]) -> Iterator[RouteError]:
    """Yield the errors of one rule that do not depend on the conditions of other rules."""
    if not rule.method:
        yield RouteError(rule.place, f"route {rule.name} names no method")
    elif rule.method not in known:
        yield RouteError(rule.method_place, f"no method is named {rule.method!r}")
    for name in rule.over:
        if name not in names or name == rule.name:
            yield RouteError(rule.place, f"route {rule.name}: `over {name}` names no other route of the text")
    for predicate in predicates(rule.when):
        if predicate.operator == "matches" and (reason := reason_to_reject(predicate.operands[0])):
            yield RouteError(predicate.place, f"the regular expression is rejected: {reason}")
        wrong = [operand for operand in predicate.operands if not _can_occur(predicate, operand)]
        if wrong:
            yield RouteError(predicate.place, f"no request has the {predicate.subject.kind} {wrong[0]!r}")


def _can_occur(predicate: Predicate, operand: str) -> bool:
    """Return whether some request can have the operand: a known verb or scheme, a path from `/`."""
    if predicate.operator not in ("is", "in", "starts"):
        return True
    if predicate.subject.kind == "path":
        return operand.startswith(("/", "*"))
    if predicate.operator == "starts":
        return True
    known = KNOWN_VALUES.get(predicate.subject.kind)
    return known is None or operand in known


def _shadowed_rules(
    rules: list[Rule], conjunctions: dict[int, list[Conjunction]], starts: dict[int, list[str]]
) -> Iterator[RouteError]:
    """Yield an error for each rule whose requests all match earlier rules."""
    for number, own in conjunctions.items():
        if not own:
            continue
        earlier = {
            other: conjunctions[other]
            for other in range(number)
            if other in conjunctions and not _share_no_path(starts[other], starts[number])
        }
        wide = [conjunction for found in earlier.values() for conjunction in found]
        if all(any(covers(general, special) for general in wide) for special in own):
            names = [
                rules[other].name
                for other, found in earlier.items()
                if any(covers(general, special) for general in found for special in own)
            ]
            yield RouteError(
                rules[number].place,
                f"route {rules[number].name} can never match: "
                f"all its requests match {' and '.join(names)} before it",
            )


def _conflicts(
    rules: list[Rule], conjunctions: dict[int, list[Conjunction]], starts: dict[int, list[str]]
) -> Iterator[RouteError]:
    """Yield an error for each pair of rules with different methods that can match the same request.

    A pair is no error if `over` states which of the two takes precedence, or if one is a special case of the
    other.
    """
    for first, second in combinations(conjunctions, 2):
        one = rules[first]
        two = rules[second]
        if _share_no_path(starts[first], starts[second]):
            continue
        if one.method == two.method or two.name in one.over or one.name in two.over:
            continue
        if _is_special_case(conjunctions[first], conjunctions[second]) or _is_special_case(
            conjunctions[second], conjunctions[first]
        ):
            continue
        if any(
            is_satisfiable((*left, *right)) for left in conjunctions[first] for right in conjunctions[second]
        ):
            yield RouteError(
                two.place,
                f"routes {one.name} and {two.name} can both match a request and name different methods; "
                f"{one.name} comes first: add `over {two.name}` to it, or make their conditions disjoint",
            )


def _path_starts(conjunctions: list[Conjunction]) -> list[str]:
    """Return the path prefix that each conjunction requires, "" for a conjunction that requires none."""
    return [max((_path_start(literal) for literal in found), key=len, default="") for found in conjunctions]


def _path_start(literal: Literal) -> str:
    predicate = literal.predicate
    if not literal.expected or predicate.subject.kind != "path" or predicate.operator not in ("is", "starts"):
        return ""
    return predicate.operands[0]


def _share_no_path(one: list[str], two: list[str]) -> bool:
    """Return whether no path starts with a prefix of each list: no request can then match both rules.

    This holds for most pairs of rules of one service and saves the comparison of their conjunctions.
    """
    return not any(first.startswith(second) or second.startswith(first) for first in one for second in two)


def _is_special_case(narrow: list[Conjunction], wide: list[Conjunction]) -> bool:
    """Return whether every request that satisfies the `narrow` condition satisfies the `wide` one."""
    return all(any(covers(general, special) for general in wide) for special in narrow)


# ---- conditions as conjunctions ----------------------------------------------------------------------


def conjunctions_of(condition: Condition, place: Place, *, expected: bool = True) -> list[Conjunction]:
    """Return the condition in disjunctive normal form; its negation if not `expected`.

    Raises RouteError at `place` if there would be more than MAX_CONJUNCTIONS.
    """
    match condition:
        case Predicate() if condition.operator == "in" and expected:
            return [
                (Literal(Predicate(condition.subject, "is", (operand,), condition.place)),)
                for operand in condition.operands
            ]
        case Predicate():
            return [(Literal(condition, expected),)]
        case Not(part):
            return conjunctions_of(part, place, expected=not expected)
        case All(parts) | Any(parts):
            expanded = [conjunctions_of(part, place, expected=expected) for part in parts]
            if isinstance(condition, All) != expected:
                return [conjunction for own in expanded for conjunction in own]
            product: list[Conjunction] = [()]
            for own in expanded:
                product = [(*left, *right) for left in product for right in own]
                if len(product) > MAX_CONJUNCTIONS:
                    raise RouteError(
                        place, f"the condition expands to more than {MAX_CONJUNCTIONS} alternatives"
                    )
            return product
    raise AssertionError(condition)


def is_satisfied_by(predicate: Predicate, value: str | None) -> bool:
    """Return whether a value satisfies a predicate; `value` is None if the request lacks the property."""
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


def is_satisfiable(conjunction: Conjunction) -> bool:
    """Return whether some request may satisfy all literals; True if that cannot be decided."""
    subjects: dict[Subject, list[Literal]] = {}
    for literal in conjunction:
        subjects.setdefault(literal.predicate.subject, []).append(literal)
    return all(_can_satisfy(subject, literals) for subject, literals in subjects.items())


def _can_satisfy(subject: Subject, literals: list[Literal]) -> bool:
    """Return whether some value of the subject, or its absence, may satisfy all its literals."""
    required = [literal.predicate for literal in literals if literal.expected]
    excluded = [literal.predicate for literal in literals if not literal.expected]
    if any(predicate.operator == "has" for predicate in excluded):
        return not required
    values = _values(required)
    if values is None:
        values = KNOWN_VALUES.get(subject.kind)
    if values is not None:
        return any(_satisfies_all(value, literals) for value in values)
    if not required:
        return True
    start = _longest(required, "starts")
    end = _longest(required, "ends")
    if start is None or end is None:
        return False
    return not any(_contradicts(predicate, required, start, end) for predicate in excluded)


def _contradicts(excluded: Predicate, required: list[Predicate], start: str, end: str) -> bool:
    """Return whether the required predicates, with their longest prefix and suffix, imply `excluded`."""
    if excluded in required:
        return True
    match excluded.operator:
        case "contains":
            return any(
                excluded.operands[0] in other.operands[0]
                for other in required
                if other.operator in SUBSTRING_OPERATORS
            )
        case "starts":
            return start.startswith(excluded.operands[0])
        case "ends":
            return end.endswith(excluded.operands[0])
    return False


def _values(required: list[Predicate]) -> Set[str] | None:
    """Return the values that all `is` and `in` predicates allow; None if there is no such predicate."""
    named = [set(predicate.operands) for predicate in required if predicate.operator in ("is", "in")]
    return set.intersection(*named) if named else None


def _satisfies_all(value: str, literals: list[Literal]) -> bool:
    return all(is_satisfied_by(literal.predicate, value) == literal.expected for literal in literals)


def _longest(required: list[Predicate], operator: str) -> str | None:
    """Return the longest prefix (`starts`) or suffix (`ends`) that is required, "" if there is none.

    Returns None if two of the operands contradict each other.
    """
    operands = sorted(
        (predicate.operands[0] for predicate in required if predicate.operator == operator), key=len
    )
    for shorter, longer in pairwise(operands):
        if not (longer.startswith(shorter) if operator == "starts" else longer.endswith(shorter)):
            return None
    return operands[-1] if operands else ""


def covers(wide: Conjunction, narrow: Conjunction) -> bool:
    """Return whether every request that satisfies `narrow` satisfies `wide`; False if undecided."""
    return all(_implied(literal, narrow) for literal in wide)


def _implied(literal: Literal, given: Conjunction) -> bool:
    """Return whether the conjunction `given` implies the literal; False if that cannot be decided."""
    about = [other for other in given if other.predicate.subject == literal.predicate.subject]
    if literal in about:
        return True
    required = [other.predicate for other in about if other.expected]
    if (values := _values(required)) is not None:
        matching = [value for value in values if _satisfies_all(value, about)]
        return all(is_satisfied_by(literal.predicate, value) == literal.expected for value in matching)
    predicate = literal.predicate
    if not literal.expected:
        # Literals that exclude the predicate imply its negation.
        return bool(about) and not _can_satisfy(predicate.subject, [*about, Literal(predicate)])
    if predicate.operator == "has":
        return bool(required)
    if predicate.operator not in SUBSTRING_OPERATORS:
        return False
    if any(_entails(other, predicate) for other in required):
        return True
    return not predicate.operands[0] and bool(required)


def _entails(premise: Predicate, conclusion: Predicate) -> bool:
    """Return whether each value that satisfies `premise` satisfies the substring predicate `conclusion`."""
    if premise.operator not in SUBSTRING_OPERATORS:
        return False
    known = premise.operands[0]
    operand = conclusion.operands[0]
    if conclusion.operator == "contains":
        return operand in known
    if conclusion.operator != premise.operator:
        return False
    return known.startswith(operand) if conclusion.operator == "starts" else known.endswith(operand)
