"""Leases: named tasks, each held by one member at a time, or by at most as many as the task has places.

`seat` grants, `asker` asks and holds, `returning` is how a seat comes back after a start or a change of the
council, `quorum` counts, `words` are the messages. Cores only: the host is `linenbridge.fleet.hosting`.
"""
