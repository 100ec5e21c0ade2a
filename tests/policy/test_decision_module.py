"""The decision module as a whole: contradicting and unbounded inputs."""

from __future__ import annotations


from linenbridge.decisions import Fail, Reject, SendAttempt
from linenbridge.interface import InstanceState, Outcome, RolloutPhase, SECOND
from tests.helpers import MS, entry, pull_decisions, new_gateway


def test_tables_stay_bounded_with_ever_new_instance_ids_and_tenants():
    """Instances are replaced by new ids while RPCs are open on them; an index in use is never reassigned."""
    gateway = new_gateway()
    now = 0
    for n in range(300):
        now += 20 * MS
        gateway.on_request(now, f"r{n}", "look", SECOND, None, f"tenant{n}", None)
        attempts = [d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt)]
        ids_in_use = {
            instance_index: gateway.fleet.ids[instance_index]
            for instance_index in gateway.requests.used_indices()
        }
        entries = [entry(1000 + n % 7), entry(1), entry(2), entry(2000 + n, build=2)]
        gateway.on_endpoint_list(
            now,
            [*entries, entry(9000 + n, state=InstanceState.REMOVED)],
            is_snapshot=True,
            is_poll_response=True,
        )
        assert all(gateway.fleet.ids[instance_index] == name for instance_index, name in ids_in_use.items())
        for attempt in attempts:
            gateway.on_attempt_finished(now, attempt.rpc_id, 0, Outcome.OK, True, MS, {})
        fleet = gateway.fleet
        assert all(fleet.ids[instance_index] == name for name, instance_index in fleet.index.items())
        assert {fleet.ids[instance_index] for instance_index in fleet.ready} == {
            listed.instance for listed in entries
        }
    assert len(fleet.ids) <= 14
    assert len(fleet.in_flight) == len(fleet.rank) == len(fleet.ids)
    assert not any(fleet.in_flight)
    assert not gateway.priorities.usage.rates


def test_without_instances_a_request_is_rejected_though_an_update_names_an_unlisted_build():
    gateway = new_gateway(gateway_count=1, gossip_allowed=True)
    gateway.on_endpoint_list(0, [], is_snapshot=True, is_poll_response=True)
    gateway.on_rollout_update(0, 9, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)
    gateway.on_request(0, "r", "look", SECOND, None, "", None)
    answers = [d for step in range(25) for d in pull_decisions(gateway, step * 50 * MS)]
    assert [type(d) for d in answers if isinstance(d, SendAttempt | Reject | Fail)] == [Reject]
