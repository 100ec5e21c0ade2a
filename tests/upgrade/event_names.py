"""Maps names of log events and fields of the base version to the present names.

`Installation` waits for events by their present names, so lines that the base wrote are translated. An event
that is not listed has the same name in both versions.
"""

from __future__ import annotations

# Name at the base -> present name. `FIELDS` applies to every event.
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
    """Return a log line of the base with the present names of its event and fields."""
    renamed = {FIELDS.get(name, name): value for name, value in row.items()}
    return {**renamed, "event": EVENTS.get(row["event"], row["event"])}
