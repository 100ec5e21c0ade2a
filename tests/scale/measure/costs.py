"""How a cost is taken: processor time of repeated calls, and bytes that Python objects hold."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from types import ModuleType
from typing import TypeVar

Made = TypeVar("Made")
REPEATS = 5


def text_of(module: ModuleType) -> str:
    """Whether a module runs compiled or interpreted."""
    return "compiled" if (module.__file__ or "").endswith(".so") else "interpreted"


def processor_time(call: Callable[[], object], calls: int = 1, repeats: int = REPEATS) -> float:
    """Microseconds of processor time for one call: the least of some repeats, as others share the machine."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time_ns()
        for _ in range(calls):
            call()
        best = min(best, (time.process_time_ns() - started) / 1000 / calls)
    return best


def made_and_size(make: Callable[[], Made]) -> tuple[Made, int]:
    """What `make` returns, and the bytes that it holds, by the interpreter's own count of its allocations."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return made, after - before


def allocated_bytes(make: Callable[[], object]) -> int:
    """The bytes alone."""
    return made_and_size(make)[1]
