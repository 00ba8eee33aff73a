"""Runs cryptography on a thread pool, so that it does not block the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

_T = TypeVar("_T")


class Offload:
    """A small thread pool; the cryptographic functions release the interpreter lock while they work."""

    def __init__(self, threads: int) -> None:
        self.pool = ThreadPoolExecutor(threads, thread_name_prefix="crypto")

    async def __call__(self, work: Callable[[], _T]) -> _T:
        """Run ``work`` on a thread of the pool; return its result, or raise its exception."""
        return await asyncio.get_running_loop().run_in_executor(self.pool, work)

    def close(self) -> None:
        """Cancel work that has not begun, and let the threads end after their present work."""
        self.pool.shutdown(wait=False, cancel_futures=True)
