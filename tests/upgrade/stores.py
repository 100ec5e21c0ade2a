"""Reads what an ended installation has stored: relays' logs and gateways' views, with this version's code."""

from __future__ import annotations

import io
from pathlib import Path
from typing import NamedTuple

from linenbridge.configuration.read import read
from linenbridge.distribution.changes import Change
from linenbridge.distribution.configuration import distribution
from linenbridge.distribution.hosting.gateway import open_view
from linenbridge.distribution.hosting.methods import methods_of
from linenbridge.distribution.storage.log_store import RelayLog
from linenbridge.logging.event_log import Log


class StoredView(NamedTuple):
    """A gateway's view of one region: digest, position, and the keys whose newest value is rejected."""

    digest: int | None
    sequence: int
    rejected: list[str]


def relay_changes(folder: Path, region: str) -> list[Change]:
    """The entries of a relay's log, in order."""
    store = RelayLog(str(folder), region)
    try:
        return store.read().changes
    finally:
        store.close()


def stored_view(settings_file: Path, region: str) -> StoredView:
    """The view in the store that a gateway's settings name; at sequence 0 where there is none."""
    settings = distribution(read(str(settings_file)))
    if settings is None:
        raise ValueError(f"{settings_file}: it has no element distribution")
    view, store = open_view(settings, methods_of(settings), Log(io.BytesIO()))
    try:
        sequences = [position.sequence for position in view.positions() if position.region == region]
        rejected = [str(change) for change in view.rejected()]
        return StoredView(view.digest(region), max(sequences, default=0), rejected)
    finally:
        if store is not None:
            store.close()
