"""Programs that measure slopes, one job each: `python -m tests.scale.measure.NAME`.

What `run` uses is measured as `run` uses it: where `sh deploy/build` has made the compiled text, it is
imported from there. Each row says which text it was measured on.
"""

import sys
from pathlib import Path

COMPILED = Path(__file__).parents[3] / "build"

if (COMPILED / "linenbridge").exists() and "linenbridge" not in sys.modules:
    sys.path.insert(0, str(COMPILED))
