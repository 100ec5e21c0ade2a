"""Leases: named tasks, each held by one member at a time, or by at most as many as the task has places.

`acceptor` grants, `proposer` asks and holds, `returning` is how an acceptor comes back after a start or a
change of the quorum, `quorum` counts, `messages` holds the message types. Cores only: the host is
`linenbridge.fleet.hosting`.
"""
