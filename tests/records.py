"""How a day's record writes a decision down: in the form of the base (4d24a08), of which the digests are.

Owns that form alone: the digests in `tests/test_days.py` hold whatever the decisions are called in the code.
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


def base_form(decision: Decision) -> str:
    """One decision as the base showed it: the `repr` of a tuple that starts with its kind."""
    return repr(base_tuple(decision))


def base_tuple(decision: Decision) -> tuple[object, ...]:
    """The tuple that stood for a decision at the base."""
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
            return ("log", decision.text)
