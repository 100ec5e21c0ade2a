"""Rules 1 and 2: whether a request may go out again, and the one final answer of a request that is given up.

Decides without I/O. Every attempt passes here: no effect happens twice, and a client is told to retry only
where a repeat is harmless.
"""

from __future__ import annotations

from linenbridge.decisions import Fail, Reject
from linenbridge.interface import SECOND, Idempotency, Startup
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import OpenRequests, Request

RETRY_AFTER = 2 * SECOND  # microseconds until a rejected client comes again, where the settings allow it


class SafetyRules:
    """What may go out again, and where; `sweep_period` is how late (microseconds) an attempt may leave."""

    def __init__(self, startup: Startup, requests: OpenRequests, fleet: Fleet, sweep_period: int) -> None:
        self.methods = startup.methods
        self.hedging_allowed = startup.allowances.hedging_allowed
        self.retry_after = min(RETRY_AFTER, startup.allowances.max_retry_after)
        self.requests = requests
        self.fleet = fleet
        # An attempt may wait for a connection before it leaves.
        self.repeat_margin = sweep_period + startup.allowances.connect_timeout  # microseconds

    def may_attempt(self, now: int, request: Request) -> bool:
        """Whether the request may go out (again) at all; asked before every attempt."""
        if not request.attempts:
            return True
        if request.streaming or (not self.hedging_allowed and request.in_flight()):
            return False
        if request.first_possible_execution() is None:
            return True
        idempotency = self.methods[request.method_index].idempotency
        if idempotency == Idempotency.IDEMPOTENT:
            return True
        return idempotency == Idempotency.IDEMPOTENT_BY_KEY and self._is_within_idempotency_window(
            now, request
        )

    def _is_within_idempotency_window(self, sent_at: int, request: Request) -> bool:
        """Whether an attempt sent then is still recognized as a repeat on arrival: within the idempotency
        window of the first attempt that may have been executed.
        """
        executed = request.first_possible_execution()
        if executed is None:
            return True
        window = self.methods[request.method_index].idempotency_window - self.repeat_margin
        return sent_at < executed.sent_at + window

    def is_repeat_safe_at(self, request: Request, instance_index: int) -> bool:
        """Whether the instance recognizes a repeat of a request that is idempotent by key: it shares the zone
        or the cell, as the method says, with the first one that may have executed it.
        """
        method = self.methods[request.method_index]
        if method.idempotency != Idempotency.IDEMPOTENT_BY_KEY or method.group == "all":
            return True
        executed = request.first_possible_execution()
        if executed is None:
            return True
        if method.group == "zone":
            return self.fleet.zone[instance_index] == self.fleet.zone[executed.instance_index]
        return self.fleet.cell[instance_index] == self.fleet.cell[executed.instance_index]

    def final_response(self, now: int, request: Request) -> Reject | Fail:
        """End the request with its one final answer: a rejection only where a repeat is harmless."""
        self.requests.end(request)
        method = self.methods[request.method_index]
        if request.first_possible_execution() is None or method.idempotency == Idempotency.IDEMPOTENT:
            return Reject(request.id, self.retry_after)
        # The client's repeat needs to be recognized at any instance when it comes.
        recognized_everywhere = (
            method.idempotency == Idempotency.IDEMPOTENT_BY_KEY
            and method.group == "all"
            and self._is_within_idempotency_window(now + self.retry_after, request)
        )
        return Reject(request.id, self.retry_after) if recognized_everywhere else Fail(request.id)
