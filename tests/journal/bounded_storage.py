"""A bounded directory in memory: it outlives killed processes, its calls may fail, and its size is noted."""

from __future__ import annotations

from random import Random

from brassweir.lab.simulated.disk import Crash

BLOCK_BYTES = 512


class BoundedStorage:
    """Files in memory that outlive a killed process, as an unsynced directory's do.

    ``largest`` is the largest size that the directory had after any call. While ``failing`` is set, calls
    that write raise it; an append may leave a part of its data. The process is killed at step ``crash_at``.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.files: dict[str, bytearray] = {}
        self.step = self.failing = self.largest = 0
        self.crash_at: int | None = None

    def used(self) -> int:
        """Return what the files take, in whole blocks."""
        return sum(map(blocks, self.files.values()))

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def size(self, name: str) -> int:
        return len(self.files[name])

    def create(self, name: str) -> None:
        self._begin_step()
        self.files[name] = bytearray()

    def append(self, name: str, data: bytes) -> None:
        if self.failing and self.rng.random() < 0.5:
            self.files[name] += data[: self.rng.randint(0, len(data))]
        self._begin_step()
        self.files[name] += data
        self.largest = max(self.largest, self.used())

    def truncate(self, name: str, size: int) -> None:
        self._begin_step()
        del self.files[name][size:]

    def sync(self, name: str) -> None:
        pass

    def rename(self, old: str, new: str) -> None:
        self._begin_step()
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._begin_step()
        self.files.pop(name, None)

    def close(self) -> None:
        pass

    def _begin_step(self) -> None:
        self.largest = max(self.largest, self.used())
        self.step += 1
        if self.crash_at is not None and self.step >= self.crash_at:
            raise Crash
        if self.failing:
            raise OSError(self.failing, "injected")


def blocks(content: bytearray) -> int:
    """Return what a file of this content takes, in whole blocks."""
    return -(-len(content) // BLOCK_BYTES) * BLOCK_BYTES
