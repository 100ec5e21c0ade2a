"""Rows of the distribution of configuration: the relays and the publisher."""

from __future__ import annotations

from tests.scale.page.families import Outcomes
from tests.scale.page.figures import MICROSECOND, Costs, Figure, Row, times
from tests.scale.page.size import Size

DISTRIBUTOR = "whoever distributes configuration"
PUBLISHER = "the publisher of changes"


def _keys(size: Size) -> int:
    """Return the number of keys: rule sets, tenants and instances of the installation."""
    return size.fleet.services + size.configuration.tenants + size.fleet.instances


def distributor(size: Size, costs: Costs, outcomes: Outcomes) -> list[Row]:
    """Return the rows of the relays."""
    return [
        *_relay_tables(size, costs),
        *_relay_feed(size, costs),
        *_follower_bytes(size, costs),
        *_propagation(size, outcomes),
        *_regions(size, outcomes),
    ]


def _relay_tables(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a relay's entries, memory and changes."""
    changes = size.configuration_changes_a_second + size.list_changes_a_second
    keys = _keys(size)
    relay = "relay"
    return [
        Row(
            role=DISTRIBUTOR,
            what="entries: routes' sets, tenants, instances",
            unit="number",
            mechanism="`distribution/dissemination/compacted_log.py`, off in `run`",
            ordinary=Figure(keys),
        ),
        Row(
            role=DISTRIBUTOR,
            what="memory of the tables at a relay",
            unit="bytes",
            mechanism="`distribution/dissemination/compacted_log.py`, off in `run`",
            ordinary=costs.at(relay, "memory of the tables", keys, "after"),
        ),
        Row(
            role=DISTRIBUTOR,
            what="changes in",
            unit="1/s",
            mechanism="`distribution/log/replica.py`, `distribution/dissemination/follower.py`, off in `run`",
            ordinary=Figure(changes),
            burst=Figure(1.0),
            burst_is="a zone is lost: one change",
        ),
    ]


def _relay_feed(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a relay's followers and the processor time of its feed."""
    followers = size.fleet.gateways / size.budget.relays
    relay = "relay"
    with_one_lost = size.fleet.gateways / (size.budget.relays - 1)
    lost = "a relay is lost"
    core = size.budget.core_share_a_machine
    return [
        Row(
            role=DISTRIBUTOR,
            what="gateways that follow one relay",
            unit="number",
            mechanism="`distribution/dissemination/feed.py`, off in `run`",
            ordinary=Figure(followers),
            burst=Figure(with_one_lost),
            burst_is=lost,
        ),
        Row(
            role=DISTRIBUTOR,
            what="processor time of a relay's feed; links and disk not counted",
            unit="core",
            mechanism="`distribution/dissemination/feed.py`, off in `run`",
            ordinary=costs.scaled(relay, "processor time of the feed", followers, MICROSECOND, "after"),
            burst=costs.scaled(relay, "processor time of the feed", with_one_lost, MICROSECOND, "after"),
            burst_is=lost,
            budget=core,
        ),
    ]


def _follower_bytes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the bytes to a gateway."""
    followers = size.fleet.gateways / size.budget.relays
    relay = "relay"
    all_tables = costs.at(relay, "bytes of all tables", size.fleet.instances, "after")
    return [
        Row(
            role=DISTRIBUTOR,
            what="bytes to each gateway, the link's own not counted",
            unit="bytes/s",
            mechanism="`distribution/dissemination/feed.py`: a batch of changes, off in `run`",
            ordinary=costs.at(relay, "bytes to a follower", followers, "after"),
            budget=size.budget.bytes_a_second,
        ),
        Row(
            role=DISTRIBUTOR,
            what="everything to a gateway that has nothing, within its bytes' budget",
            unit="s",
            mechanism="`distribution/dissemination/feed.py`: whole ranges, off in `run`",
            ordinary=None,
            burst=times(all_tables, 1 / size.budget.bytes_a_second),
            burst_is="a gateway whose store is gone",
        ),
    ]


def _propagation(size: Size, outcomes: Outcomes) -> list[Row]:
    """Return the rows that the scale tests measure: propagation and the costs at a gateway."""
    return [
        Row(
            role=DISTRIBUTOR,
            what="a change in force everywhere, at the most",
            unit="s",
            mechanism="publisher, relays, followers, off in `run`: the scale tests below",
            ordinary=outcomes.steady("max_ms", 1e-3),
            burst=outcomes.faulty("max_ms", 1e-3),
            burst_is="a fault of the scale tests",
            budget=size.configuration.in_force_s,
        ),
        Row(
            role=DISTRIBUTOR,
            what="processor time at a gateway, its link included",
            unit="core",
            mechanism="`distribution/dissemination/follower.py`, `distribution/view/`, off in `run`: "
            "the scale tests below",
            ordinary=outcomes.steady("gateway_share"),
            burst=outcomes.faulty("gateway_share"),
            burst_is="a fault of the scale tests",
            budget=size.budget.core_share,
        ),
    ]


def _regions(size: Size, outcomes: Outcomes) -> list[Row]:
    """Return the rows of the bytes at a gateway and of the changes exchanged after a partition."""
    changes = size.configuration_changes_a_second + size.list_changes_a_second
    return [
        Row(
            role=DISTRIBUTOR,
            what="bytes in at a gateway",
            unit="bytes/s",
            mechanism="`distribution/dissemination/follower.py`, off in `run`: the scale tests below",
            ordinary=outcomes.steady("bytes_in"),
            burst=outcomes.faulty("bytes_in"),
            burst_is="a fault of the scale tests",
            budget=size.budget.bytes_a_second,
        ),
        Row(
            role=DISTRIBUTOR,
            what="changes that one region lacks when it meets the others again",
            unit="number",
            mechanism="`distribution/dissemination/feed.py`: what lies behind, or ranges by digests",
            ordinary=Figure(0.0),
            burst=Figure(changes * size.failures.partition_hours * 3600 * (1 - 1 / size.fleet.regions)),
            burst_is=f"cut off for {size.failures.partition_hours:g} h",
        ),
    ]


def publisher(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the publisher."""
    return [
        *_published_changes(size),
        *_publisher_costs(size, costs),
    ]


def _published_changes(size: Size) -> list[Row]:
    """Return the rows of the rate of changes."""
    changes = size.configuration_changes_a_second
    return [
        Row(
            role=PUBLISHER,
            what="changes of routes and tenants, all regions",
            unit="1/s",
            mechanism="`distribution/log/publisher.py`, off in `run`",
            ordinary=Figure(changes),
        ),
        Row(
            role=PUBLISHER,
            what="changes of the instance list, all regions",
            unit="1/s",
            mechanism="`distribution/log/publisher.py`, off in `run`",
            ordinary=Figure(size.list_changes_a_second),
            burst=Figure(size.instances_a_zone),
            burst_is="a zone in one second, told one by one",
        ),
    ]


def _publisher_costs(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the publisher's processor time and memory."""
    changes = size.configuration_changes_a_second
    core = size.budget.core_share_a_machine
    a_region = (changes + size.list_changes_a_second) / size.fleet.regions
    keys = _keys(size)
    return [
        Row(
            role=PUBLISHER,
            what="processor time of one region's; links not counted",
            unit="core",
            mechanism="`distribution/log/publisher.py`, off in `run`",
            ordinary=costs.scaled(
                "publisher", "one change accepted", keys / size.fleet.regions, a_region * MICROSECOND, "after"
            ),
            budget=core,
        ),
        Row(
            role=PUBLISHER,
            what="memory of the log",
            unit="bytes",
            mechanism="`distribution/log/region_log.py`, off in `run`",
            ordinary=None,
        ),
    ]
