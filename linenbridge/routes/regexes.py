"""Rejects regular expressions whose matching can take too long, by their structure.

Python's matcher backtracks. Three constructs make the number of attempts grow faster than the length of the
text: a repeat within a repeat, a repeated alternation whose branches can start with the same character, and
adjacent repeats of the same characters. Every construct that this module does not know is rejected.
"""

from __future__ import annotations

import re
import sys
from re import _constants as sre  # type: ignore[attr-defined]
from re import _parser  # type: ignore[attr-defined]

MAX_PATTERN_LENGTH = 512  # characters
MAX_REPEAT_COUNT = 1_000  # of a counted repeat; bounds the cost of compiling it
# Two cost the square of the length of the text, which is acceptable because that length is bounded.
MAX_ADJACENT_REPEATS = 2
OTHER_CODE_POINTS = 256  # represents all code points above 255
ALL_CHARACTERS = frozenset(range(OTHER_CODE_POINTS + 1))
MAX_BOUNDED_SPREAD = 64  # a counted repeat whose bounds differ by more counts as unbounded
REPEATS = {sre.MAX_REPEAT, sre.MIN_REPEAT}
ZERO_WIDTH = {sre.AT, sre.ASSERT, sre.ASSERT_NOT}


def reason_to_reject(pattern: str) -> str | None:
    """Return the reason, for a user, why the expression is rejected; None if it is accepted."""
    if len(pattern) > MAX_PATTERN_LENGTH:
        return f"it is longer than {MAX_PATTERN_LENGTH} characters"
    try:
        parsed = _parser.parse(pattern)
        re.compile(pattern)
    except (re.error, OverflowError, RecursionError) as error:
        return f"it is not a valid regular expression ({error})"
    return _sequence(list(parsed), in_repeat=False)


def _sequence(items: list, in_repeat: bool) -> str | None:
    """Return the reason to reject a sequence, such as adjacent repeats that match the same characters."""
    adjacent: list[frozenset[int]] = []
    for item in items:
        if reason := _item(item, in_repeat):
            return reason
        operator = item[0]
        if operator in REPEATS and _unbounded(item[1]):
            matched = _characters(list(item[1][2]))
            adjacent = [*(other for other in adjacent if other & matched), matched]
            if len(adjacent) > MAX_ADJACENT_REPEATS:
                return "three adjacent repeats can match the same characters"
        elif operator not in ZERO_WIDTH:
            matched = _characters([item])
            if not _may_be_empty([item]):
                adjacent = [other for other in adjacent if other & matched]
    return None


def _item(item: tuple, in_repeat: bool) -> str | None:
    """Return the reason to reject one parsed item; None if it is accepted."""
    operator, argument = item
    if operator in REPEATS:
        return _repeat(argument, in_repeat)
    if operator is sre.SUBPATTERN:
        return _sequence(list(argument[3]), in_repeat)
    if operator is sre.BRANCH:
        return _branches([list(branch) for branch in argument[1]], in_repeat)
    if operator in (sre.ASSERT, sre.ASSERT_NOT):
        return _sequence(list(argument[1]), in_repeat)
    if operator in (sre.LITERAL, sre.NOT_LITERAL, sre.ANY, sre.IN, sre.AT):
        return None
    return f"{str(operator).lower()} is not supported"


def _repeat(repeat: tuple, in_repeat: bool) -> str | None:
    _, high, inner = repeat
    if high is not sre.MAXREPEAT and high > MAX_REPEAT_COUNT:
        return f"a counted repeat above {MAX_REPEAT_COUNT}"
    if not _unbounded(repeat):
        return _sequence(list(inner), in_repeat)
    if in_repeat:
        return "a repeat within a repeat"
    if _may_be_empty(list(inner)):
        return "a repeat of an expression that can match the empty text"
    return _sequence(list(inner), in_repeat=True)


