"""Runs cryptography on threads of its own, so that the loop's thread never waits for a private key."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

_T = TypeVar("_T")


class Offload:
    """A small pool of threads; the primitives release the interpreter's lock while they work."""

    def __init__(self, threads: int) -> None:
        self.pool = ThreadPoolExecutor(threads, thread_name_prefix="crypto")

    async def __call__(self, work: Callable[[], _T]) -> _T:
        """Run ``work`` on a thread and wait for it."""
        return await asyncio.get_running_loop().run_in_executor(self.pool, work)

    def close(self) -> None:
        """Let threads end once their work is done."""
        self.pool.shutdown(wait=False, cancel_futures=True)
