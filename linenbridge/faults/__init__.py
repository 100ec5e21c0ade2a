"""Drills: stand-ins on loopback, seeded days with faults, and checkers of the rules."""
