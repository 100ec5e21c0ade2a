"""Measure costs: the processor time of repeated calls and the memory of Python objects."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from types import ModuleType
from typing import TypeVar

Result = TypeVar("Result")
REPEATS = 5


def execution_mode(module: ModuleType) -> str:
    """Return "compiled" or "interpreted", by the kind of file that a module was loaded from."""
    return "compiled" if (module.__file__ or "").endswith(".so") else "interpreted"


def processor_time(call: Callable[[], object], calls: int = 1, repeats: int = REPEATS) -> float:
    """Return the microseconds of processor time of one call.

    The result is the least of the repeats, because other processes share the machine.
    """
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time_ns()
        for _ in range(calls):
            call()
        best = min(best, (time.process_time_ns() - started) / 1000 / calls)
    return best


def result_and_size(make: Callable[[], Result]) -> tuple[Result, int]:
    """Return the result of `make` and its size in bytes, as `tracemalloc` counts allocations."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return result, after - before


def allocated_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that the result of `make` holds, as `tracemalloc` counts allocations."""
    return result_and_size(make)[1]
