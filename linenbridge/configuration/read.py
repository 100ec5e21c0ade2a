"""Parse the settings file and validate it against `schema.xsd`.

This module also converts durations and sizes, and adds the schema's defaults to attributes. Document types,
entities, includes and references to other files are rejected before the file is validated. Defaults are in
the schema, where operators can read them. Each component of the program interprets its own element.
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
    """The settings file is invalid; the text has one line for each fault: `file:line: element: reason`."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A settings file that conforms to the schema; errors start with `path`."""

    path: str
    root: etree._Element
    log_level: str = "info"
    lines: tuple[bytes, ...] = ()

    @property
    def folder(self) -> str:
        """The absolute path of the file's folder; paths in the settings are relative to it."""
        return os.path.dirname(os.path.abspath(self.path))

    def part(self, name: str) -> etree._Element | None:
        """Return the top-level element `name`, which configures one component; None if it is left out."""
        return self.root.find(SPACE + name)

    def beside(self, file: str) -> str:
        """Resolve a path in the settings against the folder of the settings file; "" stays ""."""
        return os.path.join(self.folder, file) if file else ""

    def place(self, element: etree._Element) -> str:
        """Return `file:line:column` of an element, for errors."""
        line, name = element.sourceline, etree.QName(element).localname
        text = self.lines[line - 1] if 0 < line <= len(self.lines) else b""
        on_line = [other for other in self.root.iter(element.tag) if other.sourceline == line]
        offsets = [found.start() for found in re.finditer(rb"<%b[\s/>]" % name.encode(), text + b" ")]
        occurrence = on_line.index(element)
        return f"{self.path}:{line}:{offsets[occurrence] + 1 if occurrence < len(offsets) else 1}"

    def error_at(self, element: etree._Element, what: str) -> ConfigurationError:
        """Return the error for an element that conforms to the schema but is invalid for another reason."""
        name = etree.QName(element).localname
        return ConfigurationError(f"{self.path}:{element.sourceline}: element '{name}': {what}")


@cache
def schema() -> etree.XMLSchema:
    """Return the compiled schema."""
    return etree.XMLSchema(etree.fromstring(schema_text()))


def schema_text() -> bytes:
    """Return the content of `schema.xsd`."""
    return resources.files(__package__).joinpath("schema.xsd").read_bytes()


def duration(text: str) -> int:
    """Return a duration such as `3s` in microseconds."""
    digits = text.rstrip("umsh")
    return int(digits) * TIMES[text[len(digits) :]]


def size(text: str) -> int:
    """Return a size such as `64K` in bytes."""
    return int(text.rstrip("KM")) * SIZES.get(text[-1], 1)


def read(path: str) -> Configuration:
    """Read and parse the file at `path`; raise ConfigurationError if it can't be read or is invalid."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    return parse(data, path)


def parse(data: bytes, path: str) -> Configuration:
    """Parse `data`, the content of the file at `path`.

    ConfigurationError names every element that does not conform to the schema.
    """
    if len(data) > MAX_FILE_BYTES:
        raise ConfigurationError(f"{path}: the file is longer than {MAX_FILE_BYTES} bytes, the maximum")
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
    """Raise ConfigurationError for nodes that refer to other files or expand to a larger text."""
    if root.getroottree().docinfo.doctype:
        raise ConfigurationError(f"{path}:1: document types and entities are not allowed; remove <!DOCTYPE>")
    for node in root.iter():
        if node.tag is etree.Entity:
            raise ConfigurationError(
                f"{path}:{node.sourceline}: entities are not allowed; write the text itself"
            )
        if node.tag is etree.PI:
            raise ConfigurationError(
                f"{path}:{node.sourceline}: processing instructions are not allowed; remove them"
            )
        if isinstance(node.tag, str) and node.tag.startswith("{http://www.w3.org/2001/XInclude}"):
            raise ConfigurationError(
                f"{path}:{node.sourceline}: include: XInclude is not allowed; write the elements here"
            )
        for name in node.attrib:
            if name.startswith("{http://www.w3.org/2001/XMLSchema-instance}"):
                where = f"{path}:{node.sourceline}"
                raise ConfigurationError(
                    f"{where}: references to other schemas are not allowed; remove the attribute"
                )


def _plain(message: str) -> str:
    """Return the validator's message without the namespace."""
    return message.replace(SPACE, "").replace("Element '", "element '").rstrip(".")


def child_attributes(parent: etree._Element, name: str) -> dict[str, str]:
    """Return the attributes of the child element `name`, with the schema's defaults for those left out.

    If the child element is left out, all values are defaults.
    """
    element = parent.find(SPACE + name)
    return {**_defaults(name), **(dict(element.attrib) if element is not None else {})}


def attributes(element: etree._Element, kind: str) -> dict[str, str]:
    """Return the attributes of `element`, and for those left out the defaults of the schema's type `kind`."""
    return {**_defaults(kind), **dict(element.attrib)}


@cache
def _defaults(kind: str) -> dict[str, str]:
    space = "{http://www.w3.org/2001/XMLSchema}"
    for found in etree.fromstring(schema_text()).iter(f"{space}complexType"):
        if found.get("name") == kind:
            rows = found.iter(f"{space}attribute")
            return {row.get("name"): row.get("default") for row in rows if row.get("default") is not None}
    return {}
