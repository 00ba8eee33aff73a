"""The storage interface of the journal, and its implementation on a directory.

Every call may raise OSError. Nothing counts as written before :meth:`Storage.sync` has returned. After a
failed sync it is unknown what is on the disk, so the caller must not treat the data as written.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

RESERVE_NAME = "reserve"
LOCK_NAME = "lock"
DISK_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})


class StorageLocked(Exception):
    """Another process holds the lock of this directory."""


class Storage(Protocol):
    """A flat directory of append-only files."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""

    def create(self, name: str) -> None:
        """Create an empty file, replacing one of that name."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file. After an error any part of ``data`` may have been written."""

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file and its directory entry durable against a crash of the machine."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing one of the new name, and make that durable."""

    def remove(self, name: str) -> None:
        """Remove a file; does nothing if there is none."""

    def close(self) -> None:
        """Close all files and release the lock."""


class DirectoryStorage:
    """Storage in a directory, which one process at a time may write.

    ``write=False`` takes no lock: for reading a journal that is in use or damaged. ``synced=False`` leaves
    out fsync: written data then survives a crash of the process, SIGKILL included, but not one of the
    machine. It is for directories that are lost with their machine.
    """

    def __init__(self, directory: Path, write: bool = True, synced: bool = True) -> None:
        """Create the directory if needed and lock it. Raises StorageLocked, and OSError."""
        self.directory, self.synced = directory, synced
        self.descriptors: dict[str, int] = {}
        self.lock_descriptor = -1
        if not write:
            return
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.lock_descriptor = os.open(directory / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock_descriptor)
            if error.errno in (errno.EAGAIN, errno.EACCES):
                raise StorageLocked(f"{directory} is in use by another process") from None
            raise

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(path.name for path in self.directory.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.directory / name).read_bytes()

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return (self.directory / name).stat().st_size

    def create(self, name: str) -> None:
        """Create an empty file, replacing one of that name."""
        self._close_file(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self.descriptors[name] = os.open(self.directory / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        """Append all of ``data``, or raise OSError."""
        if name not in self.descriptors:
            self.descriptors[name] = os.open(self.directory / name, os.O_WRONLY | os.O_APPEND)
        remaining = memoryview(data)
        while remaining:
            written = os.write(self.descriptors[name], remaining)
            remaining = remaining[written:]

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to ``size`` bytes."""
        os.truncate(self.directory / name, size)

    def sync(self, name: str) -> None:
        """fsync the file and the directory, unless the storage is not synced."""
        if not self.synced:
            return
        if name not in self.descriptors:
            self.descriptors[name] = os.open(self.directory / name, os.O_WRONLY | os.O_APPEND)
        os.fsync(self.descriptors[name])
        self._sync_directory()

    def rename(self, old: str, new: str) -> None:
        """Rename a file and fsync the directory."""
        self._close_file(old)
        self._close_file(new)
        os.replace(self.directory / old, self.directory / new)
        self._sync_directory()

    def remove(self, name: str) -> None:
        """Remove a file; does nothing if there is none."""
        self._close_file(name)
        (self.directory / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self.descriptors):
            self._close_file(name)
        if self.lock_descriptor >= 0:
            os.close(self.lock_descriptor)
            self.lock_descriptor = -1

    def _close_file(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_directory(self) -> None:
        if not self.synced:
            return
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
