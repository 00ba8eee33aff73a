"""The endpoint list as it was last told, kept in the folder that lasts: a restart goes on from it.

A file of frames: length and CRC-32 (little-endian), then one change as compressed JSON; the first is a
whole list. What stands behind a frame that does not hold is not read. Writes are not synced: the folder
outlives the process, and is lost with its machine anyhow.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from brassweir.relay.endpoint_list import Change, ListError, read

NAME = "endpoint-list"
SHARE = 1 / 16  # of the folder, old and new file together; the journal leaves a tenth (journal.sizes)
LEAST_APPENDED = 4096  # bytes of changes behind a whole list before it is written anew
_FRAME = struct.Struct("<II")


class SavedList:
    """The file. Nothing here raises OSError: ``failed`` tells what went wrong, and a whole list is due."""

    def __init__(self, folder: Path, folder_bytes: int) -> None:
        self.path, self.room = folder / NAME, int(folder_bytes * SHARE) // 2
        self.size = self.whole_size = 0
        self.due = True  # a whole list has to be written before changes can follow it
        self.failed = ""

    def load(self) -> list[Change]:
        """What was kept: a whole list and the changes after it, as far as they hold."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            self.failed = error.strerror or str(error)
            return []
        return _changes(data)

    def append(self, change: Change, whole: Callable[[], Change]) -> None:
        """Keep a change; ``whole`` gives the list with it, and is asked only where that is written anew."""
        frame = _frame(change)
        appended = self.size - self.whole_size + len(frame)
        too_long = appended > max(LEAST_APPENDED, self.whole_size) or self.size + len(frame) > self.room
        if change.all or self.due or too_long:
            self.replace(whole())
            return
        try:
            with self.path.open("ab") as file:
                file.write(frame)
        except OSError as error:
            self._fail(error)
        else:
            self.size += len(frame)

    def replace(self, whole: Change) -> None:
        """Keep a whole list in place of all before it."""
        frame = _frame(whole)
        self.due = True
        if len(frame) > self.room:
            self.failed = f"a list of {len(frame)} bytes has no room; {self.room} are the most"
            return
        fresh = self.path.with_suffix(".new")
        try:
            fresh.write_bytes(frame)
            os.replace(fresh, self.path)
        except OSError as error:
            self._fail(error)
        else:
            self.size = self.whole_size = len(frame)
            self.due, self.failed = False, ""

    def _fail(self, error: OSError) -> None:
        self.failed, self.due = error.strerror or str(error), True


def _frame(change: Change) -> bytes:
    payload = zlib.compress(msgspec.json.encode(change), 1)
    return _FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def _changes(data: bytes) -> list[Change]:
    found: list[Change] = []
    at = 0
    while len(data) - at >= _FRAME.size:
        length, crc = _FRAME.unpack_from(data, at)
        payload = data[at + _FRAME.size : at + _FRAME.size + length]
        if len(payload) < length or zlib.crc32(payload) != crc:
            break
        try:
            found.append(read(zlib.decompress(payload)))
        except (ListError, zlib.error):
            break
        at += _FRAME.size + length
    return found
