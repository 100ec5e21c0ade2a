"""Every decision of a linenbridge gateway.

A host builds one `DecisionModule` per gateway, reports what happens through its `on_...` methods, then takes
`next_decision(now)` until None and calls again at `wake_at()`. `linenbridge.interface` holds that contract,
`linenbridge.decisions` the decisions; `linenbridge.state` holds records and counters without decisions.

Each component has one job and its own state, and gets the others that it needs from `DecisionModule`:

- `safety_rules` (rules 1 and 2), `slow_start` (rule 4), `exposure` and `rollout_freeze` (rule 5);
- `evidence`, `change_detection`, `rollout_votes`, `gossip`: outcomes, the test on them, this gateway's vote,
  and what it sends to its peers;
- `priorities`, `load_shedding`, `concurrency_limits`, `outlier_detection`, `load_balancing`: which requests,
  and which instances;
- `dispatch`, `hedging`, `endpoint_polling`: first and further attempts, and the endpoint list;
- `timing`, `log_messages`: shared periods, and the operators' log lines.
"""

from linenbridge.policy.decision_module import DecisionModule

__all__ = ["DecisionModule"]
