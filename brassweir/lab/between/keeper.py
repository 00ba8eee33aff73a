"""Takes copies of all agreed folders during a run, for the judge and for faults that put one back."""

from __future__ import annotations

import asyncio
import shutil
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path

from brassweir.lab.between.copy import CopyHandle
from brassweir.lab.between.seen import Folder

EVERY = 1.0  # s between two copies of a folder
KEPT = 12  # copies of one folder that stay on disk

Reader = Callable[[Path, float, str, int], Folder | None]


class Keeper:
    """Copies in ``place``/NAME/NUMBER, read as soon as they are made."""

    def __init__(self, place: Path, copies: Sequence[CopyHandle], reader: Reader) -> None:
        self.place, self.copies, self.reader = place, copies, reader
        self.start = time.time()
        self.folders: list[Folder] = []
        self.made: dict[str, list[tuple[float, int, Path]]] = defaultdict(list)
        self.unread: list[str] = []
        self.count = 0

    async def watch(self) -> None:
        """Copy again and again, for ever."""
        while True:
            await self.take()
            await asyncio.sleep(EVERY)

    async def take(self) -> None:
        """Copy every folder once, and read the copies."""
        for copy in self.copies:
            self.count += 1
            await asyncio.to_thread(self._take, copy, copy.life, f"{self.count:06d}")

    def _take(self, copy: CopyHandle, life: int, number: str) -> None:
        name, folder, made = copy.name, copy.agreed, self.made[copy.name]
        if not folder.is_dir():
            return
        at = time.time() - self.start
        to = self.place / name / number
        try:
            shutil.copytree(folder, to, ignore=shutil.ignore_patterns("lock"))
            if copy.epoch.exists():
                shutil.copy(copy.epoch, to.with_name(f"{number}.epoch"))
        except (shutil.Error, OSError):  # a file was renamed meanwhile, or the folder is being taken away
            shutil.rmtree(to, ignore_errors=True)
            return
        if copy.life != life:  # a fault changed it while it was being copied
            shutil.rmtree(to, ignore_errors=True)
            return
        try:
            found = self.reader(to, at, name, life)
        except (ValueError, OSError) as error:
            self.unread.append(f"{name} at {at:.1f} s: {error}")
            found = None
        if found is not None:
            self.folders.append(found)
        made.append((at, life, to))
        while len(made) > KEPT:
            old = made.pop(0)[2]
            shutil.rmtree(old, ignore_errors=True)
            old.with_name(f"{old.name}.epoch").unlink(missing_ok=True)

    def older(self, name: str, age: float) -> Path | None:
        """The newest copy of a folder that is at least so many seconds old."""
        now = time.time() - self.start
        fits = [path for at, _, path in self.made[name] if now - at >= age]
        return fits[-1] if fits else None
