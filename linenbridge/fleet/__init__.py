"""What the copies of linenbridge do together, in installations where gateways may talk to each other.

Leases for fleet-wide tasks, the links between members, what outlives a process. Nothing here is imported by
the platform's gateway. How it is made: docs/fleet-together.md; how to run it: docs/oncall-fleet.md.
"""
