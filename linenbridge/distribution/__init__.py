"""Versioned configuration and endpoints, distributed to every gateway and applied one change at a time.

Off where the settings have no element `distribution`, and not imported by the platform's gateway.
`docs/distribution.md` describes it. `changes.py`, `messages.py` and `decisions.py` are common to all parts:
`log/` (publisher, replica, recovery), `dissemination/` (feed, follower, progress), `view/` (a gateway's
tables), `storage/` (files) and `hosting/` (processes).
"""
