"""Converts decisions to the tuples and log lines that the code produced at commit 4d24a08.

`tests/days.py` records decisions in this form, and `tests/test_days.py` compares digests of the records.
The form is fixed, so that the digests stay valid when decisions and log messages are renamed in the code.
"""

from __future__ import annotations

from linenbridge.decisions import (
    CancelAttempt,
    CastVote,
    Decision,
    Fail,
    Gossip,
    LogMessage,
    Reject,
    SendAttempt,
    WatchEndpoints,
)
from linenbridge.interface import RolloutPhase, Vote
from linenbridge.policy import change_detection

STATISTIC_TEXTS = {
    change_detection.FAILURES: "failed",
    change_detection.FAILURE_BURST: "failed much",
    change_detection.LATENCY: "slow",
    change_detection.FAILURES + change_detection.OTHER_METHODS_SUFFIX: "failed this hour",
    change_detection.FAILURE_BURST + change_detection.OTHER_METHODS_SUFFIX: "failed much this hour",
}


def recorded_form(decision: Decision) -> str:
    """Return a decision in the recorded form: the `repr` of a tuple that starts with the decision's kind."""
    return repr(recorded_tuple(decision))


def recorded_tuple(decision: Decision) -> tuple[object, ...]:
    """Return the tuple that represented a decision at commit 4d24a08."""
    match decision:
        case SendAttempt():
            return ("pick", decision.rpc_id, decision.instance, decision.timeout)
        case CancelAttempt():
            return ("cancel", decision.rpc_id, decision.attempt)
        case Reject():
            return ("push_back", decision.rpc_id, decision.retry_after)
        case Fail():
            return ("abort", decision.rpc_id)
        case CastVote():
            return ("vote", decision.build, decision.stage, int(decision.vote))
        case Gossip():
            return ("tell", decision.peer, decision.payload)
        case WatchEndpoints():
            return ("watch",)
        case LogMessage():
            return ("log", recorded_sentence(decision))


def recorded_sentence(message: LogMessage) -> str:
    """Return the log line of commit 4d24a08, rebuilt from the fields of the message."""
    fields = message.fields
    match message.event:
        case "alarm" | "alarm_cleared":
            kind = "alarm" if message.event == "alarm" else "clear"
            return (
                f"{kind} {fields['method']} {STATISTIC_TEXTS[fields['statistic']]} build {fields['build']} "
                f"W {fields['value']:.1f} level {fields['threshold']:.1f} ground {fields['baseline']:.3f}"
            )
        case "vote":
            return (
                f"vote {int(Vote[fields['vote'].upper()])} build {fields['build']} stage {fields['stage']} "
                f"told {fields['reported_stage']} outcomes {fields['outcomes']} W {fields['value']:.1f}"
            )
        case "eject":
            gap = fields["mean_response_gap_ms"]
            return f"shun {fields['instance']} gap {gap} ms out {fields['in_flight']}"
        case "rollout":
            phase = int(RolloutPhase[fields["phase"].upper()])
            return f"build {fields['build']} stage {fields['stage']} phase {phase} cap {fields['cap']:g}"
        case "rollout_freeze":
            zones = fields["zones"]
            where = "over" if zones is None else " ".join(zones) or "everywhere"
            return f"hold {where} build {fields['build']} stage {fields['stage']} cap {fields['cap']:g}"
    raise ValueError(f"log message without a recorded form: {message!r}")
