"""Connections between processes, shared by members, relays, publishers and gateways.

Owns the protocol on these connections (`connections`) and the clock by which both sides measure durations
(`clock`). Defines no messages: the packages that use the connections pass the decoder of their messages.
"""
