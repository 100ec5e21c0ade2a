"""Convert the file of freezes from validated XML to typed windows.

Checks what the schema can't express. A file with a fault is rejected as a whole. Defaults are in the schema.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from linenbridge.configuration.faults import SettingsFaults
from linenbridge.configuration.read import (
    SPACE,
    Configuration,
    ConfigurationError,
    attributes,
    duration,
    read,
)
from linenbridge.configuration.values import flag
from linenbridge.errors import FileFaultError
from linenbridge.fleet.freezes.windows import Window

DEFAULT_ADVICE = "correct the date in `from`, `until` or `last`"


class FreezesFileError(FileFaultError):
    """One fault in the file of freezes."""

    advice = "mend the file and send SIGHUP; until then the windows of the earlier file count"


def windows(path: str) -> tuple[Window, ...]:
    """Return the windows of the file at `path`; none if `path` is empty.

    Raise ConfigurationError with one line for each fault.
    """
    return _windows(read(path)) if path else ()


def _windows(file: Configuration) -> tuple[Window, ...]:
    if file.root.tag != f"{SPACE}freezes":
        raise ConfigurationError(
            f"{file.place(file.root)}: the root element is not `freezes`; start the file with <freezes>"
        )
    faults = SettingsFaults(file, FreezesFileError)
    found: dict[str, Window] = {}
    for element in file.root.iterchildren(f"{SPACE}window"):
        try:
            window = _window(attributes(element, "window"))
        except (ValueError, ZoneInfoNotFoundError) as error:
            text = str(error.args[0] if error.args else error)
            what, _, advice = text.partition("; ")
            faults.add(element, what, advice or DEFAULT_ADVICE)
            continue
        if window.name in found:
            faults.add(element, f"two windows are named {window.name}", "give each its own name")
        found[window.name] = window
    faults.raise_all()
    return tuple(found.values())


def _window(values: dict[str, str]) -> Window:
    """Return one window. Raise ValueError with `fault; advice`, or with the library's text about a date."""
    zone = _time_zone(values["in"])
    begin = datetime.fromisoformat(values["from"])
    end = _end(values, begin)
    count, _, unit = values["every"].partition(" ")
    last = datetime.fromisoformat(values["last"]) if "last" in values else None
    if last is not None and (not count or last < begin):
        raise ValueError(
            f"`last` ({values['last']}) requires `every` and must not be before `from`; "
            "correct `last`, or leave it out"
        )
    return Window(
        name=values["name"],
        kind=values["kind"],
        begin=begin,
        end=end,
        time_zone=zone,
        zones=frozenset(values["zones"].split()),
        every=int(count or 0),
        unit=unit.rstrip("s") or "day",
        last=last,
        cancelled=flag(values["cancelled"]),
    )


def _time_zone(name: str) -> ZoneInfo:
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise ValueError(f"unknown time zone {name!r}; set `in` to a name such as Asia/Seoul") from error


def _end(values: dict[str, str], begin: datetime) -> datetime:
    """Return the end of the first occurrence, given by `until` or by `for`."""
    if ("until" in values) == ("for" in values):
        raise ValueError("a window requires either `until` or `for`; write exactly one of the two")
    if "until" in values:
        end = datetime.fromisoformat(values["until"])
    else:
        end = begin + timedelta(microseconds=duration(values["for"]))
    if end <= begin:
        raise ValueError(
            f"the window ends at {end.isoformat()}, which is not after `from` ({values['from']}); "
            "correct one of the two"
        )
    return end
