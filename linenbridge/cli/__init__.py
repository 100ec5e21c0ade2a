"""The command line: `linenbridge COMMAND`, or `python -m linenbridge COMMAND`."""
