"""Fleets of lease cores in simulated time."""
