"""Kept messages as files of a directory: one each, whole or not there, on disk before anybody is told."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

from brassweir.undelivered.item import StorageQuota, UndeliveredItem, decode, encode, file_name, is_file_name


class StoreFull(OSError):
    """There is no room left for this one."""


class UndeliveredStore:
    """One directory. ``most`` bounds it in bytes. All of it blocks: run it on a thread."""

    def __init__(self, folder: Path, most: int) -> None:
        """Open it; raises OSError where it cannot be made or read."""
        self.directory = folder
        self.quota = StorageQuota(most)
        folder.mkdir(parents=True, exist_ok=True)
        self._look()

    def _look(self) -> None:
        found = {
            path.name: path.stat().st_size for path in self.directory.iterdir() if is_file_name(path.name)
        }
        for gone in self.quota.sizes.keys() - found.keys():
            self.quota.drop(gone)
        for name, size in found.items():
            self.quota.add(name, size)

    def has(self, owner: str, identity: str) -> bool:
        """Is this message kept? Looks at the directory: an operator may have taken it out."""
        return (self.directory / file_name(owner, identity)).exists()

    def save(self, item: UndeliveredItem) -> None:
        """Write it, to the disk itself; kept already is well. Raises Full, and OSError from the disk."""
        name = file_name(item.owner, item.identity)
        path = self.directory / name
        if path.exists():
            return
        data = encode(item)
        if not self.quota.fits(len(data)):
            self._look()
            if not self.quota.fits(len(data)):
                raise StoreFull(
                    f"{self.directory} holds {self.quota.total} bytes of at most {self.quota.most}"
                )
        fresh = path.with_suffix(".new")
        with fresh.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(path)
        folder = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.quota.add(name, len(data))


def read_all(folder: Path) -> Iterator[tuple[Path, UndeliveredItem | str]]:
    """Every kept message of a directory, oldest first, or what is wrong with its file. Raises OSError."""
    paths = [path for path in folder.iterdir() if is_file_name(path.name)]
    found: list[tuple[float, Path, UndeliveredItem | str]] = []
    for path in paths:
        try:
            item = decode(path.read_bytes())
            found.append((item.at, path, item))
        except ValueError as error:
            found.append((0.0, path, str(error)))
        except FileNotFoundError:
            continue  # taken out meanwhile
    for _, path, one in sorted(found, key=lambda row: (row[0], row[1].name)):
        yield path, one
