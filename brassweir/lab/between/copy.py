"""One copy as a process of its own: started, stalled, killed, its folder lost, put back or full."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
from pathlib import Path

from brassweir.lab.between.launch import CLOCK, FULL, SNAP, WITHOUT
from brassweir.lab.rigs.handle import SenderHandle

SNAP_EVERY = 24  # entries between two snapshots: some in half a minute of renewals


class CopyHandle(SenderHandle):
    """A sender with the laboratory's hooks; ``life`` counts how often its folder was not what it had left."""

    def __init__(self, name: str, settings: Path, port: int, without: str = "") -> None:
        super().__init__(name, settings, port)
        self.without = without
        self.agreed = settings.with_name(f"{name}.agreed")
        self.epoch = settings.with_name(f"{name}.epoch")  # the newest grants it knew
        self.clock = settings.with_name(f"{name}.clock")
        self.life = 0
        self.run = 0  # how often it was started
        self.listens = self.stalled = False
        self.lock = asyncio.Lock()  # one start or end at a time

    def command(self) -> list[str]:
        """What is started."""
        return [sys.executable, "-m", "brassweir.lab.between.launch", "serve", str(self.settings)]

    def environment(self) -> dict[str, str]:
        """Its variables."""
        return {
            **super().environment(),
            CLOCK: str(self.clock),
            FULL: str(self.agreed),
            SNAP: str(SNAP_EVERY),
            WITHOUT: self.without,
        }

    async def start(self) -> None:
        """Start it and wait until it listens. Raises RuntimeError with its last words if it does not."""
        self.full(False)
        self.run, self.listens = self.run + 1, False
        await super().start()
        self.listens = True

    def stall(self) -> None:
        """SIGSTOP."""
        assert self.process is not None
        if self.running:
            self.process.send_signal(signal.SIGSTOP)
            self.stalled = True

    def go_on(self) -> None:
        """SIGCONT."""
        if self.stalled and self.process is not None and self.running:
            self.process.send_signal(signal.SIGCONT)
        self.stalled = False

    def reread(self) -> None:
        """SIGHUP: it reads its files anew. One that does not listen yet reads them as it starts."""
        if self.process is not None and self.running and self.listens:
            self.process.send_signal(signal.SIGHUP)

    async def kill(self) -> None:
        """SIGKILL, if it runs."""
        self.listens = False
        if self.running:
            await super().kill()
        self.stalled = False

    async def drain(self, within: float) -> tuple[int, float]:
        """Let it go on, then drain it."""
        self.go_on()
        return await super().drain(within)

    def lose(self) -> None:
        """Its machine and folder are gone; call it while it does not run. Its journal stays."""
        shutil.rmtree(self.agreed, ignore_errors=True)
        self.epoch.unlink(missing_ok=True)
        self.life += 1

    def restore(self, older: Path) -> None:
        """An old copy of the folder is put in its place; call it while it does not run."""
        shutil.rmtree(self.agreed, ignore_errors=True)
        shutil.copytree(older, self.agreed)
        known = older.with_name(f"{older.name}.epoch")
        if known.exists():
            shutil.copy(known, self.epoch)
        self.life += 1

    def full(self, on: bool) -> None:
        """Fill the folder's disk, or make room."""
        marker = self.agreed.with_name(self.agreed.name + ".full")
        if on:
            marker.touch()
        else:
            marker.unlink(missing_ok=True)

    def step_clock(self, by_ms: float) -> None:
        """Its wall clock is off by so much from now on."""
        fresh = self.clock.with_suffix(".clock-new")
        fresh.write_text(f"{by_ms}", encoding="ascii")
        fresh.replace(self.clock)
