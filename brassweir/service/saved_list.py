"""Saves the endpoint list to a file, so that a restarted process knows the last list received.

The file is a sequence of frames: length and CRC-32 (little-endian), then one change as
:mod:`brassweir.relay.list_columns` writes it. The first frame is a snapshot, the others are deltas. Reading
stops at the first damaged frame. Writes are not synced: the directory outlives the process, and is lost with
the machine in any case.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

from brassweir.relay import list_columns
from brassweir.relay.endpoint_list import Change, ListError

FILE_NAME = "endpoint-list"
DISK_SHARE = 1 / 16  # for old and new file together; the journal leaves a tenth (see journal.sizes)
MIN_DELTA_BYTES = 4096  # deltas after a snapshot before the file is rewritten
_FRAME_HEADER = struct.Struct("<II")


class SavedList:
    """The file with the saved list.

    No method raises OSError: a failed write sets ``failure`` to its reason and ``snapshot_due`` to true.
    """

    def __init__(self, directory: Path, directory_bytes: int) -> None:
        self.path, self.max_bytes = directory / FILE_NAME, int(directory_bytes * DISK_SHARE) // 2
        self.file_bytes = self.snapshot_bytes = 0
        self.snapshot_due = True  # a snapshot has to be written before deltas can follow
        self.failure = ""

    def load(self) -> list[Change]:
        """Read the snapshot and the deltas after it, up to the first damaged frame.

        Returns [] if there is no file.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            self.failure = error.strerror or str(error)
            return []
        return _decode_changes(data)

    def append(self, change: Change, snapshot: Callable[[], Change]) -> None:
        """Append a delta, or replace the file by ``snapshot()`` if it has grown too large or a write failed.

        ``snapshot`` returns the list with the change applied.
        """
        frame = _encode_frame(change)
        delta_bytes = self.file_bytes - self.snapshot_bytes + len(frame)
        too_large = (
            delta_bytes > max(MIN_DELTA_BYTES, self.snapshot_bytes)
            or self.file_bytes + len(frame) > self.max_bytes
        )
        if change.all or self.snapshot_due or too_large:
            self.replace(snapshot())
            return
        try:
            with self.path.open("ab") as file:
                file.write(frame)
        except OSError as error:
            self._fail(error)
        else:
            self.file_bytes += len(frame)

    def replace(self, snapshot: Change) -> None:
        """Replace the file by a snapshot. One that is too large is not written and sets ``failure``."""
        frame = _encode_frame(snapshot)
        self.snapshot_due = True
        if len(frame) > self.max_bytes:
            self.failure = (
                f"a list of {len(frame)} bytes exceeds the limit of {self.max_bytes} bytes (disk_mb / 32); "
                "a restart while discovery is down would use an older list"
            )
            return
        temporary = self.path.with_suffix(".new")
        try:
            temporary.write_bytes(frame)
            os.replace(temporary, self.path)
        except OSError as error:
            self._fail(error)
        else:
            self.file_bytes = self.snapshot_bytes = len(frame)
            self.snapshot_due, self.failure = False, ""

    def _fail(self, error: OSError) -> None:
        self.failure, self.snapshot_due = error.strerror or str(error), True


def _encode_frame(change: Change) -> bytes:
    payload = list_columns.encode(change)
    return _FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _decode_changes(data: bytes) -> list[Change]:
    changes: list[Change] = []
    offset = 0
    while len(data) - offset >= _FRAME_HEADER.size:
        length, crc = _FRAME_HEADER.unpack_from(data, offset)
        payload = data[offset + _FRAME_HEADER.size : offset + _FRAME_HEADER.size + length]
        if len(payload) < length or zlib.crc32(payload) != crc:
            break
        try:
            changes.append(list_columns.decode(payload))
        except ListError:
            break
        offset += _FRAME_HEADER.size + length
    return changes
