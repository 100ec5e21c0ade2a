"""The gateway's networking: connects the decision module of `linenbridge.policy` to real sockets."""
