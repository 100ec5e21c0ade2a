"""Decoders of the messages that each end of a connection accepts.

Any other message closes the connection of its sender (`linenbridge/peering/connections.py`).
"""

from __future__ import annotations

from msgspec.msgpack import Decoder

from linenbridge.distribution.messages import (
    Append,
    Appended,
    Batch,
    Digests,
    Fetch,
    Fetched,
    Follow,
    Prepare,
    Prepared,
    Progress,
    Publish,
    Published,
    FollowRejected,
    RangeSnapshot,
)

RELAY_DECODER = Decoder(Prepare | Fetch | Append | Follow | Progress | Digests)
FOLLOWER_DECODER = Decoder(Batch | RangeSnapshot | FollowRejected)
PUBLISHER_DECODER = Decoder(Prepared | Fetched | Appended | Progress)  # at a publisher, from relays
CHANGE_REQUEST_DECODER = Decoder(Publish)  # at a publisher, from change clients
CHANGE_CLIENT_DECODER = Decoder(Published)
