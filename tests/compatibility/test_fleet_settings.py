"""The element `fleet` of the settings is read to the same values and faults as at commit 4d24a08.

The record is `data/fleet_settings.json`, written by `record_fleet_hosting.py`.
"""

from __future__ import annotations

from typing import Any

from linenbridge.configuration.read import ConfigurationError, parse
from linenbridge.fleet.configuration import FleetSettings, fleet_settings


def values(settings: FleetSettings | None) -> dict[str, Any] | None:
    """The settings in the record's form."""
    if settings is None:
        return None
    quorum = settings.quorum
    return {
        "member": settings.member,
        "listen": list(settings.listen),
        "store": settings.store,
        "trusted": settings.store_never_goes_back,
        "pace": list(settings.timing),
        "members": {name: list(address) for name, address in settings.members.items()},
        "quorum": [quorum.generation, list(quorum.acceptors), list(quorum.previous)],
        "first_term": settings.first_term,
        "errands": [
            {
                "task": task.task,
                "places": task.slots,
                "act": None if task.action_address is None else list(task.action_address),
                "every": task.action_interval,
            }
            for task in settings.tasks
        ],
        "restarts_within": settings.restart_timeout,
        "windows": list(settings.windows),
    }


def read_settings(text: str) -> tuple[dict[str, Any] | None, str]:
    """The values of the settings, or the error."""
    try:
        return values(fleet_settings(parse(text.encode(), "/etc/fleet/x.xml"))), ""
    except ConfigurationError as error:
        return None, str(error)


def test_settings_are_read_to_equal_values_or_the_same_faults(record):
    rows = record("fleet_settings")

    for row in rows:
        error = row["error"].replace("`seat.returned`", "`acceptor.recovered`")  # the event's present name
        assert read_settings(row["text"]) == (row["values"], error), row["case"]

    assert len(rows) == 26
    assert sum(bool(row["error"]) for row in rows) == 16
