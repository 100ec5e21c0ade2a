"""When the endpoint list is requested."""

from __future__ import annotations


from linenbridge.decisions import WatchEndpoints
from linenbridge.interface import SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import pull_decisions, startup


def test_a_failed_call_for_the_endpoint_list_is_retried():
    gateway = DecisionModule(startup(polls_endpoints=True), seed=1, now=0)
    assert WatchEndpoints() in pull_decisions(gateway, 0)
    gateway.on_endpoint_list_failed(10)
    assert WatchEndpoints() in pull_decisions(gateway, SECOND)
