"""Rows of the control machines, of discovery and of the platform."""

from __future__ import annotations

from tests.scale.page.distribution import DISTRIBUTOR, PUBLISHER, distributor, publisher
from tests.scale.page.families import Outcomes
from tests.scale.page.figures import MICROSECOND, Costs, Figure, Row, times
from tests.scale.page.size import Size

QUORUM_MEMBER = "a seat of the lease quorum"
DISCOVERY = "discovery as we use it"
PLATFORM = "the platform as we use it"
ROLES = (QUORUM_MEMBER, DISTRIBUTOR, PUBLISHER, DISCOVERY, PLATFORM)


def rows(size: Size, costs: Costs, outcomes: Outcomes) -> list[Row]:
    """Return all rows of this module in the order of the page."""
    return [
        *quorum_member(size, costs),
        *distributor(size, costs, outcomes),
        *publisher(size, costs),
        *discovery(size, costs),
        *platform(size, costs),
    ]


def quorum_member(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of an acceptor of the lease quorum."""
    return [
        *_quorum_calls(size, costs),
        *_quorum_messages(size, costs),
        *_quorum_state(size, costs),
    ]


def _quorum_calls(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the calls and of the members."""
    role = "lease quorum: a seat"
    members = size.fleet.gateways
    restarting_together = f"{size.gateways_restarting:,.0f} gateways restart together"
    return [
        Row(
            role=QUORUM_MEMBER,
            what="calls in",
            unit="1/s",
            mechanism="`fleet/leases/acceptor.py`",
            ordinary=costs.at(role, "calls in", members),
            burst=costs.at(role, "calls in when a tenth of the members restart", members),
            burst_is=restarting_together,
        ),
        Row(
            role=QUORUM_MEMBER,
            what="entries: members that wait or hold, of one task",
            unit="number",
            mechanism="`fleet/leases/granted_leases.py`, `fleet/leases/queues.py`",
            ordinary=Figure(members),
        ),
    ]


def _quorum_messages(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the processor time and the bytes of the calls."""
    role = "lease quorum: a seat"
    members = size.fleet.gateways
    return [
        Row(
            role=QUORUM_MEMBER,
            what="processor time of the core; link and disk not counted",
            unit="core",
            mechanism="`fleet/leases/acceptor.py`",
            ordinary=costs.scaled(role, "processor time of the core", members, MICROSECOND),
            budget=size.budget.core_share_a_machine,
        ),
        Row(
            role=QUORUM_MEMBER,
            what="bytes in",
            unit="bytes/s",
            mechanism="`peering/connections.py`",
            ordinary=costs.at(role, "bytes in", members),
        ),
        Row(
            role=QUORUM_MEMBER,
            what="bytes out",
            unit="bytes/s",
            mechanism="`peering/connections.py`",
            ordinary=costs.at(role, "bytes out", members),
        ),
    ]


def _quorum_state(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of memory, link and disk."""
    role = "lease quorum: a seat"
    members = size.fleet.gateways
    return [
        Row(
            role=QUORUM_MEMBER,
            what="memory of the core",
            unit="bytes",
            mechanism="`fleet/leases/granted_leases.py`, `fleet/leases/queues.py`",
            ordinary=costs.at(role, "memory of the core", members),
        ),
        Row(
            role=QUORUM_MEMBER,
            what="processor time of the link, and of the store's disk writes",
            unit="core",
            mechanism="`peering/connections.py`, `fleet/store/`",
            ordinary=None,
            budget=size.budget.core_share_a_machine,
        ),
    ]


def discovery(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of discovery."""
    return [
        *_discovery_changes(size, costs),
        *_discovery_lists(size, costs),
    ]


def _discovery_changes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the watches and the bytes of changes."""
    full_list = costs.at("discovery", "bytes of a whole list", size.fleet.instances)
    change = times(full_list, 1 / size.fleet.instances)
    return [
        Row(
            role=DISCOVERY,
            what="watches open",
            unit="number",
            mechanism="one for each gateway",
            ordinary=Figure(size.fleet.gateways),
        ),
        Row(
            role=DISCOVERY,
            what="bytes of changes out, each to every gateway",
            unit="bytes/s",
            mechanism="a line of the watch",
            ordinary=times(change, size.list_changes_a_second * size.fleet.gateways),
            burst=times(change, size.instances_a_zone * size.fleet.gateways / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force",
        ),
    ]


def _discovery_lists(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of full lists and of the discovery service itself."""
    full_list = costs.at("discovery", "bytes of a whole list", size.fleet.instances)
    return [
        Row(
            role=DISCOVERY,
            what="bytes of whole lists when gateways restart together",
            unit="bytes",
            mechanism="a restarted gateway hears the whole list",
            ordinary=None,
            burst=times(full_list, size.gateways_restarting),
            burst_is=f"{size.gateways_restarting:,.0f} gateways restart together",
        ),
        Row(
            role=DISCOVERY,
            what="processor time and memory of discovery itself",
            unit="core",
            mechanism="not ours",
            ordinary=None,
        ),
    ]


def platform(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the platform."""
    return [
        *_votes(size, costs),
        *_platform_itself(size),
    ]


def _votes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the votes and their bytes."""
    votes = size.fleet.gateways * size.release.services_on_trial / size.release.vote_renewal_s
    one = costs.at("platform", "bytes of votes", 1)
    return [
        Row(
            role=PLATFORM,
            what="votes in",
            unit="1/s",
            mechanism="`policy/rollout_votes.py`: a standing vote renewed by each gateway, "
            "for each service on trial",
            ordinary=Figure(votes),
        ),
        Row(
            role=PLATFORM,
            what="bytes of votes in, each on a connection of its own",
            unit="bytes/s",
            mechanism="`net/platform.py`",
            ordinary=times(one, votes),
        ),
    ]


def _platform_itself(size: Size) -> list[Row]:
    """Return the rows of heartbeats and of the platform itself."""
    return [
        Row(
            role=PLATFORM,
            what="signs of life out",
            unit="1/s",
            mechanism="the feed, one a second a gateway",
            ordinary=Figure(size.fleet.gateways),
        ),
        Row(
            role=PLATFORM,
            what="processor time and memory of the platform itself",
            unit="core",
            mechanism="not ours",
            ordinary=None,
        ),
    ]
