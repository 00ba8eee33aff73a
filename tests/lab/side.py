"""Plays days side by side, each in a process of its own: they mostly wait, and none slows or changes another."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import TypeVar

import pytest

_K = TypeVar("_K", bound=tuple[object, ...])
_R = TypeVar("_R")

MOST = 6  # at once: one that plays takes a tenth of a core, now and then a whole one
WITHIN = 120.0  # seconds for each


def side_by_side(
    what: Callable[..., _R], cases: Iterable[_K], folders: pytest.TempPathFactory
) -> dict[_K, _R]:
    """``what(*case, folder)`` for each case; give those that take longest first."""
    context = get_context("forkserver")
    context.set_forkserver_preload(["tests.lab.warm"])
    with ProcessPoolExecutor(MOST, context, max_tasks_per_child=1) as pool:
        waiting = {case: pool.submit(what, *case, folders.mktemp("day")) for case in cases}
        return {case: one.result(WITHIN) for case, one in waiting.items()}
