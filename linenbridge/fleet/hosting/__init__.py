"""The fleet's state machines on Twisted's reactor: connections, clocks, disks and task actions.

`member` runs the proposer and the acceptor, `freezes` the schedule of rollout freezes, `task_actions` sends
the requests of tasks that this member holds, and `quorum_member` runs a member process that serves no RPCs.
These modules carry out the decisions of `linenbridge.fleet.leases` and `linenbridge.fleet.freezes`.
"""
