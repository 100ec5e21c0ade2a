"""Adapter: the bench's wire on standard input and output before the decisions of `linenbridge.policy`."""
