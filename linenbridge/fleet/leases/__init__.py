"""Leases: each task has a number of slots, and each slot is held by one member at a time.

`acceptor` grants leases and keeps them in `granted_leases` and `queues`; `proposer` requests and holds them,
with one `lease_state` for each task; `recovery` decides when an acceptor may grant again after a restart or a
change of the quorum; `quorum` counts majorities; `messages` holds the types on the wire, `decisions` those
for the host, and `stored_state` those in the store. These modules do no I/O; `linenbridge.fleet.hosting` runs
them.
"""
