"""Saves the endpoint list to a file, so that a restarted process knows the last list received.

The file is a sequence of frames: length and CRC-32 (little-endian), then one change as compressed JSON. The
first frame is a snapshot, the others are deltas. Reading stops at the first damaged frame. Writes are not
synced: the directory outlives the process, and is lost with the machine in any case.
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
SHARE = 1 / 16  # for old and new file together; the journal leaves a tenth (see journal.sizes)
LEAST_APPENDED = 4096  # deltas after a snapshot before the file is rewritten
_FRAME = struct.Struct("<II")


class SavedList:
    """The file with the saved list.

    No method raises OSError: a failed write sets ``failure`` to its reason and ``snapshot_due`` to true.
    """

    def __init__(self, folder: Path, folder_bytes: int) -> None:
        self.path, self.room = folder / NAME, int(folder_bytes * SHARE) // 2
        self.size = self.whole_size = 0
        self.due = True  # a snapshot has to be written before deltas can follow
        self.failed = ""

    def load(self) -> list[Change]:
        """Read the snapshot and the deltas after it, up to the first damaged frame.

        Returns [] if there is no file.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            self.failed = error.strerror or str(error)
            return []
        return _changes(data)

    def append(self, change: Change, whole: Callable[[], Change]) -> None:
        """Append a delta, or replace the file by ``snapshot()`` if it has grown too large or a write failed.

        ``snapshot`` returns the list with the change applied.
        """
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
        """Replace the file by a snapshot. One that is too large is not written and sets ``failure``."""
        frame = _frame(whole)
        self.due = True
        if len(frame) > self.room:
            self.failed = f"a list of {len(frame)} bytes exceeds the limit of {self.room} bytes"
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
