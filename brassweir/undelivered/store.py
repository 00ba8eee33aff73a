"""Stores undelivered messages as files of a directory: one file each, complete or absent, and fsynced."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

from brassweir.undelivered.item import StorageQuota, UndeliveredItem, decode, encode, file_name, is_file_name


class StoreFull(OSError):
    """The message does not fit into the storage quota."""


class UndeliveredStore:
    """A directory with at most ``max_bytes`` of messages. All methods block: call them on a thread."""

    def __init__(self, directory: Path, max_bytes: int) -> None:
        """Open the directory, and create it if it does not exist. Raises OSError if that fails."""
        self.directory = directory
        self.quota = StorageQuota(max_bytes)
        directory.mkdir(parents=True, exist_ok=True)
        self._rescan()

    def _rescan(self) -> None:
        sizes = {
            path.name: path.stat().st_size for path in self.directory.iterdir() if is_file_name(path.name)
        }
        for removed in self.quota.sizes.keys() - sizes.keys():
            self.quota.drop(removed)
        for name, size in sizes.items():
            self.quota.add(name, size)

    def has(self, owner: str, identity: str) -> bool:
        """Whether this message is stored; an operator may have removed its file since."""
        return (self.directory / file_name(owner, identity)).exists()

    def save(self, item: UndeliveredItem) -> None:
        """Write a message and fsync it; does nothing if it is stored already.

        Raises StoreFull if it does not fit into the quota, and OSError if writing fails.
        """
        name = file_name(item.owner, item.identity)
        path = self.directory / name
        if path.exists():
            return
        data = encode(item)
        if not self.quota.fits(len(data)):
            self._rescan()
            if not self.quota.fits(len(data)):
                raise StoreFull(
                    f"{self.directory} holds {self.quota.total} bytes of at most {self.quota.max_bytes}"
                )
        temporary = path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self.quota.add(name, len(data))


def read_all(directory: Path) -> Iterator[tuple[Path, UndeliveredItem | str]]:
    """Yield each stored message with its path, oldest first.

    In place of a message that cannot be read, it yields the reason; these come first. Raises OSError.
    """
    paths = [path for path in directory.iterdir() if is_file_name(path.name)]
    rows: list[tuple[float, Path, UndeliveredItem | str]] = []
    for path in paths:
        try:
            item = decode(path.read_bytes())
            rows.append((item.at, path, item))
        except ValueError as error:
            rows.append((0.0, path, str(error)))
        except FileNotFoundError:
            continue  # removed in the meantime
    for _, path, item_or_reason in sorted(rows, key=lambda row: (row[0], row[1].name)):
        yield path, item_or_reason
