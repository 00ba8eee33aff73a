"""Shared fixtures and helpers: cached key pairs, a bounded event loop, and the list of known failing tests."""

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

# Hypothesis generates the same examples in every run, or new ones with BRASSWEIR_FUZZ=1.
settings.register_profile("same", derandomize=True)
settings.register_profile("fuzz", derandomize=False, print_blob=True)
settings.load_profile("fuzz" if os.environ.get("BRASSWEIR_FUZZ") else "same")

_T = TypeVar("_T")


_cached_identity = cache(keys.make)


def identity(as2_id: str, kind: str = "rsa2048") -> Identity:
    """Return an identity with a key pair that is generated once per test run."""
    return _cached_identity(as2_id, kind)


def run(coroutine: Coroutine[Any, Any, _T], seconds: float = 60.0) -> _T:
    """Run a coroutine on uvloop, as the service does. Raises TimeoutError after ``seconds``."""

    async def bounded() -> _T:
        async with asyncio.timeout(seconds):
            return await coroutine

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


@pytest.fixture(autouse=True, scope="session")
def _cached_fleet_keys() -> Iterator[None]:
    """Make the lab's fleets use the cached keys, since generating RSA keys is slow."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("brassweir.lab.rigs.fleet.make", identity)
        yield


ROOT = Path(__file__).parents[1]
KNOWN_FAILURES = pytest.StashKey[list[known_red.KnownFailure]]()


def pytest_configure(config: pytest.Config) -> None:
    """Load the list of known failing tests; a missing or invalid list stops the run with a usage error."""
    try:
        config.stash[KNOWN_FAILURES] = known_red.parse(
            (ROOT / known_red.FILE_NAME).read_text(encoding="utf-8")
        )
    except (OSError, known_red.KnownRedError) as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests; a listed test that does not exist stops the run with a usage error."""
    known = config.stash[KNOWN_FAILURES]
    missing = known_red.missing_tests(known, [item.nodeid for item in items], ROOT)
    if missing:
        raise pytest.UsageError(f"{known_red.FILE_NAME}: no such test: {', '.join(missing)}")
    deselected = [item for item in items if any(known_red.matches(failure, item.nodeid) for failure in known)]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each listed test with its cause and issue."""
    for failure in config.stash[KNOWN_FAILURES]:
        terminalreporter.write_line(
            f"known red, passed over: {failure.test}: {failure.cause} (issue {failure.issue})"
        )
