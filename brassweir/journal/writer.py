"""Appends records to the journal by group commit, and runs callbacks once they are durable.

One group is written at a time; records added meanwhile wait for the next, so a slow disk makes groups larger.
Methods on the I/O side may run on a thread, one at a time; those on the loop side run on the event loop.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from brassweir.journal import frame
from brassweir.journal.group import Admission, CommitGroup, JournalBroken, JournalStalled
from brassweir.journal.records import Record, Taken
from brassweir.journal.reserve import ReserveFile
from brassweir.journal.room import Room
from brassweir.journal.scan import Scan, segment_name
from brassweir.journal.segments import SegmentFiles, new_segment_key
from brassweir.journal.sizes import SizeLimits
from brassweir.journal.snapshot import SnapshotWriter
from brassweir.journal.state import JournalState
from brassweir.journal.storage import DISK_FULL, Storage

PIECE_RECORDS = 64  # of a group that does not fit as a whole


class Writer:
    """Writes one journal. With ``retry_writes`` a failed write raises JournalStalled, else JournalBroken."""

    def __init__(
        self, storage: Storage, scanned: Scan, sizes: SizeLimits | None = None, retry_writes: bool = False
    ) -> None:
        self.storage, self.limits, self.retry_writes = storage, sizes or SizeLimits(), retry_writes
        self.failure: type[Exception] = JournalStalled if retry_writes else JournalBroken  # of a write
        self.state: JournalState = scanned.state
        self.state.limit_endpoints(self.limits.history_bytes)
        self.state.count_changes()
        self.sequence, self.segment = scanned.next_sequence, scanned.next_segment
        self.files = SegmentFiles(storage, scanned, tolerant=retry_writes)
        self.room = Room(self.state, self.files, self.limits)
        self.snapshots = SnapshotWriter(storage, self.files, self.room, tolerant=retry_writes)
        self.group = CommitGroup()
        self.writing = False
        self.unwritten: set[int] = set()  # messages whose Taken record is in a group not yet committed
        self.reserve = ReserveFile(storage, self.limits.reserve_bytes)
        self.records = self.commits = self.bytes = 0

    @property
    def total_bytes(self) -> int:
        """The size of the journal's segments."""
        return self.files.total_bytes

    def open(self) -> None:
        """Create the reserve file and begin a segment; with ``retry_writes`` the first commit retries what
        fails. Raises JournalBroken and OSError."""
        self._try_reserve()
        self._try_rotate()

    # ---- loop side

    def add(
        self, record: Record, then: Callable[[], None] | None, unable: Callable[[str], None] | None = None
    ) -> None:
        """Put a record into the next group; ``then`` runs once it is durable.

        Without room a Taken record with ``unable`` is refused: ``unable`` is called with the reason.
        """
        self.records += 1
        self.state.apply(record)
        if unable is not None and isinstance(record, Taken):
            self.unwritten.add(record.id)
            self.group.admissions.append(Admission(record, then or _nothing, unable))
            return
        self.group.records.append(record)
        if then is not None:
            self.group.then.append(then)

    def next_group(self) -> CommitGroup | None:
        """Return the group to commit now; None if one is being written or there is nothing to write."""
        if self.writing or not self.group:
            return None
        self.writing = True
        group, self.group = self.group, CommitGroup()
        return group

    def group_committed(self, group: CommitGroup, refused: list[Admission]) -> None:
        """Run the callbacks of a group that is now durable. ``refused`` is what :meth:`commit` returned.

        Nothing is kept, and nothing more is written, of the messages that were refused.
        """
        self.writing = False
        self.unwritten.difference_update(admission.record.id for admission in group.admissions)
        refused_ids = {admission.record.id for admission in refused}
        self.group.records = self.group.records_without(refused_ids)
        for ident in refused_ids:
            self.state.forget(ident)
        for admission in refused:
            admission.unable("there is no room to keep it")
        for then in group.then:
            then()

    # ---- I/O side

    def commit(self, group: CommitGroup) -> list[Admission]:
        """Write and sync one group; returns the messages that were refused.

        Raises JournalBroken, and JournalStalled if the group must be committed again.
        """
        self._prepare_segment()
        if self.reserve.missing:
            self._try_reserve()
        accepted, refused = self.room.divide(group, self.unwritten)
        if self.reserve.missing:
            accepted, refused = [], group.admissions
            self.room.wanted = True
        try:
            self._write_group(group, accepted, refused)
        except OSError as error:
            accepted, refused = [], group.admissions
            self._free_disk_space(error)
            try:
                self._write_group(group, accepted, refused)
            except OSError as again:
                raise self.failure(f"write failed on a full disk: {again}") from again
        group.then = [*(admission.then for admission in accepted), *group.then]
        if self.files.open_bytes >= self.limits.segment_bytes:
            self._try_rotate()
        return refused

    def _write_group(self, group: CommitGroup, accepted: list[Admission], refused: list[Admission]) -> None:
        """Write what a group says of the messages that are not refused."""
        owed = group.records_without({admission.record.id for admission in refused})
        records = [*(admission.record for admission in accepted), *owed]
        data = self._encode(records)
        if not self.room.fits(len(data), accepted, self.unwritten):
            self._write_what_fits(group)
            raise JournalStalled("the directory has no room until a compaction has ended")
        self._append(data, len(records))

    def _write_what_fits(self, group: CommitGroup) -> None:
        """Write and take out of a group what it says of messages accepted before, as far as there is room.

        A group that grew while no write passed may be larger than all the room that a compaction can make.
        """
        admitted = {admission.record.id for admission in group.admissions}
        owed = group.records_without(admitted)
        rest = [record for record in group.records if getattr(record, "id", 0) in admitted]
        while owed:
            piece, owed = owed[:PIECE_RECORDS], owed[PIECE_RECORDS:]
            data = self._encode(piece)
            if not self.room.fits(len(data), [], self.unwritten):
                return
            self._append(data, len(piece))
            group.records = [*owed, *rest]

    def _free_disk_space(self, error: OSError) -> None:
        """Remove what can be spared on a full disk. Raises as :meth:`commit` if that cannot help."""
        if error.errno not in DISK_FULL or (self.reserve.missing and self.snapshots.file is None):
            raise self.failure(f"write failed: {error}") from error
        try:
            self.snapshots.discard()
            self.reserve.release()
            self._truncate_torn()
        except OSError as again:
            raise self.failure(f"write failed on a full disk: {again}") from again

    def _prepare_segment(self) -> None:
        """Begin a segment if none is open, and truncate what a failed write left. Raises as _rotate does."""
        if not self.files.open_name:
            self._rotate()
        if self.files.leftover:
            self.files.retry_removals()
        if self.files.torn_bytes:
            try:
                self._truncate_torn()
            except OSError as error:
                raise JournalStalled(f"truncate failed: {error}") from error

    def _truncate_torn(self) -> None:
        self.storage.truncate(self.files.open_name, self.files.open_bytes)
        self.files.torn_bytes = 0

    def _try_rotate(self) -> None:
        """Begin the next segment. With ``retry_writes`` a failure leaves the open one in use."""
        with suppress(JournalStalled):  # tried again after the next group
            self._rotate()

    def _encode(self, records: list[Record]) -> bytes:
        # Numbered only here, so that refused records leave no gap in the sequence.
        return frame.encode_frames(self.sequence, records, self.files.open_key, self.files.open_bytes)

    def _append(self, data: bytes, records: int) -> None:
        """Append so many encoded records to the open segment, and sync it."""
        if not records:
            return
        self.files.torn_bytes = len(data)
        self.storage.append(self.files.open_name, data)
        try:
            self.storage.sync(self.files.open_name)
        except OSError as error:
            # After a failed fsync it is unknown what is on the disk, so a retry cannot be trusted.
            raise JournalBroken(f"sync failed: {error}") from error
        self.sequence += records
        self.files.torn_bytes = 0
        self.files.open_bytes += len(data)
        self.bytes += len(data)
        self.commits += 1

    def _rotate(self) -> None:
        """Begin the next segment. Raises JournalBroken, or JournalStalled with the old one still open."""
        name = segment_name(self.segment)
        header = frame.encode_header(self.segment, self.sequence, key := new_segment_key())
        try:
            self.storage.create(name)
            self.storage.append(name, header)
            self.storage.sync(name)
        except OSError as error:
            raise self.failure(f"cannot begin a segment: {error}") from error
        self.files.opened(name, len(header), key)
        self.segment += 1

    def _try_reserve(self) -> None:
        try:
            self.reserve.create()
        except OSError as error:
            if not self.retry_writes:
                raise JournalBroken(f"cannot create the reserve file: {error}") from error

    # ---- compaction

    def should_compact(self) -> bool:
        """Return whether it is time for a snapshot, and there is room to write it."""
        return self.room.should_compact()

    def close_segment(self) -> int:
        """Begin a new segment and return the closed one's number. Raises JournalBroken and JournalStalled."""
        self._prepare_segment()
        number = self.segment - 1
        self._rotate()
        return number

    def snapshot(self, records: list[Record], number: int) -> None:
        """Write ``records``, which hold all that is live in the segments up to ``number``, as a snapshot, and
        remove those segments. Raises JournalBroken and OSError; see :class:`SnapshotWriter`."""
        if self.snapshots.begin(number, self.state.live_bytes) and self.snapshots.add(records):
            self.snapshots.finish()


def _nothing() -> None:
    """Do nothing: for an accepted message that nobody waits for."""
