"""Names of log events and their fields at the base, in this version's terms.

The installation of the tests waits for events by their present names; a line that the base wrote is read with
the names on the right. An event that is not named here has the same name in both.
"""

from __future__ import annotations

# At the base -> in this version.
EVENTS: dict[str, str] = {
    "distribution.misnamed": "distribution.name_mismatch",
    "distribution.refused_follower": "distribution.follower_rejected",
    "distribution.refused_change": "distribution.rejected_change",
    "distribution.spoilt": "distribution.malformed",
    "distribution.stranger": "distribution.unauthorized_peer",
}
FIELDS: dict[str, str] = {}


def in_present_terms(row: dict) -> dict:
    """A line of the base's log with this version's names."""
    renamed = {FIELDS.get(name, name): value for name, value in row.items()}
    return {**renamed, "event": EVENTS.get(row["event"], row["event"])}
