"""The settings file, from XML to checked elements; each part of the program reads its own element of it.

Owns the file's form (`schema.xsd`) and the meaning of its plain values (times, sizes). Document types,
entities, includes and references to other files are rejected before the file is validated. Defaults are in
the schema, where operators can read them; what an element is for is known by the part that reads it.
"""

from __future__ import annotations

import os
import re
from dataclasses import dataclass
from functools import cache
from importlib import resources

from lxml import etree

SPACE = "{urn:linenbridge:premises:1}"
MAX_FILE_BYTES = 1 << 20
TIMES = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}  # microseconds
SIZES = {"K": 1 << 10, "M": 1 << 20}  # bytes


class ConfigurationError(ValueError):
    """The settings are wrong; the text has one line for each place, `file:line: element: what`."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A settings file that is valid by the schema; `path` is given in errors."""

    path: str
    root: etree._Element
    log_level: str = "info"
    lines: tuple[bytes, ...] = ()

    @property
    def folder(self) -> str:
        """The folder of the file, to which paths in it are relative."""
        return os.path.dirname(os.path.abspath(self.path))

    def part(self, name: str) -> etree._Element | None:
        """The element of one part of the program; None where the file has none."""
        return self.root.find(SPACE + name)

    def beside(self, file: str) -> str:
        """The path of a file named in the settings, relative to the settings' folder; "" for ""."""
        return os.path.join(self.folder, file) if file else ""

    def place(self, element: etree._Element) -> str:
        """`file:line:column` of an element, for errors."""
        line, name = element.sourceline, etree.QName(element).localname
        text = self.lines[line - 1] if 0 < line <= len(self.lines) else b""
        on_line = [other for other in self.root.iter(element.tag) if other.sourceline == line]
        offsets = [found.start() for found in re.finditer(rb"<%b[\s/>]" % name.encode(), text + b" ")]
        index = on_line.index(element)
        return f"{self.path}:{line}:{offsets[index] + 1 if index < len(offsets) else 1}"

    def error_at(self, element: etree._Element, what: str) -> ConfigurationError:
        """The error for an element that is valid by the schema and wrong all the same."""
        name = etree.QName(element).localname
        return ConfigurationError(f"{self.path}:{element.sourceline}: element '{name}': {what}")


@cache
def schema() -> etree.XMLSchema:
    """The schema, compiled."""
    return etree.XMLSchema(etree.fromstring(schema_text()))


def schema_text() -> bytes:
    """The schema as it stands in the package."""
    return resources.files(__package__).joinpath("schema.xsd").read_bytes()


def duration(text: str) -> int:
    """A time such as `3s`, in microseconds."""
    digits = text.rstrip("umsh")
    return int(digits) * TIMES[text[len(digits) :]]


def size(text: str) -> int:
    """A size such as `64K`, in bytes."""
    return int(text.rstrip("KM")) * SIZES.get(text[-1], 1)


def read(path: str) -> Configuration:
    """The file at `path`; ConfigurationError where it can't be read or is wrong."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    return parse(data, path)


def parse(data: bytes, path: str) -> Configuration:
    """The settings in `data`, which came from `path`; ConfigurationError names every place that is wrong."""
    if len(data) > MAX_FILE_BYTES:
        raise ConfigurationError(f"{path}: the file is longer than {MAX_FILE_BYTES} bytes")
    parser = etree.XMLParser(
        resolve_entities=False,
        load_dtd=False,
        no_network=True,
        dtd_validation=False,
        huge_tree=False,
        remove_comments=True,
        remove_pis=False,
    )
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        line, column = error.position
        raise ConfigurationError(f"{path}:{line}:{column}: {error.msg}") from None
    _reject_references(root, path)
    document = root.getroottree()
    if not schema().validate(document):
        lines = [f"{path}:{error.line}: {_plain(error.message)}" for error in schema().error_log]
        raise ConfigurationError("\n".join(lines))
    log = root.find(f"{SPACE}log")
    level = log.get("level", "info") if log is not None else "info"
    return Configuration(path, root, level, tuple(data.splitlines()))


def _reject_references(root: etree._Element, path: str) -> None:
    """Rejects whatever refers to other files, or expands to more than the file holds."""
    if root.getroottree().docinfo.doctype:
        raise ConfigurationError(f"{path}:1: document types and entities are not taken")
    for node in root.iter():
        if node.tag is etree.Entity:
            raise ConfigurationError(f"{path}:{node.sourceline}: entities are not taken")
        if node.tag is etree.PI:
            raise ConfigurationError(f"{path}:{node.sourceline}: processing instructions are not taken")
        if isinstance(node.tag, str) and node.tag.startswith("{http://www.w3.org/2001/XInclude}"):
            raise ConfigurationError(f"{path}:{node.sourceline}: include: includes are not taken")
        for name in node.attrib:
            if name.startswith("{http://www.w3.org/2001/XMLSchema-instance}"):
                where = f"{path}:{node.sourceline}"
                raise ConfigurationError(f"{where}: references to other schemas are not taken")


def _plain(message: str) -> str:
    """The validator's message without the namespace."""
    return message.replace(SPACE, "").replace("Element '", "element '").rstrip(".")


def child_attributes(parent: etree._Element, name: str) -> dict[str, str]:
    """A child element's attributes with the schema's defaults, also where the element is left out."""
    element = parent.find(SPACE + name)
    return {**_defaults(name), **(dict(element.attrib) if element is not None else {})}


def attributes(element: etree._Element, kind: str) -> dict[str, str]:
    """An element's own attributes with the schema's defaults for its kind."""
    return {**_defaults(kind), **dict(element.attrib)}


@cache
def _defaults(kind: str) -> dict[str, str]:
    space = "{http://www.w3.org/2001/XMLSchema}"
    for found in etree.fromstring(schema_text()).iter(f"{space}complexType"):
        if found.get("name") == kind:
            rows = found.iter(f"{space}attribute")
            return {row.get("name"): row.get("default") for row in rows if row.get("default") is not None}
    return {}
