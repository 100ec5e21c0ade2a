"""Simulated fleets of lease cores."""
