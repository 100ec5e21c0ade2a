"""Versioned configuration and endpoints, distributed to every gateway and applied one change at a time.

The distribution is off if the settings have no element `distribution`; the platform's gateway does not import
it. It is described in `docs/distribution.md`. `changes.py`, `messages.py` and `decisions.py` are common to
all parts: `log/` (publisher, replica, recovery), `dissemination/` (feed, follower, progress), `view/` (a
gateway's tables), `storage/` (files) and `hosting/` (processes).
"""
