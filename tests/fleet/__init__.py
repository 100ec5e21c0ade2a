"""Tests of the fleet: leases, links, freezes, settings."""
