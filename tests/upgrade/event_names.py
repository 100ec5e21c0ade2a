"""Names of log events and their fields at the base, in this version's terms.

The installation of the tests waits for events by their present names; a line that the base wrote is read with
the names on the right. An event that is not named here has the same name in both.
"""

from __future__ import annotations

# At the base -> in this version. Both are plain names of events; fields are renamed in every event.
EVENTS: dict[str, str] = {
    "act.failed": "task_action.failed",
    "act.refused": "task_action.rejected",
    "council.lost": "quorum.lost",
    "council.moves": "quorum.changing",
    "council.newer": "quorum.newer_generation",
    "distribution.change_refused": "distribution.change_rejected",
    "distribution.life_began": "distribution.incarnation_began",
    "distribution.misnamed": "distribution.name_mismatch",
    "distribution.reading": "distribution.log_recovery",
    "distribution.refused_change": "distribution.rejected_change",
    "distribution.refused_follower": "distribution.follower_rejected",
    "distribution.spoilt": "distribution.malformed",
    "distribution.stranger": "distribution.unauthorized_peer",
    "fleet.refused": "fleet.settings_rejected",
    "fleet.reloaded": "fleet.settings_reloaded",
    "link.lost": "peer.disconnected",
    "link.malformed": "peer.malformed",
    "link.stranger": "peer.unauthorized",
    "link.too_long": "peer.message_too_long",
    "link.too_many": "peer.too_many_connections",
    "link.unread": "peer.send_buffer_full",
    "link.up": "peer.connected",
    "seat.aside": "acceptor.recovering",
    "seat.returned": "acceptor.recovered",
    "task.held": "task.acquired",
}
FIELDS: dict[str, str] = {"far": "peer", "life": "incarnation"}


def in_present_terms(row: dict) -> dict:
    """A line of the base's log with this version's names."""
    renamed = {FIELDS.get(name, name): value for name, value in row.items()}
    return {**renamed, "event": EVENTS.get(row["event"], row["event"])}
