"""The element `fleet` of the settings results in the same values and errors as at commit 4d24a08.

`record_fleet_hosting.py` has written the record `data/fleet_settings.json`.
"""

from __future__ import annotations

from typing import Any

from linenbridge.configuration.read import ConfigurationError, parse
from linenbridge.fleet.configuration import FleetSettings, fleet_settings

# Error messages that have been reworded since the record was written, old -> new.
REWORDED = {
    "the lease is longer than `longest`; raise `longest` at all members first": (
        "`lease` is 5s, longer than `longest` (2s); lower `lease`, or raise `longest` at all members first"
    ),
    "a lease has to last three beats; shorten": "`lease` is 5s, shorter than three times `beat`; shorten",
    "clocks may not run apart by half; name the bound that the machines' clocks keep": (
        "`clocks-apart` is 50%, but has to be below 50%; "
        "set it to the upper bound of the clock drift between the machines"
    ),
    "nobody is named": "no member is named",
    "with its address, or mend the name": "with its address, or correct the name",
    "g3 can't join and leave; say one of the two": "g3 has both `joins` and `leaves`; set one of the two",
    "two acceptors change at once; change one acceptor, wait until all acceptors say `seat.returned`": (
        "more than one acceptor joins or leaves; "
        "let only one acceptor join or leave at a time, "
        "and wait until all acceptors have logged `acceptor.recovered` before the next"
    ),
    "the task a is there already; name it once": (
        "the task name a is already in use; give each task its own name, other than `restarts`"
    ),
    "the task restarts is there already; name it once": (
        "the task name restarts is already in use; give each task its own name, other than `restarts`"
    ),
    "a task has 64 places at most": "`places` is 65, above the maximum of 64",
}


def values(settings: FleetSettings | None) -> dict[str, Any] | None:
    """Return the settings in the format of the record."""
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
    """Return the values of the settings in `text`, or None and the error."""
    try:
        return values(fleet_settings(parse(text.encode(), "/etc/fleet/x.xml"))), ""
    except ConfigurationError as error:
        return None, str(error)


def present_error(error: str) -> str:
    """Return a recorded error in its present wording."""
    for old, new in REWORDED.items():
        error = error.replace(old, new)
    return error


def test_each_recorded_element_results_in_the_same_values_or_the_same_error(record):
    rows = record("fleet_settings")

    for row in rows:
        assert read_settings(row["text"]) == (row["values"], present_error(row["error"])), row["case"]

    assert len(rows) == 26
    assert sum(bool(row["error"]) for row in rows) == 16
