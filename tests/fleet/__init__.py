"""Tests of the fleet: leases, stores, rollout freezes, settings."""
