"""The settings file of an installation: its schema, the parser, shared value types and collected faults.

The platform's configuration is read by `linenbridge.process.configuration`.
"""
