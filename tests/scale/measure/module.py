"""Costs of the decision module by the number of instances: processor time of one RPC, and memory."""

from __future__ import annotations

from collections import deque

from linenbridge.policy import DecisionModule, dispatch
from linenbridge.decisions import SendAttempt
from linenbridge.interface import Outcome, RolloutPhase

from tests.helpers import pull_decisions, startup
from tests.scale.measure.costs import allocated_bytes, execution_mode, processor_time
from tests.scale.measure.instances import ready_entries
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: module"
MEASURED_BY = "tests.scale.measure.module"
SIZES = (22, 220, 2_200, 22_000)  # 22 instances: the average of a service
MEMORY_SIZES = (0, 20, 200, 2_000, 20_000)
RATE = 719  # RPCs a second: 2.3 million over 3,200 gateways
RESPONSE_TIME = 5_000  # microseconds
METHOD = "look"
TTL = 2_000_000  # microseconds


class Traffic:
    """RPCs at a constant rate on a simulated clock, each answered successfully after a fixed time."""

    def __init__(self, gateway: DecisionModule) -> None:
        self.gateway = gateway
        self.now = 0
        self.number = 0
        self.in_flight: deque[tuple[int, str]] = deque()

    def send_next(self) -> None:
        """Send the next RPC, after the responses that are due before it."""
        gateway = self.gateway
        self.now += 1_000_000 // RATE
        while self.in_flight and self.in_flight[0][0] <= self.now:
            answered, rpc = self.in_flight.popleft()
            gateway.on_attempt_finished(answered, rpc, 0, Outcome.OK, True, RESPONSE_TIME, {})
            pull_decisions(gateway, answered)
        rpc = str(self.number)
        self.number += 1
        gateway.on_request(self.now, rpc, METHOD, TTL, None, "", None)
        for decision in pull_decisions(gateway, self.now):
            if isinstance(decision, SendAttempt):
                self.in_flight.append((self.now + RESPONSE_TIME, decision.rpc_id))


def filled_module(instances: int) -> DecisionModule:
    """Return a module that has received a full list, with its one later build released."""
    module = DecisionModule(startup(gateway_count=3_200), seed=7, now=0)
    if instances:
        module.on_endpoint_list(0, ready_entries(instances), is_snapshot=True, is_poll_response=True)
        module.on_rollout_update(0, 2, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    return module


def rpc_time(instances: int) -> float:
    """Return the microseconds of processor time of one RPC from request to response, including sweeps."""
    traffic = Traffic(filled_module(instances))
    calls, repeats = (2_000, 5) if instances < 2_000 else (400, 3)
    for _ in range(calls):
        traffic.send_next()
    return processor_time(traffic.send_next, calls, repeats)


def rows() -> list[Slope]:
    """Measure the decision module at all sizes."""
    common = dict(role=ROLE, size="instances", measured_by=MEASURED_BY, text=execution_mode(dispatch))
    return [
        slope(
            "linear",
            [(n, rpc_time(n)) for n in SIZES],
            what="one RPC",
            unit="us",
            **common,
            note=f"{RATE} RPCs a second at the gateway",
        ),
        slope(
            "linear",
            [(n, allocated_bytes(lambda n=n: filled_module(n))) for n in MEMORY_SIZES],
            what="memory of the module",
            unit="bytes",
            **common,
        ),
    ]


if __name__ == "__main__":
    record(rows())
