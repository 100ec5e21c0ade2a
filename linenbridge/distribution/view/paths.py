"""Which rules a request's path can meet, by its leading segments.

Decides without I/O. A rule whose every choice asks for a path stands where those leading segments lead; all
others stand at the root. It must never leave out a rule that could take the request.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct

from linenbridge.routes.checks import Conjunction, choice, possible
from linenbridge.routes.language import Question, Rule

DEPTH_MOST = 4  # segments that are looked at

Segments = tuple[str, ...]


class PathNode(Struct, array_like=True):
    """The rules that stand here, in their order, and what follows by the next segment."""

    rules: list[int]
    children: dict[str, PathNode]

    def candidates(self, segments: Iterable[str]) -> Sequence[int]:
        """All rules on the way that these segments lead, in their order."""
        node, found, several = self, self.rules, False
        for segment in segments:
            after = node.children.get(segment)
            if after is None:
                break
            node = after
            if node.rules:
                several = several or bool(found)
                found = [*found, *node.rules]
        return sorted(found) if several else found


def path_index(rules: Sequence[Rule]) -> PathNode:
    """The root over all rules."""
    root = PathNode([], {})
    for number, rule in enumerate(rules):
        for segments in _places(rule):
            node = root
            for segment in segments:
                node = node.children.setdefault(segment, PathNode([], {}))
            node.rules.append(number)
    return root


def _places(rule: Rule) -> set[Segments]:
    """Where a rule stands: the root alone where one of its choices asks for no path."""
    found: set[Segments] = set()
    for conjunction in choice(rule.when, rule.place):
        if possible(conjunction):
            found |= _longest(conjunction)
    return {()} if () in found else found


def _longest(conjunction: Conjunction) -> set[Segments]:
    """The leading segments that a conjunction asks for, by the question that tells the most of them."""
    told: list[set[Segments]] = [{()}]
    for literal in conjunction:
        if literal.wanted and literal.test.subject.kind == "path":
            told.append(_leading(literal.test))
    return max(told, key=lambda places: min(map(len, places)))


def _leading(test: Question) -> set[Segments]:
    """The whole segments that a path starts with if the answer is yes."""
    if test.operator in ("is", "in"):
        return {_segments(word) for word in test.words}
    if test.operator == "starts":
        return {_segments(test.words[0].rpartition("/")[0])}
    return {()}


def _segments(word: str) -> Segments:
    return tuple(word.split("/")[1 : 1 + DEPTH_MOST]) if word.startswith("/") else ()
