"""Rules 1 and 2: whether a request may be attempted again, and the final response to a request given up.

Every attempt is checked here: no effect is executed twice, and a request is rejected, which allows the client
to retry, only if a repeat is harmless.
"""

from __future__ import annotations

from linenbridge.decisions import Fail, Reject
from linenbridge.interface import SECOND, Idempotency, Startup
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import OpenRequests, Request

RETRY_AFTER = 2 * SECOND  # microseconds until a rejected client may retry, as far as the settings allow it


class SafetyRules:
    """Checks of repeated attempts; an attempt may be sent up to `sweep_period` microseconds late."""

    def __init__(self, startup: Startup, requests: OpenRequests, fleet: Fleet, sweep_period: int) -> None:
        self.methods = startup.methods
        self.hedging_allowed = startup.allowances.hedging_allowed
        self.retry_after = min(RETRY_AFTER, startup.allowances.max_retry_after)
        self.requests = requests
        self.fleet = fleet
        # An attempt may also wait for a connection before it is sent.
        self.repeat_margin = sweep_period + startup.allowances.connect_timeout  # microseconds

    def may_attempt(self, now: int, request: Request) -> bool:
        """Return whether the request may get a first or further attempt; checked before every attempt."""
        if not request.attempts:
            return True
        if request.streaming:
            return False
        if request.in_flight() and not (self.hedging_allowed and request.can_hedge):
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
        """Return whether an attempt sent at `sent_at` arrives in time to be recognized as a repeat.

        The idempotency window starts with the first attempt that may have been executed.
        """
        executed = request.first_possible_execution()
        if executed is None:
            return True
        window = self.methods[request.method_index].idempotency_window - self.repeat_margin
        return sent_at < executed.sent_at + window

    def is_repeat_safe_at(self, request: Request, instance_index: int) -> bool:
        """Return whether the instance recognizes a repeat of a request that is idempotent by key.

        Depending on the method, it has to be in the same zone or cell as the first instance that may have
        executed the request.
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
        """End the request and return its final response: a rejection only if a repeat is harmless."""
        self.requests.end(request)
        method = self.methods[request.method_index]
        if request.first_possible_execution() is None or method.idempotency == Idempotency.IDEMPOTENT:
            return Reject(request.id, self.retry_after)
        # A repeat by the client may reach any instance, which has to recognize it when it arrives.
        recognized_everywhere = (
            method.idempotency == Idempotency.IDEMPOTENT_BY_KEY
            and method.group == "all"
            and self._is_within_idempotency_window(now + self.retry_after, request)
        )
        return Reject(request.id, self.retry_after) if recognized_everywhere else Fail(request.id)
