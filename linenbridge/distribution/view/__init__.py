"""The tables of one gateway: routes, tenants and instances of the whole installation, changed by single keys.

Keeps state without I/O, but for `store.py`. `view.py` is what a host calls; each kind of key has a table of
its own beside it, packed, so that all of a large installation fits beside the process that serves it.
"""
