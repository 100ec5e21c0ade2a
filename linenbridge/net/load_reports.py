"""Parses the load reports that instances append to their responses."""

from __future__ import annotations

import re

from linenbridge.startup import LOAD_REPORT_FIELDS

# The format is defined in PROTOCOL, Gateways to instances.
LOAD_REPORT = re.compile(rb"[a-z_]+=\d{1,9}(\.\d{1,9})?(,[a-z_]+=\d{1,9}(\.\d{1,9})?)*")


def load_report(text: bytes | memoryview | None) -> dict[str, float]:
    """Return the values of a load report by the decision module's names; empty if the report is malformed."""
    load: dict[str, float] = {}
    if text is None or not LOAD_REPORT.fullmatch(text):
        return load
    for part in bytes(text).split(b","):
        name, _, value = part.partition(b"=")
        if (field_name := LOAD_REPORT_FIELDS.get(name.decode())) is not None:
            load[field_name] = float(value)
    return load
