"""Writes a snapshot into a file of its own, piece by piece, and replaces the segments by it. I/O side."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brassweir.journal import frame
from brassweir.journal.group import JournalBroken
from brassweir.journal.records import Record, Whole
from brassweir.journal.room import Room
from brassweir.journal.scan import segment_name
from brassweir.journal.segments import SegmentFiles, new_segment_key
from brassweir.journal.storage import DISK_FULL, Storage

CHUNK_RECORDS = 512  # frames joined in one write


class SnapshotFile:
    """A snapshot being written, of the segments up to ``number``. Every method may raise OSError.

    ``size`` is that of its file, with what a failed write may have left. Until :meth:`finish` the file has a
    temporary name, under which a later process removes it.
    """

    def __init__(self, storage: Storage, number: int) -> None:
        self.storage, self.number = storage, number
        self.name = segment_name(number, snapshot=True)  # sorts after the log of that number
        self.temporary_name = self.name + ".new"
        self.key = new_segment_key()
        self.size = self.records = 0

    def begin(self) -> None:
        """Create the file."""
        self.storage.create(self.temporary_name)
        self._append(frame.encode_header(self.number, 0, self.key))

    def add(self, records: Sequence[Record]) -> None:
        """Append records."""
        for start in range(0, len(records), CHUNK_RECORDS):
            chunk = records[start : start + CHUNK_RECORDS]
            self._append(frame.encode_frames(self.records, [*chunk], self.key, self.size))
            self.records += len(chunk)

    def finish(self) -> None:
        """Append the end, sync the file, and give it its name."""
        self._append(frame.encode_frame(self.records, Whole(self.records), self.key, self.size))
        self.storage.sync(self.temporary_name)
        self.storage.rename(self.temporary_name, self.name)

    def _append(self, data: bytes) -> None:
        self.size += len(data)
        self.storage.append(self.temporary_name, data)


class SnapshotWriter:
    """Writes one snapshot at a time.

    Each step returns whether the snapshot goes on. On a full disk, and with ``tolerant`` on any error, it is
    discarded and the segments stay; other errors raise JournalBroken. It is discarded too where the bound of
    the directory would be exceeded.
    """

    def __init__(self, storage: Storage, files: SegmentFiles, room: Room, tolerant: bool) -> None:
        self.storage, self.files, self.room, self.tolerant = storage, files, room, tolerant
        self.file: SnapshotFile | None = None

    def begin(self, number: int, expected_bytes: int) -> bool:
        """Begin a snapshot of the segments up to ``number``, which will take about so many bytes."""
        self.file = SnapshotFile(self.storage, number)
        self.room.snapshot_begun(expected_bytes)
        return self._try(self.file.begin)

    def add(self, records: Sequence[Record]) -> bool:
        """Append records."""
        file = self.file
        if file is None:
            return False
        if not self.room.snapshot_fits(file.size + sum(map(frame.frame_bytes, records))):
            self.discard()
            return False
        return self._try(lambda: file.add(records))

    def finish(self) -> bool:
        """Complete the snapshot, and remove the segments that it replaces."""
        file = self.file
        if file is None or not self._try(file.finish):
            return False
        self._ended()
        self.files.replaced(file.name, file.size, file.number)
        return True

    def discard(self) -> None:
        """Remove an unfinished snapshot. Raises OSError unless errors are tolerated."""
        file = self.file
        if file is not None:
            self._ended()
            self.files.remove(file.temporary_name, file.size)

    def _ended(self) -> None:
        self.file = None
        self.room.snapshot_ended()

    def _try(self, step: Callable[[], None]) -> bool:
        try:
            step()
        except OSError as error:
            if error.errno not in DISK_FULL and not self.tolerant:
                raise JournalBroken(f"snapshot failed: {error}") from error
            self.discard()
            return False
        return True
