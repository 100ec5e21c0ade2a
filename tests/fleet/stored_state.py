"""The content of a simulated acceptor's store after a write."""

from __future__ import annotations

from linenbridge.fleet.leases.decisions import Persist
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState


def state_after(before: StoredState, decision: Persist, facts: AcceptorFacts) -> StoredState:
    """Return the content after one write, with the records in the order in which a store reads them."""
    records = {(record.task, record.slot): record for record in before.records}
    records |= {(record.task, record.slot): record for record in decision.records}
    return StoredState(facts, tuple(records[key] for key in sorted(records)))
