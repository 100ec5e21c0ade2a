"""Reads the relays' logs and the gateways' views of a stopped installation with the present code."""

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
    """A gateway's stored view of one region; `rejected` lists the keys whose newest value was rejected."""

    digest: int | None
    sequence: int
    rejected: list[str]


def relay_changes(folder: Path, region: str) -> list[Change]:
    """Return the changes in a relay's log, in the order of the log."""
    store = RelayLog(str(folder), region)
    try:
        return store.read().changes
    finally:
        store.close()


def stored_view(settings_file: Path, region: str) -> StoredView:
    """Return the view in the store of a gateway's settings; its sequence is 0 if nothing is stored.

    Raises ValueError if the settings have no element `distribution`.
    """
    settings = distribution(read(str(settings_file)))
    if settings is None:
        raise ValueError(f"{settings_file}: the element distribution is missing; a gateway requires it")
    view, store = open_view(settings, methods_of(settings), Log(io.BytesIO()))
    try:
        sequences = [position.sequence for position in view.positions() if position.region == region]
        rejected = [str(change) for change in view.rejected()]
        return StoredView(view.digest(region), max(sequences, default=0), rejected)
    finally:
        if store is not None:
            store.close()
