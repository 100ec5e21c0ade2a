"""Every decision of a linenbridge gateway: read these modules to know what it does.

A host builds one `DecisionModule` per gateway, reports what happens through the `on_...` calls, then pulls
`next_decision(now)` until None and wakes it again at `wake_at()`. The contract and the decision tuples are
in `linenbridge/interface.py`; `linenbridge/state/` only keeps figures. Each module stands on the one before
it and opens with the values tuned for its matter. Order of reading, from the ground up: guards (the rules),
evidence, votes, telling, shedding, choosing, health, placing (the inputs, a turn's decisions in their order).
"""

from linenbridge.policy.dispatch import DecisionModule

__all__ = ["DecisionModule"]
