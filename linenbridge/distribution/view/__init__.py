"""The packed view of one gateway: routes, tenants, instances and zones of the whole installation.

The package owns what a gateway holds in memory of every region's log. It performs no I/O: the host applies
batches and ranges between two requests and writes the changed pages to `distribution/storage/view_store.py`.
`view.View` is the only class that a host calls. Each kind of key has a table of its own beside it (`routes`,
`tenants`, `instances`, `zones`, `rejections`, `regions`), packed, so that a large installation fits beside
the process that serves it. `serving` adapts a view for the external processor and the decision module;
`values` holds the checks that publishers apply to a change as well.
"""
