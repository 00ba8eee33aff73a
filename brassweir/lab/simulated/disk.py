"""A simulated disk below the journal's storage port: crashes at any step, and what a crash leaves behind.

Data are synced, or not yet. A crash keeps what was synced, and of the rest what its mode says: nothing, all,
a torn prefix, or some pieces without those before them (with zeros in their place).
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random
from typing import Any

from brassweir.core.clock import SimClock

MODES = ("lost", "kept", "torn", "reordered")


class Crash(BaseException):
    """The machine stops here."""


class SimStorage:
    """Files in memory. ``crash_at`` is the step (a call that changes something) before which it stops."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.synced: dict[str, bytes] = dict(files or {})
        self.loose: dict[str, list[bytes]] = {}  # appended and not synced
        self.made: set[str] = set()  # created and not synced: gone after a crash unless kept
        self.removed: dict[str, bytes] = {}  # not yet durable either: may be back
        self.step = 0
        self.crash_at: int | None = None
        self.room: int | None = None  # bytes until the disk is full
        self.bad_sync: int | None = None  # the sync at this step fails
        self.skip_sync = False  # a disk, or a program, that does not sync at all

    def _step(self) -> None:
        self.step += 1
        if self.crash_at is not None and self.step >= self.crash_at:
            raise Crash

    def _size(self) -> int:
        loose = sum(len(part) for parts in self.loose.values() for part in parts)
        return sum(map(len, self.synced.values())) + loose

    def names(self) -> list[str]:
        """All files."""
        return sorted({*self.synced, *self.loose})

    def read(self, name: str) -> bytes:
        """What a reader sees now."""
        return self.synced.get(name, b"") + b"".join(self.loose.get(name, []))

    def size(self, name: str) -> int:
        """How many bytes a reader sees now."""
        return len(self.read(name))

    def create(self, name: str) -> None:
        """An empty file."""
        self._step()
        self.synced.pop(name, None)
        self.loose[name] = []
        self.made.add(name)

    def append(self, name: str, data: bytes) -> None:
        """Add, or as much of it as there is room for."""
        self._step()
        if self.room is not None and self._size() + len(data) > self.room:
            self.loose.setdefault(name, []).append(data[: max(0, self.room - self._size())])
            raise OSError(errno.ENOSPC, "No space left on device")
        self.loose.setdefault(name, []).append(data)

    def truncate(self, name: str, size: int) -> None:
        """Take away the end."""
        self._step()
        whole = self.read(name)[:size]
        keep = self.synced.get(name, b"")[:size]
        if name in self.synced:
            self.synced[name] = keep
        self.loose[name] = [whole[len(keep) :]]

    def sync(self, name: str) -> None:
        """Make it durable."""
        self._step()
        if self.bad_sync is not None and self.step >= self.bad_sync:
            raise OSError(errno.EIO, "Input/output error")
        if self.skip_sync:
            return
        self.synced[name] = self.read(name)
        self.loose.pop(name, None)
        self.made.discard(name)

    def rename(self, old: str, new: str) -> None:
        """Rename, durably."""
        self._step()
        if not self.skip_sync or old in self.synced:
            self.synced[new] = self.synced.pop(old, b"")
        self.loose[new] = self.loose.pop(old, [])

    def remove(self, name: str) -> None:
        """Remove; a crash may bring it back."""
        self._step()
        if name in self.synced:
            self.removed[name] = self.synced.pop(name)
        self.loose.pop(name, None)

    def close(self) -> None:
        """Nothing to let go."""

    def after(self, mode: str, rng: Random) -> SimStorage:
        """The disk as the next start finds it."""
        files = dict(self.synced)
        if mode != "kept":
            files = {**self.removed, **files}
        for name, parts in self.loose.items():
            base = self.synced.get(name, b"")
            if mode == "kept":
                files[name] = base + b"".join(parts)
            elif mode == "torn":
                whole = b"".join(parts)
                files[name] = base + whole[: rng.randint(0, len(whole))]
            elif mode == "reordered":
                data = b"".join(parts)
                blocks = [data[i : i + 64] for i in range(0, len(data), 64)]
                held = [block if rng.random() < 0.5 else b"\0" * len(block) for block in blocks]
                files[name] = base + b"".join(held)
            elif name not in self.made:
                files[name] = base
        fresh = SimStorage(files)
        fresh.room = None if self.room is None else self.room
        return fresh


PAUSE = 50.0  # ms until a disk that took no write is tried again


class SimIo:
    """Runs the journal's I/O on simulated time: each piece takes ``span`` ms."""

    def __init__(self, clock: SimClock, span: float) -> None:
        self.clock, self.span = clock, span

    def run(
        self, work: Callable[[], Any], done: Callable[[Any], None], failed: Callable[[BaseException], None]
    ) -> None:
        """Run ``work`` after ``span``. A crash passes through: it ends the run."""

        def later() -> None:
            try:
                result = work()
            except Exception as error:
                failed(error)
                return
            self.clock.call_soon(lambda: done(result))

        self.clock.call_at(self.clock.now() + self.span, later)

    def later(self, what: Callable[[], None]) -> None:
        """Run ``what`` after a pause."""
        self.clock.call_at(self.clock.now() + PAUSE, what)
