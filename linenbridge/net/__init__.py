"""The real gateway: sockets before the decisions of `linenbridge.policy`."""
