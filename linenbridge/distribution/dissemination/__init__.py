"""Dissemination of committed changes from a region's relays to every gateway, along a tree of relays.

A relay's `Feed` (`feed.py`) keeps a compacted log of each region (`compacted_log.py`) and sends each follower
what lies behind its position: `sessions.py` has a follower's state, `flow_control.py` its bounds,
`message_builder.py`, `page_cache.py` and `range_transfer.py` the messages. A `Follower` (`follower.py`), in a
gateway or in a relay of another region, selects a relay (`relay_selection.py`, `standby_link.py`,
`relay_links.py`), checks and orders what it receives (`acceptance.py`, `digest_repair.py`) and hands it to
its host. Progress is summed up along the tree (`progress.py`, `progress_reports.py`). All of it decides
without I/O: the packages `hosting` and `storage` carry the decisions out. `docs/distribution.md` explains the
design.
"""
