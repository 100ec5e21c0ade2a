"""The decision module: makes every decision of a linenbridge gateway.

A host creates one `DecisionModule` per gateway, reports events through its `on_...` methods, and calls
`next_decision(now)` until it returns None, after each event and at `wake_at()`. `linenbridge.interface`
defines this contract and `linenbridge.decisions` the decision types. `linenbridge.state` stores records and
counters and makes no decisions.

No module of this package performs I/O or reads a clock: every time is passed in by the host.

Each component has one responsibility and its own state. `DecisionModule` creates the components and passes
each the others that it depends on:

- Rules: `safety_rules` (rules 1 and 2), `slow_start` (rule 4), `exposure` and `rollout_freeze` (rule 5).
- Rollouts: `evidence` collects outcomes of builds, `change_detection` tests them, `rollout_votes` casts this
  gateway's vote, and `gossip` exchanges outcome counts with peers.
- Selection of requests: `priorities` and `load_shedding`.
- Selection of instances: `concurrency_limits`, `outlier_detection` and `load_balancing`.
- Actions: `dispatch` sends attempts, `hedging` repeats or cancels attempts without a response,
  `endpoint_polling` requests the endpoint list.
- Shared: `timing` defines periods and weights, `log_messages` the log messages for operators.
"""

from linenbridge.policy.decision_module import DecisionModule

__all__ = ["DecisionModule"]
