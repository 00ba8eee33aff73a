"""One sender as a process of its own: started, told to drain, killed."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import sys
import time
from itertools import count
from pathlib import Path
from typing import Protocol

# Ports for listeners: under those that systems give to outgoing connections, which may take a free one at any
# time, and a part of them for each process, so that runs side by side choose apart.
FIRST_PORT, PARTS, PART = 10_000, 220, 100
_chosen = count()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of loopback that nobody listens on now. Raises OSError if there is none."""
    first = FIRST_PORT + os.getpid() % PARTS * PART
    for _ in range(PART):
        port = first + next(_chosen) % PART
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:  # as listeners do: what rests of ended ones is in no way
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError(errno.EADDRINUSE, f"no free port from {first} on")


class Handle(Protocol):
    """A sender as the laboratory handles it."""

    name: str
    port: int

    @property
    def running(self) -> bool:
        """Has it been started and not ended?"""

    async def start(self) -> None:
        """Start it and wait until it listens."""

    async def drain(self, within: float) -> tuple[int, float]:
        """Tell it to drain; its exit code (-1 if it had to be killed) and the seconds it took."""


class SenderHandle:
    """One sender as a process of its own."""

    listens_within = 15.0  # s, on a machine with every core busy

    def __init__(self, name: str, settings: Path, port: int) -> None:
        self.name, self.settings, self.port = name, settings, port
        self.process: asyncio.subprocess.Process | None = None
        self.log = settings.with_suffix(".log")

    @property
    def running(self) -> bool:
        """Has it been started and not ended?"""
        return self.process is not None and self.process.returncode is None

    def command(self) -> list[str]:
        """What is started."""
        return [sys.executable, "-m", "brassweir", "serve", str(self.settings)]

    def environment(self) -> dict[str, str]:
        """Its variables."""
        return {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}

    async def start(self) -> None:
        """Start it and wait until it listens. Raises RuntimeError with its last words if it does not."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command(), stderr=log, stdout=log, env=self.environment()
            )
        until = time.monotonic() + self.listens_within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise RuntimeError(
                    f"{self.name} ended with {self.process.returncode}: "
                    f"{self.log.read_text(errors='replace')[-500:]}"
                )
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise RuntimeError(f"{self.name} does not listen")

    async def kill(self) -> None:
        """End it at once, as the machine might."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    async def drain(self, within: float) -> tuple[int, float]:
        """Tell it to drain; its exit code (-1 if it took longer and was killed) and the seconds it took."""
        assert self.process is not None
        begun = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(within):
                code = await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            code = -1
        return code, time.monotonic() - begun
