#!/bin/sh
# Builds what the scripts of this folder start: the stand-ins need no compiler, only the environment of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python && test -d build/linenbridge
.venv/bin/python -c 'import h2, google.protobuf, msgspec'
for file in review/standins/*.py review/[1-9]/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
