"""`python -m tests.scale.page [--write]`: print the generated parts of docs/CAPACITY.md or update the page.

Each part is between `<!-- NAME: begin -->` and `<!-- NAME: end -->`. The rest of the page is written by hand
and is not changed.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

from tests.scale import slopes as slopes_file
from tests.scale.page import render
from tests.scale.page.families import load_outcomes
from tests.scale.page.size import load_installation_size

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"


class MissingPartError(ValueError):
    """The page has no markers for a generated part."""

    advice = (
        "put `<!-- NAME: begin -->` and `<!-- NAME: end -->` on lines of their own where the part belongs"
    )

    def __init__(self, name: str) -> None:
        super().__init__(f"the page has no markers for {name}: {self.advice}")


def parts() -> dict[str, str]:
    """Return the generated parts by name."""
    size = load_installation_size()
    slopes = slopes_file.load()
    outcomes = load_outcomes(size)
    rows = render.all_rows(size, slopes, outcomes)
    return {
        "size": render.size_table(size),
        "first": render.rows_over_budget(rows),
        "roles": render.role_tables(rows),
        "comparison": render.comparison(rows),
        "families": render.families(outcomes.found),
        "slopes": render.slope_table(slopes),
    }


def filled(page: str, generated: dict[str, str]) -> str:
    """Return the page with each part between its markers.

    Raises MissingPartError if the page has no markers for a part.
    """
    for name, part in generated.items():
        begin = f"<!-- {name}: begin -->"
        end = f"<!-- {name}: end -->"
        pattern = re.compile(f"{re.escape(begin)}\n.*?{re.escape(end)}", re.DOTALL)
        if pattern.search(page) is None:
            raise MissingPartError(name)
        marked = f"{begin}\n\n{part}\n{end}"
        page = pattern.sub(marked.replace("\\", r"\\"), page)
    return page


def main(arguments: list[str]) -> int:
    """Print the parts, or write them to the page."""
    generated = parts()
    if "--write" in arguments:
        PAGE.write_text(filled(PAGE.read_text(), generated))
    else:
        print("\n".join(generated.values()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
