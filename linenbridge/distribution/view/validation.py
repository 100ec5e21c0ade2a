"""Validation of changes, in steps and ahead of the batch that applies them.

The module owns a bounded number of results of changes that were validated ahead.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Generator, Iterator

from linenbridge.distribution.changes import Change, digest_of
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.tenants import MAX_EPOCH, MAX_SEQUENCE
from linenbridge.distribution.view.values import Value, ValueChecks

ValidatedValue = Value | ChangeRejected | None  # the decoded value, the rejection, or None for a deletion


class ChangeValidator:
    """Validates changes with `checks`; keeps the newest `max_ahead` results of changes validated ahead."""

    def __init__(self, checks: ValueChecks, max_ahead: int) -> None:
        """Create a validator that has no results."""
        self.checks = checks
        self.max_ahead = max_ahead
        self.ahead: OrderedDict[int, ValidatedValue] = OrderedDict()  # by the change's digest

    def steps_ahead(self, change: Change) -> Iterator[None]:
        """Validate a change in steps of about a millisecond, so that `take` returns the result at once."""
        validated = yield from self._steps(change)
        self.ahead[digest_of(change)] = validated
        if len(self.ahead) > self.max_ahead:
            self.ahead.popitem(last=False)

    def take(self, change: Change) -> ValidatedValue:
        """Return and forget the result of a change; validate it now if it was not validated ahead."""
        found = self.ahead.pop(digest_of(change), None)
        return self._validate(change) if found is None else found

    def _validate(self, change: Change) -> ValidatedValue:
        steps = self._steps(change)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def _steps(self, change: Change) -> Generator[None, None, ValidatedValue]:
        if not change.value:
            return None
        if not (0 <= change.epoch < MAX_EPOCH and 0 <= change.sequence < MAX_SEQUENCE):
            return ChangeRejected(
                f"an epoch is from 0 to below {MAX_EPOCH}, a sequence from 0 to below {MAX_SEQUENCE}",
                change.name,
            )
        try:
            return (yield from self.checks.read_in_steps(change.kind, change.name, change.value))
        except ChangeRejected as error:
            return error
