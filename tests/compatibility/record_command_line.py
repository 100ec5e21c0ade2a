"""Writes `data/command_line.json`: the commands, options and exit codes of commit 4d24a08.

git clone . ../base && cd ../base && git checkout 4d24a08 && ln -s ../linenbridge/.venv .venv
.venv/bin/python ../linenbridge/tests/compatibility/record_command_line.py
../linenbridge/tests/compatibility/data
"""

from __future__ import annotations

import importlib.util
import json
import os
import sys
import tempfile
from pathlib import Path

COMMIT = "4d24a08"


def main(target: Path) -> None:
    sys.path.insert(0, os.getcwd())
    here = Path(__file__).with_name("command_line.py")
    spec = importlib.util.spec_from_file_location("command_line", here)
    line = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(line)
    from typer.main import get_command

    from linenbridge.cli.commands import app

    config = Path("examples/config.json").resolve()
    record = {"commit": COMMIT, "commands": dict(line.options(get_command(app)))}
    for name in ("LB_SETTINGS", "LB_CONFIG"):
        os.environ.pop(name, None)
    with tempfile.TemporaryDirectory() as folder:
        line.lay_out(Path(folder), config)
        os.chdir(folder)
        record["calls"] = [{"words": words, **line.call(app, words)} for words in line.CALLS]
    (target / "command_line.json").write_text(
        json.dumps(record, indent=1).replace(str(folder), "FOLDER") + "\n"
    )
    print(len(record["commands"]), "commands", len(record["calls"]), "calls")


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
