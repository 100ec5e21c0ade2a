"""The file of freezes: windows as operators write them, from the checked XML to plain objects.

Owns what its words stand for. A file with one wrong place is not taken up at all. It must never hold a tuned
value.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from lxml import etree

from linenbridge.configuration.read import (
    SPACE,
    Configuration,
    ConfigurationError,
    attributes,
    duration,
    read,
)  # fmt: skip
from linenbridge.errors import FileFaultError
from linenbridge.fleet.freezes.windows import Window


class FreezesFileError(FileFaultError):
    """One wrong place in the file of freezes."""

    advice = "mend the file and send SIGHUP; until then the windows of the earlier file count"


def windows(path: str) -> tuple[Window, ...]:
    """The windows of the file; ConfigurationError names each wrong place, a line each. "" is no file."""
    return _windows(read(path)) if path else ()


def _windows(file: Configuration) -> tuple[Window, ...]:
    wrong, found = list[FreezesFileError](), dict[str, Window]()
    if file.root.tag != f"{SPACE}freezes":
        raise ConfigurationError(f"{file.place(file.root)}: it holds no freezes; begin it with <freezes>")
    for element in file.root.iterchildren(f"{SPACE}window"):
        try:
            window = _window(attributes(element, "window"))
        except (ValueError, ZoneInfoNotFoundError) as error:
            wrong.append(FreezesFileError(*_said(error, file, element)))
            continue
        if window.name in found:
            where = file.place(element)
            wrong.append(
                FreezesFileError(f"two windows are named {window.name}", where, "give each its own name")
            )
        found[window.name] = window
    if wrong:
        raise ConfigurationError("\n".join(str(error) for error in wrong))
    return tuple(found.values())


def _said(error: Exception, file: Configuration, element: etree._Element) -> tuple[str, str, str]:
    what, _, do = str(error.args[0] if error.args else error).partition("; ")
    return what, file.place(element), do or "mend it"


def _window(said: dict[str, str]) -> Window:
    try:
        zone = ZoneInfo(said["in"])
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ValueError(f"no time zone {said['in']!r}; write one such as Asia/Seoul") from None
    begin = datetime.fromisoformat(said["from"])
    if ("until" in said) == ("for" in said):
        raise ValueError("it ends by `until` or lasts `for`, one of the two; write one")
    end = datetime.fromisoformat(said["until"]) if "until" in said else None
    if end is None:
        end = begin + timedelta(microseconds=duration(said["for"]))
    if end <= begin:
        raise ValueError("it ends before it begins; mend `from` or `until`")
    count, _, step = said["every"].partition(" ")
    last = datetime.fromisoformat(said["last"]) if "last" in said else None
    if last is not None and (not count or last < begin):
        raise ValueError("`last` is for windows that come again, and not before `from`; mend it")
    return Window(
        said["name"], said["kind"], begin, end, zone, frozenset(said["zones"].split()), int(count or 0),
        step.rstrip("s") or "day", last, said["cancelled"] in ("true", "1"),
    )  # fmt: skip
