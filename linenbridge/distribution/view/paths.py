"""An index of a rule set by the leading segments of a request's path.

A rule is indexed under the leading segments that its conjunctions require, or under the root, "", if one of
them requires none. A look-up returns every rule that can match the request, and possibly more. Pure functions
of parsed rules.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from linenbridge.routes.checks import Conjunction, conjunctions_of, is_satisfiable
from linenbridge.routes.language import Predicate, Rule

MAX_DEPTH = 4  # leading path segments that are indexed

NO_RULES: list[int] = []

Segments = tuple[str, ...]


class PathIndex(Struct, array_like=True):
    """Rule numbers by path prefix, in the order of the rules.

    A prefix consists of leading segments, each after a `/`; the prefix of the root is "".
    """

    rules_by_prefix: dict[str, list[int]]

    def candidates(self, segments: Sequence[str]) -> Sequence[int]:
        """Return the numbers of all rules under any prefix of these segments, in the order of the rules."""
        rules_by_prefix = self.rules_by_prefix
        prefix = ""
        found = rules_by_prefix.get(prefix, NO_RULES)
        merged = False
        for segment in segments[:MAX_DEPTH]:
            prefix = f"{prefix}/{segment}"
            rules_here = rules_by_prefix.get(prefix)
            if rules_here is not None:
                merged = merged or bool(found)
                found = [*found, *rules_here]
        return sorted(found) if merged else found


def path_index(rules: Sequence[Rule]) -> PathIndex:
    """Return the index of a rule set."""
    rules_by_prefix: dict[str, list[int]] = {}
    for number, rule in enumerate(rules):
        for segments in _prefixes(rule):
            rules_by_prefix.setdefault("".join(f"/{segment}" for segment in segments), []).append(number)
    return PathIndex(rules_by_prefix)


def _prefixes(rule: Rule) -> set[Segments]:
    """Return the prefixes to index a rule under: the root alone if a conjunction requires no path."""
    found: set[Segments] = set()
    for conjunction in conjunctions_of(rule.when, rule.place):
        if is_satisfiable(conjunction):
            found |= _longest_prefixes(conjunction)
    return {()} if () in found else found


def _longest_prefixes(conjunction: Conjunction) -> set[Segments]:
    """Return the prefixes that a conjunction requires, from the predicate that gives the longest ones."""
    alternatives: list[set[Segments]] = [{()}]
    alternatives.extend(
        _leading_segments(literal.predicate)
        for literal in conjunction
        if literal.expected and literal.predicate.subject.kind == "path"
    )
    return max(alternatives, key=lambda prefixes: min(map(len, prefixes)))


def _leading_segments(predicate: Predicate) -> set[Segments]:
    """Return the complete leading segments of the paths that satisfy the predicate."""
    if predicate.operator in ("is", "in"):
        return {_segments(path) for path in predicate.operands}
    if predicate.operator == "starts":
        return {_segments(predicate.operands[0].rpartition("/")[0])}
    return {()}


def _segments(path: str) -> Segments:
    return tuple(path.split("/")[1 : 1 + MAX_DEPTH]) if path.startswith("/") else ()
