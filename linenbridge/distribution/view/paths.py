"""Which rules a request's path can meet, by its leading segments.

Decides without I/O. A rule whose every choice asks for a path stands where those leading segments lead; all
others stand at the root, "". It must never leave out a rule that could take the request.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from linenbridge.routes.checks import Conjunction, choice, possible
from linenbridge.routes.language import Question, Rule

MAX_DEPTH = 4  # segments that are looked at

NO_RULES: list[int] = []

Segments = tuple[str, ...]


class PathIndex(Struct, array_like=True):
    """The rules that stand at each place, in their order; a place is some leading segments, each behind a
    `/`."""

    places: dict[str, list[int]]

    def candidates(self, segments: Sequence[str]) -> Sequence[int]:
        """All rules on the way that these segments lead, in their order."""
        places, place = self.places, ""
        found, several = places.get(place, NO_RULES), False
        for segment in segments[:MAX_DEPTH]:
            place = f"{place}/{segment}"
            here = places.get(place)
            if here is not None:
                several = several or bool(found)
                found = [*found, *here]
        return sorted(found) if several else found


def path_index(rules: Sequence[Rule]) -> PathIndex:
    """Over all rules of a set."""
    places: dict[str, list[int]] = {}
    for number, rule in enumerate(rules):
        for segments in _places(rule):
            places.setdefault("".join(f"/{segment}" for segment in segments), []).append(number)
    return PathIndex(places)


def _places(rule: Rule) -> set[Segments]:
    """Where a rule stands: the root alone where one of its choices asks for no path."""
    found: set[Segments] = set()
    for conjunction in choice(rule.when, rule.place):
        if possible(conjunction):
            found |= _longest(conjunction)
    return {()} if () in found else found


def _longest(conjunction: Conjunction) -> set[Segments]:
    """The leading segments that a conjunction asks for, by the question that tells the most of them."""
    prefixes: list[set[Segments]] = [{()}]
    for literal in conjunction:
        if literal.wanted and literal.test.subject.kind == "path":
            prefixes.append(_leading(literal.test))
    return max(prefixes, key=lambda places: min(map(len, places)))


def _leading(test: Question) -> set[Segments]:
    """The whole segments that a path starts with if the answer is yes."""
    if test.operator in ("is", "in"):
        return {_segments(literal_path) for literal_path in test.words}
    if test.operator == "starts":
        return {_segments(test.words[0].rpartition("/")[0])}
    return {()}


def _segments(literal_path: str) -> Segments:
    return tuple(literal_path.split("/")[1 : 1 + MAX_DEPTH]) if literal_path.startswith("/") else ()
