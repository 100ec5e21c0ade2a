"""Dissemination of committed changes from a region's relays to every gateway, along a tree of relays.

A relay's `Feed` (`feed.py`) keeps a compacted log of each region (`compacted_log.py`) and sends each follower
the changes after its position: `sessions.py` has the state of a follower, `flow_control.py` the limits of its
rate and of its unacknowledged bytes, and `message_builder.py`, `page_cache.py` and `range_transfer.py` build
the messages. A `Follower` (`follower.py`), in a gateway or in a relay of another region, selects a relay
(`relay_selection.py`, `standby_link.py`, `relay_links.py`), checks the messages that it receives and their
order (`acceptance.py`, `digest_repair.py`) and hands their changes to its host. Progress is aggregated along
the tree (`progress.py`, `progress_reports.py`). The whole package decides without I/O: the packages `hosting`
and `storage` execute the decisions. `docs/distribution.md` explains the design.
"""
