"""The share of requests that an instance gets while it warms up."""

from __future__ import annotations


from linenbridge.policy import DecisionModule
from tests.helpers import entry, startup


def test_first_attempts_of_200_gateways_stay_within_the_slow_start_limit_of_an_instance():
    sent = 0
    for seed in range(200):
        gateway = DecisionModule(startup(), seed=seed, now=0)
        fleet = [*(entry(n) for n in range(1, 10)), entry(10, started=0)]
        gateway.on_endpoint_list(0, fleet, is_snapshot=True, is_poll_response=True)
        starting = gateway.fleet.index[10]
        for n in range(5):
            gateway.slow_start.admit(1.0)
            if gateway.slow_start.has_allowance(n, starting):
                gateway.fleet.slow_start_tokens[starting] -= 1.0
                sent += 1
    assert 0 < sent <= 5 * 200 * 2.0 * 0.3 / 10
