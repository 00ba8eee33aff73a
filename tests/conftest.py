"""Keys are made once a run: what is tested is never how they are made."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine, Iterator
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

import pytest
import uvloop
from hypothesis import settings

from brassweir.as2 import keys
from brassweir.as2.message import Identity
from tests import known_red

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


ROOT = Path(__file__).parents[1]
RED = pytest.StashKey[list[known_red.Red]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read which tests are known to fail; without the list, or with a bad one, nothing runs."""
    try:
        config.stash[RED] = known_red.read((ROOT / known_red.NAME).read_text(encoding="utf-8"))
    except (OSError, known_red.KnownRedError) as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over just these."""
    known = config.stash[RED]
    gone = known_red.missing(known, [item.nodeid for item in items], ROOT)
    if gone:
        raise pytest.UsageError(f"{known_red.NAME}: no such test: {', '.join(gone)}")
    red = [item for item in items if any(known_red.stands_for(one, item.nodeid) for one in known)]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Say which, in each run."""
    for one in config.stash[RED]:
        terminalreporter.write_line(f"known red, passed over: {one.test}: {one.cause} (issue {one.issue})")
