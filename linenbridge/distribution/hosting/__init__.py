"""Hosts of the distribution's state machines: connections, disks, timers and processes on a Twisted reactor.

`server` runs one process by its role: a `relay`, a candidate for `publisher`, or a `gateway` that holds a
view (with its `apply_queue` and `page_writer`). `change_client` sends one change. The shared modules are
`core_driver` (pulls decisions and keeps one timer), `disk_writer` (one write at a time in a thread),
`link_messages` (which messages each end decodes), and `follower_settings` and `methods` (convert settings to
arguments of the state machines). A host makes no decisions itself: it calls the inputs of its state machines
and executes their decisions.
"""
