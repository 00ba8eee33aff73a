"""The port to a directory of segments, and the real one.

Every call may raise OSError. Nothing counts as written before :meth:`Storage.sync` has returned; whoever sees
it fail must not go on as if it had been, since what the system then holds is not known.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

RESERVE_NAME = "reserve"
LOCK_NAME = "lock"


class StorageLocked(Exception):
    """Another process writes this journal."""


class Storage(Protocol):
    """A flat directory of files that grow at their end."""

    def names(self) -> list[str]:
        """All files."""

    def read(self, name: str) -> bytes:
        """A whole file."""

    def create(self, name: str) -> None:
        """An empty file, in place of one of that name."""

    def append(self, name: str, data: bytes) -> None:
        """Add to its end. After an error any part of ``data`` may stand there."""

    def truncate(self, name: str, size: int) -> None:
        """Take away what stands behind ``size``."""

    def sync(self, name: str) -> None:
        """Return once the file, and its name, would outlive the machine."""

    def rename(self, old: str, new: str) -> None:
        """Rename, durably."""

    def remove(self, name: str) -> None:
        """Remove."""

    def close(self) -> None:
        """Let go of everything."""


class DirectoryStorage:
    """A directory. One process at a time may write it; ``write=False`` reads a live or damaged one.

    ``synced=False`` leaves out fsync. What is written then outlives the process, also one killed outright,
    but not the machine: it is for folders that are lost with their machine anyhow.
    """

    def __init__(self, folder: Path, write: bool = True, synced: bool = True) -> None:
        """Open it. Raises Locked, and OSError if it cannot be made or written."""
        self.folder, self.synced = folder, synced
        self.open: dict[str, int] = {}
        self.lock = -1
        if not write:
            return
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            if error.errno in (errno.EAGAIN, errno.EACCES):
                raise StorageLocked(f"{folder} is in use by another process") from None
            raise

    def names(self) -> list[str]:
        """All files."""
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """A whole file."""
        return (self.folder / name).read_bytes()

    def create(self, name: str) -> None:
        """An empty file."""
        self._forget(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self.open[name] = os.open(self.folder / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        """Add to its end, whole or with an error."""
        if name not in self.open:
            self.open[name] = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND)
        view = memoryview(data)
        while view:
            written = os.write(self.open[name], view)
            view = view[written:]

    def truncate(self, name: str, size: int) -> None:
        """Take away the end."""
        os.truncate(self.folder / name, size)

    def sync(self, name: str) -> None:
        """fsync the file and the directory."""
        if not self.synced:
            return
        if name not in self.open:
            self.open[name] = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND)
        os.fsync(self.open[name])
        self._sync_folder()

    def rename(self, old: str, new: str) -> None:
        """Rename, and fsync the directory."""
        self._forget(old)
        self._forget(new)
        os.replace(self.folder / old, self.folder / new)
        self._sync_folder()

    def remove(self, name: str) -> None:
        """Remove."""
        self._forget(name)
        (self.folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close all files and give the lock back."""
        for name in list(self.open):
            self._forget(name)
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    def _forget(self, name: str) -> None:
        descriptor = self.open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        if not self.synced:
            return
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
