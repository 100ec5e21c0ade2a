"""State of the decision module: typed records and counters that `linenbridge.policy` reads and updates.

These modules make no decisions; callers pass in the time constants with which figures decay.
"""
