"""Exploration of the lease cores in a small simulated world, schedule by schedule."""
