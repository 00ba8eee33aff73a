"""Kept messages as files of a directory: one each, whole or not there, on disk before anybody is told."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

from brassweir.undelivered.item import Item, Room, decode, encode, is_name, name_of


class Full(OSError):
    """There is no room left for this one."""


class Kept:
    """One directory. ``most`` bounds it in bytes. All of it blocks: run it on a thread."""

    def __init__(self, folder: Path, most: int) -> None:
        """Open it; raises OSError where it cannot be made or read."""
        self.folder = folder
        self.room = Room(most)
        folder.mkdir(parents=True, exist_ok=True)
        self._look()

    def _look(self) -> None:
        found = {path.name: path.stat().st_size for path in self.folder.iterdir() if is_name(path.name)}
        for gone in self.room.sizes.keys() - found.keys():
            self.room.drop(gone)
        for name, size in found.items():
            self.room.add(name, size)

    def has(self, owner: str, identity: str) -> bool:
        """Is this message kept? Looks at the directory: an operator may have taken it out."""
        return (self.folder / name_of(owner, identity)).exists()

    def keep(self, item: Item) -> None:
        """Write it, to the disk itself; kept already is well. Raises Full, and OSError from the disk."""
        name = name_of(item.owner, item.identity)
        path = self.folder / name
        if path.exists():
            return
        data = encode(item)
        if not self.room.fits(len(data)):
            self._look()
            if not self.room.fits(len(data)):
                raise Full(f"{self.folder} holds {self.room.total} bytes of at most {self.room.most}")
        fresh = path.with_suffix(".new")
        with fresh.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.room.add(name, len(data))


def read_all(folder: Path) -> Iterator[tuple[Path, Item | str]]:
    """Every kept message of a directory, oldest first, or what is wrong with its file. Raises OSError."""
    paths = [path for path in folder.iterdir() if is_name(path.name)]
    found: list[tuple[float, Path, Item | str]] = []
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
