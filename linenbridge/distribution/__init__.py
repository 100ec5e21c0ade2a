"""Versioned configuration and membership, spread to every gateway and applied one change at a time.

Off where the settings have no element `distribution`, and never imported by the platform's gateway.
`docs/distribution.md` tells how it works. Read `changes.py` and `messages.py` first.
"""
