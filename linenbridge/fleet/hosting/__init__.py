"""The fleet's state machines on Twisted's reactor: connections, clocks, disks and task actions.

`member` runs the proposer and the acceptor, `freezes` the schedule of rollout freezes, `task_actions` sends
the requests of tasks that this member holds, `quorum_member` is the process that serves no RPCs. What happens
next is decided by `linenbridge.fleet.leases` and `linenbridge.fleet.freezes`, not here.
"""
