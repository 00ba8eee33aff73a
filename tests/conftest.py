"""Keys are made once a run: what is tested is never how they are made."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine, Iterator
from functools import cache
from typing import Any, TypeVar

import pytest
import uvloop
from hypothesis import settings

from brassweir.as2 import keys
from brassweir.as2.message import Identity

# The same examples in every run; BRASSWEIR_FUZZ=1 looks for new ones.
settings.register_profile("same", derandomize=True)
settings.register_profile("fuzz", derandomize=False, print_blob=True)
settings.load_profile("fuzz" if os.environ.get("BRASSWEIR_FUZZ") else "same")

_T = TypeVar("_T")


_made = cache(keys.make)


def identity(as2_id: str, kind: str = "rsa2048") -> Identity:
    """A key made once."""
    return _made(as2_id, kind)


def run(work: Coroutine[Any, Any, _T], seconds: float = 60.0) -> _T:
    """Run on uvloop as in service; a test that hangs fails."""

    async def bounded() -> _T:
        async with asyncio.timeout(seconds):
            return await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


@pytest.fixture(autouse=True, scope="session")
def _cheap_keys() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("brassweir.lab.rigs.fleet.make", identity)
        yield
