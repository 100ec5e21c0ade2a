"""State of the decision module: typed records and counters that the components of `linenbridge.policy` read
and update. Nothing here decides; how fast a figure is forgotten is passed in by the caller.
"""
