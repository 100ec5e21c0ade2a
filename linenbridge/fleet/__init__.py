"""Coordination among the gateways of an installation, where they may talk to each other.

`leases` decides who holds a fleet-wide task, `store` keeps an acceptor's records on disk, `freezes` decides
when rollouts are frozen, `hosting` runs all of these on Twisted's reactor, and `configuration` reads the
settings. None of it is imported by a gateway on the users' platform. How it works: docs/fleet-together.md;
how to run it: docs/oncall-fleet.md.
"""
