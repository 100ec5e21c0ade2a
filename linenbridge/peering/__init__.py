"""Connections between processes: what members, relays, publishers and gateways share to reach each other.

Owns the protocol on these connections (`connections`) and the clock by which both sides measure durations
(`clock`). Knows no message: the packages above pass the decoder of theirs.
"""
