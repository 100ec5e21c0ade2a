#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python
# and run from source by the environment in .venv, so they are only compiled, which shows that they can start.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - review/common-2 review/6 review/7 review/8 review/9 review/10 <<'END'
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_bytes(), str(path), "exec")
END
