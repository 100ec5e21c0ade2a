"""Writes `data/log_texts.json`: the sentences that the decision module of commit 4d24a08 logs in seeded days.

    git clone . ../base && cd ../base && git checkout 4d24a08 && ln -s ../linenbridge/.venv .venv
    HERE=../linenbridge/tests/compatibility
    .venv/bin/python $HERE/record_log_texts.py $HERE/data

At most three sentences that differ only in numbers are recorded.
"""

from __future__ import annotations

import ast
import json
import os
import re
import sys
from collections import Counter
from pathlib import Path

COMMIT = "4d24a08"
DAYS = 30
MAX_ALIKE = 3


def main(target: Path) -> None:
    sys.path.insert(0, os.getcwd())
    from tests.days import Day

    seen: Counter[str] = Counter()
    texts = []
    for seed in range(DAYS):
        for line in Day(seed).play(1200):
            words = line.partition(" ")[2]
            if not words.startswith("('log', "):
                continue
            text = ast.literal_eval(words)[1]
            shape = re.sub(r"-?\d+(\.\d+)?", "0", text)
            seen[shape] += 1
            if seen[shape] <= MAX_ALIKE:
                texts.append(text)
    record = {"commit": COMMIT, "texts": sorted(texts)}
    (target / "log_texts.json").write_text(json.dumps(record, indent=1) + "\n")
    print(len(texts), "texts of", len(seen), "shapes")


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
