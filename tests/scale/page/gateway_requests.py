"""Rows of a gateway whose costs depend on requests or peers: interfaces, release decisions and leases."""

from __future__ import annotations

from tests.scale.page.figures import MICROSECOND, Costs, Figure, Row, times, total
from tests.scale.page.size import Size

RESP2 = "a gateway by RESP2"
PROCESSOR = "a gateway by external processor"
RELEASES = "a gateway's release decisions"
MEMBER = "a gateway's membership in leases"

MESSAGES_A_REQUEST = 2  # from the proxy to the external processor
CONTACTED_PEERS = 8  # policy/gossip.py
METHODS = 3
BUILDS = 2
PEER_HEAD_BYTES = 4  # state/peers.py
PEER_ROW_BYTES = 10  # state/peers.py


def resp2(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a gateway that is used by RESP2."""
    return [
        *_resp2_process(size, costs),
        *_resp2_memory(size, costs),
        *_resp2_requests(size, costs),
    ]


def _resp2_process(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the idle process and of the request rate."""
    all_instances = size.fleet.instances
    return [
        Row(
            role=RESP2,
            what="processor time, idle",
            unit="core",
            mechanism="`python -m linenbridge`",
            ordinary=costs.scaled("gateway: process", "idle", all_instances, MICROSECOND),
            budget=size.budget.core_share,
        ),
        Row(
            role=RESP2,
            what="requests in, and as many sent on and answered",
            unit="1/s",
            mechanism="`net/downstream.py`, `net/upstream.py`",
            ordinary=Figure(size.requests_a_gateway),
        ),
    ]


def _resp2_memory(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of resident memory by the length of the endpoint list."""
    all_instances = size.fleet.instances
    of_service = size.instances_a_service
    return [
        Row(
            role=RESP2,
            what="resident memory, every instance in its list",
            unit="bytes",
            mechanism="one list and one module for a process",
            ordinary=costs.at("gateway: process", "resident memory", all_instances),
            budget=size.memory,
            **costs.versions("gateway: process", "resident memory", all_instances),
        ),
        Row(
            role=RESP2,
            what="resident memory, one service's instances in its list",
            unit="bytes",
            mechanism="one list and one module for a process",
            ordinary=costs.at("gateway: process", "resident memory", of_service),
            budget=size.memory,
        ),
    ]


def _resp2_requests(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the time of a request."""
    all_instances = size.fleet.instances
    of_service = size.instances_a_service
    added = size.load.added_p99_ms / 1000
    return [
        Row(
            role=RESP2,
            what="an RPC in the module, one service's instances",
            unit="s",
            mechanism="`policy/load_balancing.py`: the nearest, in this gateway's order",
            ordinary=costs.scaled("gateway: module", "one RPC", of_service, MICROSECOND),
            budget=added,
        ),
        Row(
            role=RESP2,
            what="an RPC in the module, every instance in one list",
            unit="s",
            mechanism="`policy/load_balancing.py`: the nearest, in this gateway's order",
            ordinary=costs.scaled("gateway: module", "one RPC", all_instances, MICROSECOND),
            budget=added,
            **costs.versions("gateway: module", "one RPC", all_instances, MICROSECOND),
        ),
        Row(
            role=RESP2,
            what="added to a request, 99 in 100",
            unit="s",
            mechanism="the whole of the gateway",
            ordinary=None,
            budget=added,
        ),
    ]


def processor(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a gateway that is used as an external processor."""
    return [
        *_processor_requests(size, costs),
        *_processor_memory(size),
    ]


def _processor_requests(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of messages and of the processor time of requests."""
    front = costs.scaled("gateway: external processor", "one request", 10, MICROSECOND)
    return [
        Row(
            role=PROCESSOR,
            what="processor time of one request at the front, one service",
            unit="s",
            mechanism="`processor/external_processor.py`, interpreted",
            ordinary=front,
            budget=size.load.added_p99_ms / 1000,
        ),
        Row(
            role=PROCESSOR,
            what="messages in, and as many out",
            unit="1/s",
            mechanism="two a request: its head, and its answer's head",
            ordinary=Figure(MESSAGES_A_REQUEST * size.requests_a_gateway),
        ),
        Row(
            role=PROCESSOR,
            what="processor time of all requests",
            unit="core",
            mechanism="one process on one core; requests have no budget of their own",
            ordinary=times(front, size.requests_a_gateway),
        ),
    ]


def _processor_memory(size: Size) -> list[Row]:
    """Return the row of the memory of open streams."""
    return [
        Row(
            role=PROCESSOR,
            what="memory of open streams and tickets",
            unit="bytes",
            mechanism="bounds of the settings",
            ordinary=None,
            budget=size.memory,
        ),
    ]


def releases(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a gateway's release decisions."""
    return [
        *_release_outcomes(size, costs),
        *_peer_counts(size, costs),
        *_peer_messages(size, costs),
    ]


def _release_outcomes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the outcomes needed for a vote and of the time to evaluate them."""
    trial = size.release.services_on_trial
    release = size.release
    role = "gateway: release decisions"
    outcomes_a_second = size.requests_a_gateway / size.fleet.services * trial
    outcomes = outcomes_a_second / trial * release.stage_s * release.share_on_trial
    on_trial = size.instances_a_service
    return [
        Row(
            role=RELEASES,
            what="outcomes that a vote rests on, over a gateway's own of the build in a stage",
            unit="number",
            mechanism="`policy/change_detection.py`: a gateway's own outcomes, and peers' counts",
            ordinary=Figure(release.outcomes_wanted / outcomes),
            budget=1.0,
        ),
        Row(
            role=RELEASES,
            what="processor time of the outcomes of what is on trial",
            unit="core",
            mechanism="`policy/change_detection.py`",
            ordinary=costs.scaled(role, "one outcome weighed", on_trial, outcomes_a_second * MICROSECOND),
            budget=size.budget.core_share,
        ),
    ]


def _peer_counts(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the entries and the memory of peers' counts."""
    release = size.release
    role = "gateway: release decisions"
    incarnations = size.gateway_restarts_a_day * release.process_days + size.fleet.gateways
    return [
        Row(
            role=RELEASES,
            what="entries of peers' counts",
            unit="number",
            mechanism="`state/peers.py`: by peer, build and method, of the present life alone",
            ordinary=Figure(size.fleet.gateways * BUILDS * METHODS),
        ),
        Row(
            role=RELEASES,
            what="memory of peers' counts",
            unit="bytes",
            mechanism="`state/peers.py`: bounded in peers, builds and earlier lives",
            ordinary=costs.at(role, "memory of peers' counts", size.fleet.gateways),
            burst=costs.at(role, "memory of peers' counts", incarnations),
            burst_is=f"after {release.process_days:g} days of restarts",
            budget=size.memory,
            **costs.versions(role, "memory of peers' counts", incarnations),
        ),
    ]


def _peer_messages(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of peers' counts sent and received."""
    trial = size.release.services_on_trial
    release = size.release
    role = "gateway: release decisions"
    payload_bytes = BUILDS * (PEER_HEAD_BYTES + METHODS * PEER_ROW_BYTES)
    sent = -(-CONTACTED_PEERS // release.share_on_trial) * payload_bytes * trial
    return [
        Row(
            role=RELEASES,
            what="peers' counts sent",
            unit="bytes/s",
            mechanism="`policy/gossip.py`: to the next peers by number, once a second",
            ordinary=Figure(sent),
            budget=size.budget.bytes_a_second,
        ),
        Row(
            role=RELEASES,
            what="processor time of peers' counts heard",
            unit="core",
            mechanism="`state/peers.py`",
            ordinary=costs.scaled(
                role, "one peer's message", size.fleet.gateways, sent / payload_bytes * MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
    ]


def membership(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a gateway's membership in leases."""
    return [
        *_membership_messages(size, costs),
        *_membership_core(size, costs),
    ]


def _membership_messages(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of calls and bytes."""
    role = "lease quorum: a seat"
    members = size.fleet.gateways
    quorum_size = size.budget.quorum_members
    exchanged = total(costs.at(role, "bytes in", members), costs.at(role, "bytes out", members))
    calls = costs.scaled(role, "calls in", members, quorum_size / members)
    return [
        Row(
            role=MEMBER,
            what="calls to the quorum",
            unit="1/s",
            mechanism="`fleet/leases/proposer.py`",
            ordinary=calls,
        ),
        Row(
            role=MEMBER,
            what="bytes sent and heard, the link's own not counted",
            unit="bytes/s",
            mechanism="`peering/connections.py`",
            ordinary=times(exchanged, quorum_size / members),
            budget=size.budget.bytes_a_second,
        ),
    ]


def _membership_core(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of processor time and memory."""
    members = size.fleet.gateways
    return [
        Row(
            role=MEMBER,
            what="processor time of the core; the link not counted",
            unit="core",
            mechanism="`fleet/leases/proposer.py`",
            ordinary=costs.scaled(
                "gateway: membership in leases", "processor time of the core", members, MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
        Row(
            role=MEMBER,
            what="memory of the core and the link",
            unit="bytes",
            mechanism="`fleet/leases/proposer.py`, `peering/connections.py`",
            ordinary=None,
            budget=size.memory,
        ),
    ]
