"""Coordination among the gateways of an installation whose network lets them connect to each other.

`leases` decides which member holds a fleet-wide task, `store` keeps an acceptor's records on disk, `freezes`
decides when rollouts are frozen, `hosting` runs all of these on Twisted's reactor, and `configuration` reads
the settings. A gateway on the users' platform imports none of these packages. How the fleet works:
docs/fleet-together.md; how to run it: docs/oncall-fleet.md.
"""
