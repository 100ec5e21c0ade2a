"""Converts settings to plain values that do not depend on the names of classes and attributes.

`record_settings.py` uses this module with the code of commit 4d24a08, `test_settings.py` with the present
code.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from lxml import etree

PATH = "/etc/linenbridge/settings.xml"  # path of the recorded documents in error messages
PLACE = re.compile(r"^[^:]*:(\d+(?::\d+)?): ")
SPACE = "{http://www.w3.org/2001/XMLSchema}"

Leaf = tuple[str, Any]


def leaves(value: Any, name: str = "") -> Iterator[Leaf]:
    """Yield each plain value in `value` with its dotted name, in the order of the fields; sets are sorted."""
    if isinstance(value, Enum):
        yield name, value.value
    elif dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            yield from leaves(getattr(value, field.name), f"{name}.{field.name}")
    elif isinstance(value, msgspec.Struct):
        for field_name in value.__struct_fields__:
            yield from leaves(getattr(value, field_name), f"{name}.{field_name}")
    elif isinstance(value, Mapping):
        yield f"{name}.len", len(value)
        for key, item in value.items():
            yield f"{name}.key", str(key)
            yield from leaves(item, f"{name}.{key}")
    elif isinstance(value, list | tuple):
        if not hasattr(value, "_fields"):
            yield f"{name}.len", len(value)
        for index, item in enumerate(value):
            yield from leaves(item, f"{name}.{index}")
    elif isinstance(value, set | frozenset):
        yield name, sorted(value)
    elif value is None or isinstance(value, bool | int | float | str):
        yield name, value
    elif isinstance(value, bytes):
        yield name, value.hex()
    else:
        yield name, str(value)


def outcome(read: Callable[[], Any], error_type: type[Exception]) -> dict[str, Any]:
    """Return the values that `read` returns, or the lines and columns in the `error_type` that it raises."""
    try:
        return {"values": [list(leaf) for leaf in leaves(read())]}
    except error_type as error:
        found = [PLACE.match(line) for line in str(error).splitlines()]
        return {"refused": [match.group(1) if match else "" for match in found]}


def balancer_keys(text: str) -> list[str]:
    """Return the top-level keys in the text of `deploy/balancer.toml`, sorted."""
    return sorted(re.findall(r"^([a-z_]+) = ", text, re.MULTILINE))


def schema_rows(text: bytes) -> list[str]:
    """Return a row for each element and attribute: path, occurrence, default and simple type; sorted."""
    root = etree.fromstring(text)
    types = {row.get("name"): row for row in root if row.tag in (f"{SPACE}complexType", f"{SPACE}simpleType")}
    return sorted(
        row for element in root.findall(f"{SPACE}element") for row in _element_rows(element, "", types)
    )


def _element_rows(element: etree._Element, path: str, types: dict[str, etree._Element]) -> Iterator[str]:
    path = f"{path}/{element.get('name')}"
    occurs = f"{element.get('minOccurs', '1')}..{element.get('maxOccurs', '1')}"
    yield f"{path} {occurs} {_simple_type(element, types)}"
    named_type = types.get(element.get("type"))
    type_definition = named_type if named_type is not None else element.find(f"{SPACE}complexType")
    if type_definition is None or type_definition.tag == f"{SPACE}simpleType":
        return
    for attribute in type_definition.iter(f"{SPACE}attribute"):
        properties = f"{attribute.get('use', 'optional')} default={attribute.get('default')!r}"
        yield f"{path}@{attribute.get('name')} {properties} {_simple_type(attribute, types)}"
    for row in type_definition.iter(f"{SPACE}element"):
        yield from _element_rows(row, path, types)


def _simple_type(row: etree._Element, types: dict[str, etree._Element]) -> str:
    """Return the base and the facets of a simple type, the name of a built-in type, or an empty string."""
    named_type = types.get(row.get("type"))
    simple = named_type if named_type is not None else row.find(f"{SPACE}simpleType")
    if simple is None or simple.tag != f"{SPACE}simpleType":
        return row.get("type", "") if row.get("type", "").startswith("xs:") else ""
    facets = [
        f"{etree.QName(facet).localname}={facet.get('value')}"
        for facet in simple.iter()
        if isinstance(facet.tag, str) and facet.get("value") is not None
    ]
    base = simple.find(f"{SPACE}restriction")
    return " ".join(["" if base is None else base.get("base", ""), *facets])


def read_freezes(windows: Callable[[str], Any], folder: Path, text: str) -> Any:
    """Write `text` to a file of rollout freezes in `folder` and return its windows."""
    path = folder / "freezes.xml"
    path.write_text(text)
    return windows(str(path))
