"""The rows of the control machines and of what stands around the gateways."""

from __future__ import annotations

from tests.scale.page.families import Outcomes
from tests.scale.page.figures import Costs, Figure, Row
from tests.scale.page.size import Size

MICROSECOND = 1e-6
SEAT = "a seat of the lease quorum"
DISTRIBUTOR = "whoever distributes configuration"
PUBLISHER = "the publisher of changes"
DISCOVERY = "discovery as we use it"
PLATFORM = "the platform as we use it"
ROLES = (SEAT, DISTRIBUTOR, PUBLISHER, DISCOVERY, PLATFORM)


def rows(size: Size, costs: Costs, outcomes: Outcomes) -> list[Row]:
    return [
        *seat(size, costs),
        *distributor(size, costs, outcomes),
        *publisher(size, costs),
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


def distributor(size: Size, costs: Costs, outcomes: Outcomes) -> list[Row]:
    changes = size.configuration_changes_a_second + size.list_changes_a_second
    keys = size.fleet.services + size.configuration.tenants + size.fleet.instances
    followers, relay = size.fleet.gateways / size.budget.relays, "relay"
    with_one_lost = size.fleet.gateways / (size.budget.relays - 1)
    lost, core = "a relay is lost", size.budget.core_share_a_machine
    whole = costs.at(relay, "bytes of all tables", size.fleet.instances, "after")
    return [
        Row(
            role=DISTRIBUTOR, what="entries: routes' sets, tenants, instances", unit="number",
            mechanism="`distribution/table.py`, off in `run`", ordinary=Figure(keys),
        ),
        Row(
            role=DISTRIBUTOR, what="memory of the tables at a relay", unit="bytes",
            mechanism="`distribution/table.py`, off in `run`",
            ordinary=costs.at(relay, "memory of the tables", keys, "after"),
        ),
        Row(
            role=DISTRIBUTOR, what="changes in", unit="1/s",
            mechanism="`distribution/replica.py`, `follower.py`, off in `run`",
            ordinary=Figure(changes), burst=Figure(1.0), burst_is="a zone is lost: one change",
        ),
        Row(
            role=DISTRIBUTOR, what="gateways that follow one relay", unit="number",
            mechanism="`distribution/feed.py`, off in `run`", ordinary=Figure(followers),
            burst=Figure(with_one_lost), burst_is=lost,
        ),
        Row(
            role=DISTRIBUTOR, what="processor time of a relay's feed; links and disk not counted",
            unit="core",
            mechanism="`distribution/feed.py`, off in `run`",
            ordinary=costs.scaled(relay, "processor time of the feed", followers, MICROSECOND, "after"),
            burst=costs.scaled(relay, "processor time of the feed", with_one_lost, MICROSECOND, "after"),
            burst_is=lost, budget=core,
        ),
        Row(
            role=DISTRIBUTOR, what="bytes to each gateway, the link's own not counted", unit="bytes/s",
            mechanism="`distribution/feed.py`: a batch of changes, off in `run`",
            ordinary=costs.at(relay, "bytes to a follower", followers, "after"),
            budget=size.budget.bytes_a_second,
        ),
        Row(
            role=DISTRIBUTOR, what="everything to a gateway that has nothing, within its bytes' budget",
            unit="s", mechanism="`distribution/feed.py`: whole ranges, off in `run`", ordinary=None,
            burst=None if whole is None else whole * (1 / size.budget.bytes_a_second),
            burst_is="a gateway whose store is gone",
        ),
        Row(
            role=DISTRIBUTOR, what="a change in force everywhere, at the most", unit="s",
            mechanism="publisher, relays, followers, off in `run`: the scale tests below",
            ordinary=outcomes.steady("max_ms", 1e-3), burst=outcomes.faulty("max_ms", 1e-3),
            burst_is="a fault of the scale tests", budget=size.configuration.in_force_s,
        ),
        Row(
            role=DISTRIBUTOR, what="processor time at a gateway, its link included", unit="core",
            mechanism="`distribution/follower.py`, `view/`, off in `run`: the scale tests below",
            ordinary=outcomes.steady("gateway_share"), burst=outcomes.faulty("gateway_share"),
            burst_is="a fault of the scale tests", budget=size.budget.core_share,
        ),
        Row(
            role=DISTRIBUTOR, what="bytes in at a gateway", unit="bytes/s",
            mechanism="`distribution/follower.py`, off in `run`: the scale tests below",
            ordinary=outcomes.steady("bytes_in"), burst=outcomes.faulty("bytes_in"),
            burst_is="a fault of the scale tests", budget=size.budget.bytes_a_second,
        ),
        Row(
            role=DISTRIBUTOR, what="changes that one region lacks when it meets the others again",
            unit="number", mechanism="`distribution/feed.py`: what lies behind, or ranges by digests",
            ordinary=Figure(0.0),
            burst=Figure(changes * size.failures.cut_hours * 3600 * (1 - 1 / size.fleet.regions)),
            burst_is=f"cut off for {size.failures.cut_hours:g} h",
        ),
    ]  # fmt: skip


def publisher(size: Size, costs: Costs) -> list[Row]:
    changes, core = size.configuration_changes_a_second, size.budget.core_share_a_machine
    a_region = (changes + size.list_changes_a_second) / size.fleet.regions
    keys = size.fleet.services + size.configuration.tenants + size.fleet.instances
    return [
        Row(
            role=PUBLISHER, what="changes of routes and tenants, all regions", unit="1/s",
            mechanism="`distribution/publisher.py`, off in `run`", ordinary=Figure(changes),
        ),
        Row(
            role=PUBLISHER, what="changes of the instance list, all regions", unit="1/s",
            mechanism="`distribution/publisher.py`, off in `run`",
            ordinary=Figure(size.list_changes_a_second),
            burst=Figure(size.instances_a_zone), burst_is="a zone in one second, told one by one",
        ),
        Row(
            role=PUBLISHER, what="processor time of one region's; links not counted", unit="core",
            mechanism="`distribution/publisher.py`, off in `run`",
            ordinary=costs.scaled(
                "publisher", "one change accepted", keys / size.fleet.regions, a_region * MICROSECOND, "after"
            ),
            budget=core,
        ),
        Row(
            role=PUBLISHER, what="memory of the log", unit="bytes",
            mechanism="`distribution/log.py`, off in `run`", ordinary=None,
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
