"""Hosts of the distribution's state machines: connections, disks, timers and processes on a Twisted reactor.

`server` runs one process by its role: a `relay`, a candidate for `publisher`, or a `gateway` that holds a
view (with its `apply_queue` and `page_writer`). `change_client` is the sender of one change. What they share:
`core_driver` (pulls decisions, one timer), `disk_writer` (one write at a time in a thread), `link_messages`
(which messages each end decodes), `follower_settings` and `methods` (from settings to what state machines
take). Nothing here decides: a host calls inputs of state machines and executes their decisions.
"""
