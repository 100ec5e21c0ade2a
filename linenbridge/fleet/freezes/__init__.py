"""Maintenance freezes, which operators announce as windows in a file.

`windows` computes when a window is open, `configuration` reads the file, and `schedule` decides which
rollouts are frozen now. The only kind so far is the rollout freeze, `hold` in the file; further kinds are
planned. These modules do no I/O except for reading the file; `linenbridge.fleet.hosting` runs them.
"""
