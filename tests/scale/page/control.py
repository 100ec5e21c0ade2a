"""The rows of the control machines and of what stands around the gateways."""

from __future__ import annotations

from tests.scale.page.figures import Costs, Figure, Row
from tests.scale.page.size import Size

MICROSECOND = 1e-6
SEAT = "a seat of the lease quorum"
DISTRIBUTOR = "whoever distributes configuration"
PUBLISHER = "the publisher of changes"
DISCOVERY = "discovery as we use it"
PLATFORM = "the platform as we use it"
ROLES = (SEAT, DISTRIBUTOR, PUBLISHER, DISCOVERY, PLATFORM)
NO_MECHANISM = "none today: see docs/distribution.md for what is to carry it"


def rows(size: Size, costs: Costs) -> list[Row]:
    return [
        *seat(size, costs),
        *distributor(size),
        *publisher(size),
        *discovery(size, costs),
        *platform(size, costs),
    ]


def seat(size: Size, costs: Costs) -> list[Row]:
    role, members = "lease quorum: a seat", size.fleet.gateways
    together = f"{size.gateways_restarting:,.0f} gateways restart together"
    return [
        Row(
            role=SEAT, what="calls in", unit="1/s", mechanism="`fleet/leases/acceptor.py`",
            ordinary=costs.at(role, "calls in", members),
            burst=costs.at(role, "calls in when a tenth of the members restart", members),
            burst_is=together,
        ),
        Row(
            role=SEAT, what="entries: members that wait or hold, of one task", unit="number",
            mechanism="`fleet/leases/guards.py`, `queues.py`", ordinary=Figure(members),
        ),
        Row(
            role=SEAT, what="processor time of the core; link and disk not counted", unit="core",
            mechanism="`fleet/leases/acceptor.py`",
            ordinary=costs.scaled(role, "processor time of the core", members, MICROSECOND),
            budget=size.budget.core_share_a_machine,
        ),
        Row(
            role=SEAT, what="bytes in", unit="bytes/s", mechanism="`fleet/hosting/links.py`",
            ordinary=costs.at(role, "bytes in", members),
        ),
        Row(
            role=SEAT, what="bytes out", unit="bytes/s", mechanism="`fleet/hosting/links.py`",
            ordinary=costs.at(role, "bytes out", members),
        ),
        Row(
            role=SEAT, what="memory of the core", unit="bytes",
            mechanism="`fleet/leases/guards.py`, `queues.py`",
            ordinary=costs.at(role, "memory of the core", members),
        ),
        Row(
            role=SEAT, what="processor time of the link, and of the store's disk writes", unit="core",
            mechanism="`fleet/hosting/links.py`, `fleet/store/`", ordinary=None,
            budget=size.budget.core_share_a_machine,
        ),
    ]  # fmt: skip


def distributor(size: Size) -> list[Row]:
    changes = size.configuration_changes_a_second + size.list_changes_a_second
    return [
        Row(
            role=DISTRIBUTOR, what="changes to hand on, each to every gateway", unit="1/s",
            mechanism=NO_MECHANISM,
            ordinary=Figure(changes * size.fleet.gateways),
            burst=Figure(size.instances_a_zone * size.fleet.gateways / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force, one by one",
        ),
        Row(
            role=DISTRIBUTOR, what="entries: routes' sets, tenants, instances", unit="number",
            mechanism=NO_MECHANISM,
            ordinary=Figure(size.fleet.services + size.configuration.tenants + size.fleet.instances),
        ),
        Row(
            role=DISTRIBUTOR, what="a change in force everywhere", unit="s", mechanism=NO_MECHANISM,
            ordinary=None, budget=size.configuration.in_force_s,
        ),
        Row(
            role=DISTRIBUTOR, what="gateways that follow one relay", unit="number", mechanism=NO_MECHANISM,
            ordinary=Figure(size.fleet.gateways / size.budget.relays),
            burst=Figure(size.fleet.gateways / (size.budget.relays - 1)), burst_is="a relay is lost",
        ),
        Row(
            role=DISTRIBUTOR, what="changes that one region lacks when it meets the others again",
            unit="number", mechanism=NO_MECHANISM, ordinary=Figure(0.0),
            burst=Figure(changes * size.failures.cut_hours * 3600 * (1 - 1 / size.fleet.regions)),
            burst_is=f"cut off for {size.failures.cut_hours:g} h",
        ),
    ]  # fmt: skip


def publisher(size: Size) -> list[Row]:
    changes = size.configuration_changes_a_second
    return [
        Row(
            role=PUBLISHER, what="changes of routes and tenants", unit="1/s", mechanism=NO_MECHANISM,
            ordinary=Figure(changes),
        ),
        Row(
            role=PUBLISHER, what="changes of the instance list", unit="1/s", mechanism=NO_MECHANISM,
            ordinary=Figure(size.list_changes_a_second), burst=Figure(size.instances_a_zone),
            burst_is="a zone in one second, one by one",
        ),
        Row(
            role=PUBLISHER, what="processor time and memory", unit="core", mechanism=NO_MECHANISM,
            ordinary=None, budget=size.budget.core_share_a_machine,
        ),
    ]  # fmt: skip


def discovery(size: Size, costs: Costs) -> list[Row]:
    whole = costs.at("discovery", "bytes of a whole list", size.fleet.instances)
    change = None if whole is None else whole * (1 / size.fleet.instances)
    return [
        Row(
            role=DISCOVERY, what="watches open", unit="number", mechanism="one for each gateway",
            ordinary=Figure(size.fleet.gateways),
        ),
        Row(
            role=DISCOVERY, what="bytes of changes out, each to every gateway", unit="bytes/s",
            mechanism="a line of the watch",
            ordinary=None
            if change is None
            else change * (size.list_changes_a_second * size.fleet.gateways),
            burst=None
            if change is None
            else change * (size.instances_a_zone * size.fleet.gateways / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force",
        ),
        Row(
            role=DISCOVERY, what="bytes of whole lists when gateways restart together", unit="bytes",
            mechanism="a restarted gateway hears the whole list", ordinary=None,
            burst=None if whole is None else whole * size.gateways_restarting,
            burst_is=f"{size.gateways_restarting:,.0f} gateways restart together",
        ),
        Row(
            role=DISCOVERY, what="processor time and memory of discovery itself", unit="core",
            mechanism="not ours", ordinary=None,
        ),
    ]  # fmt: skip


def platform(size: Size, costs: Costs) -> list[Row]:
    votes = size.fleet.gateways * size.release.services_on_trial / size.release.vote_renewal_s
    one = costs.at("platform", "bytes of votes", 1)
    return [
        Row(
            role=PLATFORM, what="votes in", unit="1/s",
            mechanism="`choice/votes.py`: a standing vote renewed by each gateway, for each service on trial",
            ordinary=Figure(votes),
        ),
        Row(
            role=PLATFORM, what="bytes of votes in, each on a connection of its own", unit="bytes/s",
            mechanism="`net/platform.py`", ordinary=None if one is None else one * votes,
        ),
        Row(
            role=PLATFORM, what="signs of life out", unit="1/s", mechanism="the feed, one a second a gateway",
            ordinary=Figure(size.fleet.gateways),
        ),
        Row(
            role=PLATFORM, what="processor time and memory of the platform itself", unit="core",
            mechanism="not ours", ordinary=None,
        ),
    ]  # fmt: skip
