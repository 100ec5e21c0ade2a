"""Fault injection: fake servers on loopback, seeded days of requests with faults, and a rule checker."""
