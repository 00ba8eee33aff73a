"""Processor time and memory of a process, and work run in a process of its own so that nothing before it counts."""

from __future__ import annotations

import gc
import multiprocessing
import os
import re
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import ParamSpec, TypeVar

_P = ParamSpec("_P")
_T = TypeVar("_T")


def cpu(pid: int) -> float:
    """CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def threads_cpu(pid: int) -> float:
    """CPU seconds of the threads that a process has now: finer than ``cpu``, for processes whose threads stay."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e9


def resident(pid: int, peak: bool = False) -> int:
    """Resident bytes of a process, now or at most."""
    name = "VmHWM" if peak else "VmRSS"
    found = re.search(rf"{name}:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) * 1024


def reset_peak(pid: int) -> None:
    """The most that is resident counts from now on."""
    Path(f"/proc/{pid}/clear_refs").write_text("5")


def in_fresh_process(work: Callable[_P, _T], *args: _P.args, **kwargs: _P.kwargs) -> _T:
    """Run ``work`` in a new interpreter and return its result; it and its arguments must be importable."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(work, *args, **kwargs).result()


def cpu_of(work: Callable[[], object], collect: bool = True) -> float:
    """CPU milliseconds of one call, with the garbage collector at rest; ``collect``: after a collection."""
    if collect:
        gc.collect()
    gc.disable()
    try:
        before = time.process_time()
        work()
        return (time.process_time() - before) * 1000.0
    finally:
        gc.enable()


def allocated(work: Callable[[], _T]) -> tuple[_T, int, int]:
    """The result of ``work``, the bytes that stay allocated with it, and the most at once, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        result = work()
        gc.collect()
        now, most = tracemalloc.get_traced_memory()
        return result, now, most
    finally:
        tracemalloc.stop()
