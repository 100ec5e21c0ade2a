"""An RPC in the decision module: its processor time and the module's memory by the number of instances."""

from __future__ import annotations

from collections import deque

from linenbridge.policy import DecisionModule, dispatch
from linenbridge.decisions import SendAttempt
from linenbridge.interface import Outcome, RolloutPhase

from tests.helpers import pull_decisions, startup
from tests.scale.measure.costs import allocated_bytes, processor_time, text_of
from tests.scale.measure.instances import listed
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: module"
MEASURED_BY = "tests.scale.measure.module"
SIZES = (22, 220, 2_200, 22_000)  # 22: of one service on average
MEMORY_SIZES = (0, 20, 200, 2_000, 20_000)
RATE = 719  # RPCs a second: 2.3 million over 3,200 gateways
TOOK = 5_000  # microseconds until an instance answers
METHOD = "look"
TTL = 2_000_000


class Traffic:
    """RPCs at a steady pace on the module's own clock, each answered well after a fixed time."""

    def __init__(self, gateway: DecisionModule) -> None:
        self.gateway = gateway
        self.now = 0
        self.number = 0
        self.out: deque[tuple[int, str]] = deque()

    def one(self) -> None:
        """The next RPC, with the answers and wakes that fall due before it."""
        gateway = self.gateway
        self.now += 1_000_000 // RATE
        while self.out and self.out[0][0] <= self.now:
            answered, rpc = self.out.popleft()
            gateway.on_attempt_finished(answered, rpc, 0, Outcome.OK, True, TOOK, {})
            pull_decisions(gateway, answered)
        rpc = str(self.number)
        self.number += 1
        gateway.on_request(self.now, rpc, METHOD, TTL, None, "", None)
        for decision in pull_decisions(gateway, self.now):
            if isinstance(decision, SendAttempt):
                self.out.append((self.now + TOOK, decision.rpc_id))


def gateway(instances: int) -> DecisionModule:
    """A module that has heard a whole list, its one later build released."""
    made = DecisionModule(startup(gateway_count=3_200), seed=7, now=0)
    if instances:
        made.on_endpoint_list(0, listed(instances), is_snapshot=True, is_poll_response=True)
        made.on_rollout_update(0, 2, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    return made


def rpc_time(instances: int) -> float:
    """Microseconds of processor time for one RPC from request to answer, sweeps included."""
    traffic = Traffic(gateway(instances))
    calls, repeats = (2_000, 5) if instances < 2_000 else (400, 3)
    for _ in range(calls):
        traffic.one()
    return processor_time(traffic.one, calls, repeats)


def rows() -> list[Slope]:
    common = dict(role=ROLE, size="instances", measured_by=MEASURED_BY, text=text_of(dispatch))
    return [
        slope("linear", [(n, rpc_time(n)) for n in SIZES], what="one RPC", unit="us", **common,
              note=f"{RATE} RPCs a second at the gateway"),
        slope("linear", [(n, allocated_bytes(lambda n=n: gateway(n))) for n in MEMORY_SIZES],
              what="memory of the module", unit="bytes", **common),
    ]  # fmt: skip


if __name__ == "__main__":
    record(rows())
