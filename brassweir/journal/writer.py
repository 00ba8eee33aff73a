"""Appends records to the journal by group commit, and runs callbacks once they are durable.

One group is written at a time; records added meanwhile wait for the next, so a slow disk makes groups larger.
Methods on the I/O side may run on a thread, one at a time; those on the loop side run on the event loop.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress

from brassweir.journal import compact, frame, snapshot
from brassweir.journal.group import CommitGroup, JournalBroken, JournalStalled
from brassweir.journal.records import Record, Taken
from brassweir.journal.scan import Scan, segment_name
from brassweir.journal.sizes import SizeLimits
from brassweir.journal.state import JournalState
from brassweir.journal.storage import RESERVE_NAME, Storage

DISK_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})


class Writer:
    """Writes one journal. With ``retry_writes`` a failed write raises JournalStalled, else JournalBroken."""

    def __init__(
        self, storage: Storage, scanned: Scan, sizes: SizeLimits | None = None, retry_writes: bool = False
    ) -> None:
        self.storage, self.limits, self.retry_writes = storage, sizes or SizeLimits(), retry_writes
        self.needs_truncate = False  # a failed write may have left bytes after ``size``
        self.state: JournalState = scanned.state
        self.sequence, self.segment = scanned.next_sequence, scanned.next_segment
        self.name = ""  # the file of the open segment; empty until there is one
        self.size = 0  # bytes of the open segment
        self.older = [*scanned.segments]  # segments that a snapshot would replace
        self.total_bytes = scanned.size
        self.sizes: dict[str, int] = dict.fromkeys(self.older[:1], scanned.size)  # bytes by file
        self.group = CommitGroup()
        self.writing = False
        self.full = False  # the reserve file is missing: no new message is accepted
        self.records = self.commits = self.bytes = 0

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

        On a full disk a Taken record with ``unable`` is refused: ``unable`` is called with the reason.
        """
        self.records += 1
        self.state.apply(record)
        if unable is not None and isinstance(record, Taken):
            self.group.admits.append((record, then or (lambda: None), unable))
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

    def group_committed(self, group: CommitGroup, refused: list[Callable[[str], None]]) -> None:
        """Run the callbacks of a group that is now durable. ``refused`` is what :meth:`commit` returned."""
        self.writing = False
        for unable in refused:
            unable("there is no room to keep it")
        for then in group.then:
            then()

    # ---- I/O side

    def commit(self, group: CommitGroup) -> list[Callable[[str], None]]:
        """Write and sync one group; returns the ``unable`` callbacks of the records that were refused.
        Raises JournalBroken, and JournalStalled if the group must be committed again."""
        self._prepare_segment()
        refused: list[Callable[[str], None]] = []
        admits = group.admits
        if self.full:
            self._try_reserve()
        if self.full or not self._fits(group):
            refused, admits = [unable for _, _, unable in admits], []
        try:
            self._write([*(record for record, _, _ in admits), *group.records])
            group.then = [*(then for _, then, _ in admits), *group.then]
        except OSError as error:
            if error.errno not in DISK_FULL or self.full:
                raise self._failed("write failed", error) from error
            self.full = True
            refused += [unable for _, _, unable in admits]
            try:
                self.storage.remove(RESERVE_NAME)
                self.storage.truncate(self.name, self.size)
                self._write(group.records)
            except OSError as again:
                raise self._failed("write failed on a full disk", again) from again
        if self.size >= self.limits.segment_bytes:
            self._try_rotate()
        return refused

    def _failed(self, text: str, error: OSError) -> JournalBroken | JournalStalled:
        """Return the exception for a failed write, and remember to truncate the segment."""
        self.needs_truncate = True
        return JournalStalled(f"{text}: {error}") if self.retry_writes else JournalBroken(f"{text}: {error}")

    def _prepare_segment(self) -> None:
        """Begin a segment if none is open, and truncate what a failed write left. Raises as _rotate does."""
        if not self.name:
            self._rotate()
        if self.needs_truncate:
            try:
                self.storage.truncate(self.name, self.size)
            except OSError as error:
                raise JournalStalled(f"truncate failed: {error}") from error
            self.needs_truncate = False

    def _try_rotate(self) -> None:
        """Begin the next segment. With ``retry_writes`` a failure leaves the open one in use."""
        with suppress(JournalStalled):  # tried again after the next group
            self._rotate()

    def _fits(self, group: CommitGroup) -> bool:
        """Return whether the messages that a group accepts fit within the size limit, if there is one."""
        if not self.limits.max_bytes or not group.admits:
            return True
        needed = sum(
            len(new.content) + compact.ENDED_BYTES for new, _, _ in group.admits if isinstance(new, Taken)
        )
        return self.total_bytes + needed <= self.limits.max_bytes

    def _write(self, records: list[Record]) -> None:
        if not records:
            return
        # Numbered only here, so that refused records leave no gap in the sequence.
        data = b"".join(frame.encode_frame(self.sequence + i, record) for i, record in enumerate(records))
        self.storage.append(self.name, data)
        try:
            self.storage.sync(self.name)
        except OSError as error:
            # After a failed fsync it is unknown what is on the disk, so a retry cannot be trusted.
            raise JournalBroken(f"sync failed: {error}") from error
        self.sequence += len(records)
        self.size += len(data)
        self.total_bytes += len(data)
        self.bytes += len(data)
        self.commits += 1

    def _rotate(self) -> None:
        """Begin the next segment. Raises JournalBroken, or JournalStalled with the old one still open."""
        name = segment_name(self.segment)
        header = frame.encode_header(self.segment, self.sequence)
        try:
            self.storage.create(name)
            self.storage.append(name, header)
            self.storage.sync(name)
        except OSError as error:
            if not self.retry_writes:
                raise JournalBroken(f"cannot begin a segment: {error}") from error
            raise JournalStalled(f"cannot begin a segment: {error}") from error
        if self.name:
            self.older.append(self.name)
            self.sizes[self.name] = self.size
        self.name = name
        self.segment += 1
        self.size = len(header)
        self.total_bytes += len(header)

    def _reserve(self) -> None:
        try:
            self.storage.create(RESERVE_NAME)
            self.storage.append(RESERVE_NAME, b"\0" * self.limits.reserve_bytes)
            self.storage.sync(RESERVE_NAME)
            self.full = False
        except OSError as error:
            if error.errno not in DISK_FULL:
                raise
            self.remove_file(RESERVE_NAME)
            self.full = True

    def _try_reserve(self) -> None:
        try:
            self._reserve()
        except OSError as error:
            self.full = True
            if not self.retry_writes:
                raise JournalBroken(f"cannot create the reserve file: {error}") from error

    # ---- compaction

    def should_compact(self) -> bool:
        """Return whether it is time for a snapshot."""
        if self.total_bytes <= self.limits.min_compact_bytes:
            return False
        messages = self.state.by_id.values()
        live = sum(
            len(message.taken.content) if message.taken is not None and message.final is None else 0
            for message in messages
        ) + compact.ENDED_BYTES * len(messages)
        return compact.should_compact(self.total_bytes, live, self.limits.min_compact_bytes) and not self.full

    def close_segment(self) -> int:
        """Begin a new segment, for records that follow a snapshot; returns the number of the closed one.
        Raises JournalBroken and JournalStalled."""
        number = self.segment - 1
        self._rotate()
        return number

    def snapshot(self, records: list[Record], number: int) -> None:
        """Write ``records``, which hold all that is live in the segments up to ``number``, as a snapshot, and
        remove those segments. On a full disk, and with ``retry_writes`` on any error, they stay. Otherwise
        raises JournalBroken."""
        name = segment_name(number, snapshot=True)  # sorts after the log of that number and before the next
        temporary = name + ".new"
        try:
            size = snapshot.write(self.storage, temporary, number, records)
            self.storage.rename(temporary, name)
        except OSError as error:
            if error.errno in DISK_FULL or self.retry_writes:
                self.remove_file(temporary)
                return
            raise JournalBroken(f"snapshot failed: {error}") from error
        replaced = [segment for segment in self.older if int(segment.partition(".")[0]) <= number]
        for segment in replaced:
            self.remove_file(segment)
            self.total_bytes -= self.sizes.pop(segment, 0)
        self.older = [name, *(segment for segment in self.older if segment not in replaced)]
        self.sizes[name] = size
        self.total_bytes += size

    def remove_file(self, name: str) -> None:
        """Remove a file. With ``retry_writes`` errors are ignored: the next process finds it stale."""
        try:
            self.storage.remove(name)
        except OSError:
            if not self.retry_writes:
                raise
