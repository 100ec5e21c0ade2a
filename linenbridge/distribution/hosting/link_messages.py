"""Which messages each side of a link takes; any other costs its sender the connection.

Owns the decoders of the distribution's links (`fleet/hosting/links.py`).
"""

from __future__ import annotations

from msgspec.msgpack import Decoder

from linenbridge.distribution.messages import (
    Append, Appended, Batch, Digests, Fetch, Fetched, Follow, Prepare, Prepared, Progress, Publish, Published,
    FollowRejected, RangeSnapshot,
)  # fmt: skip

RELAY_TAKES = Decoder(Prepare | Fetch | Append | Follow | Progress | Digests)
FOLLOWER_TAKES = Decoder(Batch | RangeSnapshot | FollowRejected)
PUBLISHER_TAKES = Decoder(Prepared | Fetched | Appended | Progress)
PUBLISHER_TAKES_OF_AUTHORS = Decoder(Publish)
AUTHOR_TAKES = Decoder(Published)
