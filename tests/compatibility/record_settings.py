"""Writes `data/settings.json`: the values that commit 4d24a08 reads from settings files and settings objects.

    git clone . ../base && cd ../base && git checkout 4d24a08 && ln -s ../linenbridge/.venv .venv
    HERE=../linenbridge/tests/compatibility
    .venv/bin/python $HERE/record_settings.py $HERE/data

The script changes the readers of the clone so that they write each text that they read to a folder, and runs
the clone's tests of settings, including those that start processes. The code of the clone then reads each of
these texts, each example and each settings file in the documentation.
"""

from __future__ import annotations

import copy
import hashlib
import importlib.util
import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

COMMIT = "4d24a08"
HERE = Path(__file__).parent
NOTING_XML = """

def _noting(inner):
    def parse(data, path):
        if folder := os.environ.get("LB_NOTED"):
            import hashlib
            with open(f"{folder}/{hashlib.sha256(data).hexdigest()}.xml", "wb") as file:
                file.write(data)
        return inner(data, path)
    return parse


parse = _noting(parse)
"""
NOTING_JSON = """

def _noting(inner):
    def load(environ):
        import hashlib, os
        if (folder := os.environ.get("LB_NOTED")) and os.path.isfile(environ.get("LB_CONFIG", "")):
            with open(environ["LB_CONFIG"], "rb") as file:
                data = file.read()
            with open(f"{folder}/{hashlib.sha256(data).hexdigest()}.json", "wb") as file:
                file.write(data)
        return inner(environ)
    return load


load = _noting(load)
"""
TESTS = [
    "tests/test_configuration.py",
    "tests/fleet/test_configuration.py",
    "tests/fleet/freezes",
    "tests/fleet/procs/test_installation.py",
    "tests/fleet/procs/test_holds.py",
    "tests/distribution/hosting/test_configuration.py",
    "tests/distribution/hosting/test_processes.py",
    "tests/distribution/view/test_serving.py",
    "tests/test_interop.py",
    "tests/test_drill.py",
    "tests/net/test_process.py",
    "tests/scale/test_families.py",
]
MAX_TEXT = 40_000  # bytes; longer texts come from tests of the maximum length


def note(folder: Path) -> None:
    """Run the tests of settings with readers that write each text into `folder`."""
    for file, words in (("configuration/read.py", NOTING_XML), ("process/configuration.py", NOTING_JSON)):
        path = Path("linenbridge") / file
        if "_noting" not in path.read_text():
            path.write_text(path.read_text() + words)
    command = [sys.executable, "-m", "pytest", "-q", *TESTS]
    subprocess.run(command, env={**os.environ, "LB_NOTED": str(folder)}, check=False)


def once_each(paths: list[Path]) -> list[str]:
    """Return the texts of the files, one of those that differ only in paths, ports and numbered names."""
    found: dict[str, str] = {}
    for path in paths:
        data = path.read_bytes()
        if len(data) > MAX_TEXT:
            continue
        try:
            text = data.decode()
        except UnicodeDecodeError:
            continue
        shape = re.sub(r"/tmp/[\w./-]+|:\d+|(?<=[a-z-])\d+(?=\")", "", text)
        found.setdefault(hashlib.sha256(shape.encode()).hexdigest()[:12], text)
    return [found[key] for key in sorted(found)]


def page_texts() -> list[str]:
    """Return the settings files that the documentation has as indented blocks."""
    texts = []
    for page in sorted(Path("docs").glob("*.md")):
        for tag in ("linenbridge", "freezes"):
            texts += re.findall(rf"^ +<{tag} xmlns.*?</{tag}>", page.read_text(), re.DOTALL | re.MULTILINE)
    return [text.strip() for text in texts]


def spellings(text: str) -> list[str]:
    """Return the text, and the text in the other spelling of the quorum if it has one."""
    pairs = (("council", "quorum"), ("seat", "acceptor"))
    other = text
    for earlier, later in pairs:
        here, there = (earlier, later) if f"<{earlier}" in text else (later, earlier)
        other = re.sub(rf"(</?){here}\b", rf"\g<1>{there}", other)
    return [text] if other == text else [text, other]


