"""The settings file, from XML to checked elements; each part of the program reads its own element of it.

Owns the file's form (`schema.xsd`) and what its plain words (times, sizes) stand for. Document types,
entities, includes and references to the outside are refused before the schema looks. It must never hold a
tuned value: defaults stand in the schema, where operators can read them; nor know what an element is for.
"""

from __future__ import annotations

import os
import re
from dataclasses import dataclass
from functools import cache
from importlib import resources

from lxml import etree

SPACE = "{urn:linenbridge:premises:1}"
FILE_MOST = 1 << 20
TIMES = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZES = {"K": 1 << 10, "M": 1 << 20}


class ConfigurationError(ValueError):
    """What is wrong with the settings: one line for each place, `file:line: element: what`."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The settings file as a whole: what passed the schema. `path` stands in errors, `folder` is its own."""

    path: str
    root: etree._Element
    log_level: str = "info"
    lines: tuple[bytes, ...] = ()

    @property
    def folder(self) -> str:
        return os.path.dirname(os.path.abspath(self.path))

    def part(self, name: str) -> etree._Element | None:
        """The element of one part of the program, where the file has it."""
        return self.root.find(SPACE + name)

    def beside(self, file: str) -> str:
        """A file named in the settings: its path is told from the settings' folder; "" stays so."""
        return os.path.join(self.folder, file) if file else ""

    def place(self, element: etree._Element) -> str:
        """`file:line:column` of an element, for errors."""
        line, name = element.sourceline, etree.QName(element).localname
        text = self.lines[line - 1] if 0 < line <= len(self.lines) else b""
        alike = [other for other in self.root.iter(element.tag) if other.sourceline == line]
        starts = [found.start() for found in re.finditer(rb"<%b[\s/>]" % name.encode(), text + b" ")]
        nth = alike.index(element)
        return f"{self.path}:{line}:{starts[nth] + 1 if nth < len(starts) else 1}"

    def refused(self, element: etree._Element, what: str) -> ConfigurationError:
        """What is wrong with an element that the schema let pass."""
        name = etree.QName(element).localname
        return ConfigurationError(f"{self.path}:{element.sourceline}: element '{name}': {what}")


@cache
def schema() -> etree.XMLSchema:
    return etree.XMLSchema(etree.fromstring(schema_text()))


def schema_text() -> bytes:
    return resources.files(__package__).joinpath("schema.xsd").read_bytes()


def duration(text: str) -> int:
    """`3s` and the like in microseconds."""
    digits = text.rstrip("umsh")
    return int(digits) * TIMES[text[len(digits) :]]


def size(text: str) -> int:
    return int(text.rstrip("KM")) * SIZES.get(text[-1], 1)


def read(path: str) -> Configuration:
    """The file at `path`; ConfigurationError names every place that is wrong."""
    try:
        with open(path, "rb") as file:
            data = file.read(FILE_MOST + 1)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    return parse(data, path)


def parse(data: bytes, path: str) -> Configuration:
    if len(data) > FILE_MOST:
        raise ConfigurationError(f"{path}: the file is longer than {FILE_MOST} bytes")
    parser = etree.XMLParser(
        resolve_entities=False, load_dtd=False, no_network=True, dtd_validation=False, huge_tree=False,
        remove_comments=True, remove_pis=False,
    )  # fmt: skip
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        line, column = error.position
        raise ConfigurationError(f"{path}:{line}:{column}: {error.msg}") from None
    _closed(root, path)
    document = root.getroottree()
    if not schema().validate(document):
        lines = [f"{path}:{error.line}: {_plain(error.message)}" for error in schema().error_log]
        raise ConfigurationError("\n".join(lines))
    log = root.find(f"{SPACE}log")
    level = log.get("level", "info") if log is not None else "info"
    return Configuration(path, root, level, tuple(data.splitlines()))


def _closed(root: etree._Element, path: str) -> None:
    """Nothing that reaches outside the file, or makes more of it than it is."""
    if root.getroottree().docinfo.doctype:
        raise ConfigurationError(f"{path}:1: document types and entities are not taken")
    for node in root.iter():
        if isinstance(node, etree._Entity):
            raise ConfigurationError(f"{path}:{node.sourceline}: entities are not taken")
        if isinstance(node, etree._ProcessingInstruction):
            raise ConfigurationError(f"{path}:{node.sourceline}: processing instructions are not taken")
        if isinstance(node.tag, str) and node.tag.startswith("{http://www.w3.org/2001/XInclude}"):
            raise ConfigurationError(f"{path}:{node.sourceline}: include: includes are not taken")
        for name in node.attrib:
            if name.startswith("{http://www.w3.org/2001/XMLSchema-instance}"):
                where = f"{path}:{node.sourceline}"
                raise ConfigurationError(f"{where}: references to other schemas are not taken")


def _plain(message: str) -> str:
    """The validator's words without its own names for things."""
    return message.replace(SPACE, "").replace("Element '", "element '").rstrip(".")


def said(parent: etree._Element, name: str) -> dict[str, str]:
    """An element's attributes with the schema's defaults, also where the element is left out."""
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
