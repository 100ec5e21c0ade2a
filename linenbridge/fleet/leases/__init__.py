"""Leases: each task has a number of places, and each place is held by one member at a time.

`acceptor` grants leases, `proposer` requests and holds them, `returning` decides when an acceptor may
grant again after a restart or a change of the quorum, `quorum` counts majorities, `messages` holds the
message types. These modules do no I/O; they are run by `linenbridge.fleet.hosting`.
"""
