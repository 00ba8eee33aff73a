"""System calls that fail for a while, as Linux documents: ``node`` survives and loses no accepted message."""

from __future__ import annotations

import asyncio
import errno
import os
import subprocess
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint
from tests.relay.scenarios import run_scenario
from tests.relay.world import World

SHIM_SOURCE = Path(__file__).with_name("failing_calls.c")
CASES = [
    ("accept", "ECONNABORTED"),
    ("accept", "ENFILE"),
    ("accept", "ENOBUFS"),
    ("accept", "EPERM"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENETUNREACH"),
    ("connect", "EHOSTUNREACH"),
    ("connect", "ETIMEDOUT"),
    ("socket", "ENFILE"),
    ("socket", "ENOBUFS"),
    ("interrupted", "EINTR"),
    ("short", "EINTR"),
]


@pytest.fixture(scope="session")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Compile the preloaded library that makes calls fail. Requires a C compiler."""
    library = tmp_path_factory.mktemp("shim") / "failing_calls.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-o", str(library), str(SHIM_SOURCE), "-ldl"], check=True)
    return library


class FailingWorld(World):
    """A world whose sender alone runs with the shim preloaded."""

    def __init__(self, directory: Path, shim: Path, call: str, error: str) -> None:
        super().__init__(directory)
        self.flag = directory / "fails"
        self.more = {
            "LD_PRELOAD": str(shim),
            "FAIL_CALL": call,
            "FAIL_ERRNO": str(getattr(errno, error)),
            "FAIL_FLAG": str(self.flag),
        }

    async def start(self, dies_at: int = 0) -> None:
        os.environ.update(self.more)
        try:
            await super().start(dies_at)
        finally:
            for name in self.more:
                del os.environ[name]


@pytest.mark.parametrize(("call", "error"), CASES)
def test_system_calls_that_fail_for_a_while(tmp_path: Path, shim: Path, call: str, error: str) -> None:
    """Connected clients are served or refused meanwhile; new clients and all calls work afterwards."""

    async def scenario(world: World) -> None:
        assert isinstance(world, FailingWorld) and world.process is not None
        client = await world.client()
        assert await client.put("first", "note", 1, 5000.0) == b"+OK\r\n"  # so the connection was accepted
        world.flag.write_text("")
        world.discovery.cut()
        accepted = 0
        for i in range(20):
            line = await client.put(f"m{i}", ("note", "pay")[i % 2], 1, 5000.0)
            assert line[:3] in (b"+OK", b"-BU"), line
            accepted += line == b"+OK\r\n"
            await asyncio.sleep(0.05)
        world.flag.unlink()
        assert accepted >= 10
        later = await asyncio.wait_for(world.client(), 2.0)
        for i in range(6):
            assert await later.put(f"z{i}", ("note", "pay")[i % 2], 1, 5000.0) == b"+OK\r\n"
        await world.settled(accepted + 7)
        assert world.process.returncode is None
        assert {f"z{i}" for i in range(6)} <= {*world.seen().delivered}
        world.discovery.change(world.endpoints[0].entry("leaving"))
        await asyncio.sleep(0.5)
        assert '"rev": 2, "source": "watch"' in world.log(), "the watch is open again"

    world = FailingWorld(tmp_path, shim, call, error)
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))
