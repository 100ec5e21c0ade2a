"""The settings file of an installation: its schema, its reading, and its values and faults.

The platform's own configuration is read by `linenbridge.process.configuration`.
"""
