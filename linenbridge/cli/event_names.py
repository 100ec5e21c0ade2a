"""Names of log events, counters and decisions in earlier versions, and their present names.

While a fleet is upgraded one process at a time, its logs have both. `linenbridge logs` counts lines of
earlier versions under the present names, so that each event has one row. Names that are not listed are the
same in all versions.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

EVENTS: Final[Mapping[str, str]] = {
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
    "feed.lost": "rollout_feed.lost",
    "feed.regained": "rollout_feed.regained",
    "fleet.refused": "fleet.settings_rejected",
    "fleet.reloaded": "fleet.settings_reloaded",
    "handed": "dispatched",
    "hold.open": "rollout_freeze.opened",
    "hold.over": "rollout_freeze.ended",
    "keys.refused": "tls.reload.failed",
    "link.lost": "peer.disconnected",
    "link.malformed": "peer.malformed",
    "link.stranger": "peer.unauthorized",
    "link.too_long": "peer.message_too_long",
    "link.too_many": "peer.too_many_connections",
    "link.unread": "peer.send_buffer_full",
    "link.up": "peer.connected",
    "listen.refused": "listen.failed",
    "reload.refused": "reload.rejected",
    "seat.aside": "acceptor.recovering",
    "seat.returned": "acceptor.recovered",
    "store.recalled": "store.loaded",
    "stranger": "unauthorized_peer",
    "task.held": "task.acquired",
}
SOURCES: Final[Mapping[str, str]] = {
    "feed": "rollout_feed",
    "may_have_run": "maybe_executed",
}  # sources of events: values of the field `source`, which earlier versions call `of`
COUNTERS: Final[Mapping[str, str]] = {
    "act": "task_action",
    "admitted.again": "admitted.retry",
    "admitted.full_house": "admitted.capacity_exhausted",
    "admitted.may_have_run": "admitted.maybe_executed",
    "admitted.take": "admitted.accepted",
    "client.cut_off": "client.reset",
    "client.spared": "client.evicted",
    "client.too_much": "client.over_budget",
    "client.turned_away": "client.rejected",
    "feed": "rollout_feed",
    "gone": "client_disconnected",
    "line.spared": "upstream.evicted",
    "line.spent": "upstream.unusable",
    "line": "upstream",
    "malformed.feed": "malformed.rollout_feed",
    "picked": "attempted",
    "refused.may_have_run": "refused.maybe_executed",
    "taken": "accepted",
    "unfit": "invalid",
    "vote.moot": "vote.stale",
} | {
    earlier: present for earlier, present in EVENTS.items() if earlier.startswith("link.")
}  # leading parts of counter names, up to a dot
OUTCOME_COUNTERS: Final = ("answered", "ended", "reported")  # counters whose last part is an outcome
OUTCOMES: Final[Mapping[str, str]] = {
    "aborted": "failed",
    "broken": "connection_lost",
    "full": "overloaded",
    "pushed_back": "rejected",
    "spoilt": "malformed_response",
    "unreached": "connect_failed",
    "unsent": "not_sent",
}
STATISTICS: Final[Mapping[str, str]] = {
    "failed": "failures",
    "failed much": "failure_burst",
    "slow": "latency",
}
VOTES: Final = ("none", "promote", "hold", "roll_back")  # by their number in earlier versions
PHASES: Final = ("on_trial", "rolling_back", "released", "withdrawn")


@dataclass(frozen=True, slots=True)
class DecisionText:
    """A pattern of decision texts in earlier versions, and the kind that they are counted under."""

    pattern: re.Pattern[str]
    row: str


DECISION_TEXTS: Final = (
    DecisionText(re.compile(r"shun .*"), "eject"),
    DecisionText(re.compile(r"alarm (?P<method>\S+) (?P<statistic>.+) build (?P<build>\S+) W .*"), "alarm"),
    DecisionText(
        re.compile(r"clear (?P<method>\S+) (?P<statistic>.+) build (?P<build>\S+) W .*"), "alarm_cleared"
    ),
    DecisionText(
        re.compile(r"vote (?P<vote>[0-3]) build (?P<build>\S+) stage (?P<stage>\S+) told .*"), "vote"
    ),
    DecisionText(
        re.compile(r"build (?P<build>\S+) stage (?P<stage>\S+) phase (?P<phase>[0-3]) cap .*"), "rollout"
    ),
    DecisionText(re.compile(r"set aside .+"), "proxy.distrusted"),
    DecisionText(re.compile(r"hold .* build (?P<build>\S+) stage (?P<stage>\S+) cap .*"), "rollout_freeze"),
)


def event_name(event: str) -> str:
    """Return the present name of an event."""
    return EVENTS.get(event, event)


def counter_name(counter: str) -> str:
    """Return the present name of a counter; of its later parts (a method, a code), only outcomes change."""
    first = counter.partition(".")[0]
    last = counter.rpartition(".")[2]
    if first in OUTCOME_COUNTERS:
        return counter[: len(counter) - len(last)] + OUTCOMES.get(last, last)
    for earlier, present in COUNTERS.items():
        if counter == earlier or counter.startswith(f"{earlier}."):
            return present + counter[len(earlier) :]
    return counter


def decision_row(fields: Mapping[str, object]) -> str:
    """Return the row that a decision is counted under: its kind and subject, without its figures."""
    values = [str(fields[name]) for name in ("method", "statistic", "vote", "phase") if name in fields]
    named = [f"{name} {fields[name]}" for name in ("build", "stage") if name in fields]
    return " ".join([str(fields.get("kind")), *values, *named])


def decision_text_row(text: str) -> str:
    """Return the row of a decision that an earlier version wrote as text; an unknown text is its own row."""
    for decision_text in DECISION_TEXTS:
        if found := decision_text.pattern.fullmatch(text):
            fields: dict[str, object] = {"kind": decision_text.row, **found.groupdict()}
            if "vote" in fields:
                fields["vote"] = VOTES[int(str(fields["vote"]))]
            if "phase" in fields:
                fields["phase"] = PHASES[int(str(fields["phase"]))]
            if "statistic" in fields:
                statistic = str(fields["statistic"])
                fields["statistic"] = STATISTICS.get(statistic, statistic)
            return decision_row(fields)
    return text
