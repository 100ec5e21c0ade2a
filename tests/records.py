"""How a day's record writes a decision down: in the form that the digests of the base were taken of.

Owns that form alone: the digests in `tests/test_days.py` hold whatever the decisions are called in the code.
"""

from __future__ import annotations


def base_form(decision: tuple) -> str:
    """One decision as the base at 4d24a08 showed it: the `repr` of a tuple that starts with its kind."""
    return repr(decision)
