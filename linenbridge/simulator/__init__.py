"""The interface to the simulator, which exchanges messages over standard input and output.

`messages` has the type of every message. `adapter` converts events to calls of the decision module in
`linenbridge.policy`, and its decisions to messages.
"""
