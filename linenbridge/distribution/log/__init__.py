"""The replicated log of one region: its publisher, its replicas, and the recovery of a new publisher.

`publisher.py` appends changes and replicates them to the region's relays, one of which `replication.py`
tracks at a time; `recovery.py` is how a new publisher reads the log first. `replica.py` is a relay's copy,
held in memory by `region_log.py`. `change_requests.py` answers change clients, and `propagation.py` tracks
how far changes are in force. All of them are state machines without I/O
(`linenbridge/distribution/decisions.py`).
"""