def _branches(branches: list[list], in_repeat: bool) -> str | None:
    """Return the reason to reject an alternation; None if it is accepted."""
    if in_repeat:
        if sum(_may_be_empty(branch) for branch in branches) > 1:
            return "a repeated alternation whose branches can start with the same character"
        seen: frozenset[int] = frozenset()
        for branch in branches:
            first = _first(branch)
            if first & seen:
                return "a repeated alternation whose branches can start with the same character"
            seen |= first
    return next((reason for branch in branches if (reason := _sequence(branch, in_repeat))), None)


def _unbounded(repeat: tuple) -> bool:
    return repeat[1] is sre.MAXREPEAT or repeat[1] - repeat[0] > MAX_BOUNDED_SPREAD


def _may_be_empty(items: list) -> bool:
    """Return whether a sequence can match the empty text."""
    for operator, argument in items:
        if operator in REPEATS:
            if argument[0] and not _may_be_empty(list(argument[2])):
                return False
        elif operator is sre.SUBPATTERN:
            if not _may_be_empty(list(argument[3])):
                return False
        elif operator is sre.BRANCH:
            if not any(_may_be_empty(list(branch)) for branch in argument[1]):
                return False
        elif operator not in ZERO_WIDTH:
            return False
    return True


def _first(items: list) -> frozenset[int]:
    """Return the characters that a match of a sequence can start with."""
    found: frozenset[int] = frozenset()
    for item in items:
        operator, argument = item
        if operator is sre.SUBPATTERN:
            found |= _first(list(argument[3]))
        elif operator is sre.BRANCH:
            found |= frozenset().union(*(_first(list(branch)) for branch in argument[1]))
        elif operator in REPEATS:
            found |= _first(list(argument[2]))
        else:
            found |= _characters([item])
        if not _may_be_empty([item]):
            break
    return found


def _characters(items: list) -> frozenset[int]:
    """Return every character that a sequence can match anywhere."""
    found: frozenset[int] = frozenset()
    for operator, argument in items:
        if operator is sre.LITERAL:
            found |= {min(argument, OTHER_CODE_POINTS)}
        elif operator is sre.NOT_LITERAL:
            found |= ALL_CHARACTERS - ({argument} if argument < OTHER_CODE_POINTS else frozenset())
        elif operator is sre.IN:
            found |= _members(argument)
        elif operator in REPEATS:
            found |= _characters(list(argument[2]))
        elif operator is sre.SUBPATTERN:
            found |= _characters(list(argument[3]))
        elif operator is sre.BRANCH:
            found |= frozenset().union(*(_characters(list(branch)) for branch in argument[1]))
        elif operator is sre.ANY:
            found |= ALL_CHARACTERS
    return found


def _members(members: list) -> frozenset[int]:
    """Return the characters that a character set (`[...]`) can match."""
    found: set[int] = set()
    negated = False
    for operator, argument in members:
        if operator is sre.NEGATE:
            negated = True
        elif operator is sre.LITERAL:
            found.add(min(argument, OTHER_CODE_POINTS))
        elif operator is sre.RANGE:
            low, high = argument
            found.update(range(low, min(high, OTHER_CODE_POINTS - 1) + 1))
            found.update({OTHER_CODE_POINTS} if high >= OTHER_CODE_POINTS else ())
        else:
            found |= ALL_CHARACTERS if negated or sys.maxunicode < OTHER_CODE_POINTS else _category(argument)
    return ALL_CHARACTERS - frozenset(found - {OTHER_CODE_POINTS}) if negated else frozenset(found)


def _category(category: object) -> frozenset[int]:
    """Return the characters of a category of digits, words or spaces; all characters for any other."""
    shape = {sre.CATEGORY_DIGIT: r"\d", sre.CATEGORY_WORD: r"\w", sre.CATEGORY_SPACE: r"\s"}.get(category)
    if shape is None:
        return ALL_CHARACTERS
    return frozenset(code for code in range(OTHER_CODE_POINTS) if re.match(shape, chr(code))) | {
        OTHER_CODE_POINTS
    }
