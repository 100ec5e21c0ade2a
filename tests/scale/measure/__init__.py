"""Programs that measure slopes, one job each: `python -m tests.scale.measure.NAME`.

The compiled modules that `sh deploy/build` creates are imported where they exist, as `run` imports them. Each
row states whether the measured module was compiled or interpreted.
"""

import sys
from pathlib import Path

COMPILED = Path(__file__).parents[3] / "build"

if (COMPILED / "linenbridge").exists() and "linenbridge" not in sys.modules:
    sys.path.insert(0, str(COMPILED))
