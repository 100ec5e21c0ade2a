#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
export TROUBLE="${TROUBLE:-1}" # with 0: the same without the disruption
PYTHONPATH=.:review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/5/case.py
