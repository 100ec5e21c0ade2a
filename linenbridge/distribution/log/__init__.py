"""The replicated log of one region: its publisher, its replicas, and the recovery of a new publisher.

`publisher.py` appends changes and replicates them to the region's relays; `replication.py` tracks the state
of one relay. With `recovery.py` a new publisher reads the log before it appends. `replica.py` is a relay's
copy of the log, and `region_log.py` holds a log in memory. `change_requests.py` responds to change clients,
and `propagation.py` tracks which changes are in force. All of them are state machines without I/O
(`linenbridge/distribution/decisions.py`).
"""
