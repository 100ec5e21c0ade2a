"""The packed view of one gateway: routes, tenants, instances and zones of the whole installation.

The package owns the content of every region's log that a gateway holds in memory. It performs no I/O: the
host applies batches and ranges between two requests and writes the changed pages to
`distribution/storage/view_store.py`. `view.View` is the only class that a host calls. The records of each
kind are in a table of their own (`routes`, `tenants`, `instances`, `zones`, `rejections`, `regions`), packed,
so that the view of a large installation fits into the memory of a gateway. `serving` adapts a view for the
external processor and the decision module; `values` has the checks that publishers apply to a change as well.
"""
