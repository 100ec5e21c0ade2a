"""Maintenance freezes, which operators announce in a file of windows.

`windows` says when a window is open, `configuration` reads the file, and `schedule` decides which rollouts
are frozen now. Of the planned kinds the rollout freeze exists, `hold` in the file. These modules do no I/O
but for reading the file; `linenbridge.fleet.hosting` runs them.
"""