def documents(noted: Path, values: Any) -> list[dict[str, Any]]:
    """Return each text with the values that each reader of the program finds in it."""
    from linenbridge.cli.commands import shown
    from linenbridge.configuration.read import ConfigurationError, parse
    from linenbridge.distribution.configuration import distribution
    from linenbridge.fleet.configuration import fleet
    from linenbridge.fleet.freezes.configuration import windows
    from linenbridge.processor.configuration import processor_settings

    examples = sorted([*Path("examples").glob("*.xml"), *Path("examples").glob("*/*.xml")])
    texts = [(str(path), path.read_text()) for path in examples]
    texts += [("docs", text) for text in page_texts()]
    texts += [("tests", text) for text in once_each(sorted(noted.glob("*.xml")))]
    rows = []
    for source, written in texts:
        for text in spellings(written):
            row: dict[str, Any] = {"source": source, "text": text}
            row["file"] = values.outcome(
                lambda text=text: bool(parse(text.encode(), values.PATH)), ConfigurationError
            )
            if "values" in row["file"] and "<freezes" in text:
                with tempfile.TemporaryDirectory() as folder:
                    row["freezes"] = values.outcome(
                        lambda text=text, folder=folder: values.read_freezes(windows, Path(folder), text),
                        ConfigurationError,
                    )
            elif "values" in row["file"]:
                configuration = parse(text.encode(), values.PATH)
                row["log"] = configuration.log_level
                for name, reader in (
                    ("processor", processor_settings),
                    ("fleet", fleet),
                    ("distribution", distribution),
                    ("shown", shown),
                ):
                    row[name] = values.outcome(
                        lambda reader=reader, given=configuration: reader(given), ConfigurationError
                    )
            rows.append(row)
    return rows


def settings_objects(noted: Path, values: Any) -> list[dict[str, Any]]:
    """Return complete settings objects, and the largest one with each key absent or of another type."""
    from linenbridge.process.configuration import load
    from linenbridge.startup import startup

    full = json.loads(Path("examples/config.json").read_text())
    extend(full)
    objects = [json.loads(Path("examples/config.json").read_text()), full]
    objects += [json.loads(text) for text in once_each(sorted(noted.glob("*.json"))) if _is_object(text)]
    for keys in paths_of(full, ()):
        without = copy.deepcopy(full)
        del holder(without, keys)[keys[-1]]
        wrong = copy.deepcopy(full)
        holder(wrong, keys)[keys[-1]] = (
            {"no": "such"} if not isinstance(holder(full, keys)[keys[-1]], dict) else "text"
        )
        objects += [without, wrong]
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        for one in objects:
            path.write_text(json.dumps(one))
            row: dict[str, Any] = {"object": one}
            try:
                found = load({"LB_CONFIG": str(path)})
            except ValueError as error:
                row["refused"] = str(error).replace(str(path), "PATH")
            else:
                row["values"] = [list(leaf) for leaf in values.leaves(found)]
                row["startup"] = [list(leaf) for leaf in values.leaves(startup(found.settings))]
            rows.append(row)
    return rows


def extend(full: dict[str, Any]) -> None:
    """Add every key that a settings object may have, each with a different value."""
    settings = full["settings"]
    settings |= {
        "tenants": [{"name": "north", "share": 0.25}, {"name": "south", "share": 0.5}],
        "value_by": "work",
        "over_share_worth": 0.125,
        "slot_no": 3,
        "balancers": 7,
    }
    settings["family_info"] |= {"back_votes": 5, "metrics_period": 11.0, "api_rate": 13.0}
    settings["permissions"] |= {"may_tell": True}
    settings["profiles"][0] |= {"group": "zone", "window": 17.0, "idempotency": "by_key"}
    full["platform"].setdefault("news", None)
    if full["platform"]["news"] is None:
        del full["platform"]["news"]


def _is_object(text: str) -> bool:
    try:
        return isinstance(json.loads(text), dict)
    except ValueError:
        return False


def paths_of(value: Any, path: tuple) -> list[tuple]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    found = []
    for key, inner in items:
        if isinstance(value, dict):
            found.append((*path, key))
        if key == 0 or isinstance(value, dict):
            found += paths_of(inner, (*path, key))
    return found


def holder(value: Any, keys: tuple) -> Any:
    for key in keys[:-1]:
        value = value[key]
    return value


def main(target: Path) -> None:
    sys.path.insert(0, os.getcwd())
    spec = importlib.util.spec_from_file_location("settings_values", HERE / "settings_values.py")
    values = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(values)
    from linenbridge.configuration.read import schema_text

    with tempfile.TemporaryDirectory() as folder:
        note(Path(folder))
        record = {
            "commit": COMMIT,
            "schema": values.schema_rows(schema_text()),
            "balancer": values.balancer_keys(Path("deploy/balancer.toml").read_text()),
            "documents": documents(Path(folder), values),
            "objects": settings_objects(Path(folder), values),
        }
    (target / "settings.json").write_text(json.dumps(record, indent=1, ensure_ascii=False) + "\n")
    print(
        len(record["documents"]),
        "documents",
        len(record["objects"]),
        "objects",
        len(record["schema"]),
        "rows",
    )


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
