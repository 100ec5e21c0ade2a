"""The simulator's host: messages on standard input and output before the decisions of `linenbridge.policy`.

`messages` holds the form of every message, `adapter` makes calls of events and messages of decisions.
"""
