"""Which messages each side of a link takes; any other costs its sender the connection.

Owns the decoders of the distribution's links (`fleet/hosting/links.py`).
"""

from __future__ import annotations

from msgspec.msgpack import Decoder

from linenbridge.distribution.messages import (
    Append, Appended, Batch, Digests, Fetch, Fetched, Follow, Prepare, Prepared, Progress, Publish, Published,
    Refused, Whole,
)  # fmt: skip

RELAY_DECODER = Decoder(Prepare | Fetch | Append | Follow | Progress | Digests)
FOLLOWER_DECODER = Decoder(Batch | Whole | Refused)
PUBLISHER_DECODER = Decoder(Prepared | Fetched | Appended | Progress)
CHANGE_REQUEST_DECODER = Decoder(Publish)
CHANGE_CLIENT_DECODER = Decoder(Published)
