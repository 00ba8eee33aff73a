"""Appends records in groups and says when they are durable. Knows no thread and no clock of its own.

One group is written at a time: what comes meanwhile waits for the next, so a slow disk makes groups larger
and not commits more. :meth:`commit` does the I/O and may run on any one thread; all else is the loop's.
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

NO_ROOM = frozenset({errno.ENOSPC, errno.EDQUOT})


class Writer:
    """The end of one journal; a ``patient`` one raises Stalled, not Broken, where a write may pass later."""

    def __init__(
        self, storage: Storage, found: Scan, sizes: SizeLimits | None = None, patient: bool = False
    ) -> None:
        self.storage, self.limits, self.patient = storage, sizes or SizeLimits(), patient
        self.torn = False  # a write that failed may have left bytes behind ``size``
        self.state: JournalState = found.state
        self.sequence, self.segment = found.next_sequence, found.next_segment
        self.name = ""
        self.size = 0  # of the segment being written
        self.older = [*found.segments]  # segments that a snapshot would replace
        self.total_bytes = found.size
        self.sizes: dict[str, int] = dict.fromkeys(self.older[:1], found.size)
        self.group = CommitGroup()
        self.writing = False
        self.full = False  # the reserve is in use: nothing new is taken on
        self.records = self.commits = self.bytes = 0

    def open(self) -> None:
        """Start a segment of its own and set the reserve aside. Raises OSError and Broken; a patient writer
        that finds no way to write begins its segment with the first group."""
        self._try_room()
        self._rotate_in_time()

    # ---- the loop's side

    def add(
        self, record: Record, then: Callable[[], None] | None, unable: Callable[[str], None] | None = None
    ) -> None:
        """Put a record into the next group; ``then`` runs once it is durable.

        With ``unable`` it is one that may be refused for want of room.
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
        """The group to commit now, or None if one is being written or there is nothing to write."""
        if self.writing or not self.group:
            return None
        self.writing = True
        group, self.group = self.group, CommitGroup()
        return group

    def group_committed(self, group: CommitGroup, refused: list[Callable[[str], None]]) -> None:
        """A group is durable: run what waited for it."""
        self.writing = False
        for unable in refused:
            unable("there is no room to keep it")
        for then in group.then:
            then()

    # ---- the I/O side

    def commit(self, group: CommitGroup) -> list[Callable[[str], None]]:
        """Write and sync one group; returns what to tell those that found no room. Raises Broken and, with
        nothing of the group written, Stalled."""
        self._mend()
        refused: list[Callable[[str], None]] = []
        admits = group.admits
        if self.full:
            self._try_room()
        if self.full or not self._fits(group):
            refused, admits = [unable for _, _, unable in admits], []
        try:
            self._write([*(record for record, _, _ in admits), *group.records])
            group.then = [*(then for _, then, _ in admits), *group.then]
        except OSError as error:
            if error.errno not in NO_ROOM or self.full:
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
            self._rotate_in_time()
        return refused

    def _failed(self, what: str, error: OSError) -> JournalBroken | JournalStalled:
        """What a failed write amounts to."""
        self.torn = True
        return JournalStalled(f"{what}: {error}") if self.patient else JournalBroken(f"{what}: {error}")

    def _mend(self) -> None:
        """Cut off what a failed write left, and see that there is a segment. Raises Stalled."""
        if not self.name:
            self._rotate()
        if self.torn:
            try:
                self.storage.truncate(self.name, self.size)
            except OSError as error:
                raise JournalStalled(f"cut failed: {error}") from error
            self.torn = False

    def _rotate_in_time(self) -> None:
        """Begin the next segment; a patient writer goes on in this one where that fails."""
        with suppress(JournalStalled):  # it is tried again with the next group
            self._rotate()

    def _fits(self, group: CommitGroup) -> bool:
        """Is there room for what a group takes on, where the folder has a bound?"""
        if not self.limits.max_bytes or not group.admits:
            return True
        wanted = sum(
            len(one.content) + compact.ANSWER for one, _, _ in group.admits if isinstance(one, Taken)
        )
        return self.total_bytes + wanted <= self.limits.max_bytes

    def _write(self, records: list[Record]) -> None:
        if not records:
            return
        # Numbered here, so that what a full disk refuses leaves no gap.
        data = b"".join(frame.encode_frame(self.sequence + i, record) for i, record in enumerate(records))
        self.storage.append(self.name, data)
        try:
            self.storage.sync(self.name)
        except OSError as error:
            # After a failed sync nothing is known of what the system holds: no second try can be trusted.
            raise JournalBroken(f"sync failed: {error}") from error
        self.sequence += len(records)
        self.size += len(data)
        self.total_bytes += len(data)
        self.bytes += len(data)
        self.commits += 1

    def _rotate(self) -> None:
        """Close the segment and begin the next. Raises Broken, or Stalled with the old one still open."""
        name = segment_name(self.segment)
        head = frame.encode_header(self.segment, self.sequence)
        try:
            self.storage.create(name)
            self.storage.append(name, head)
            self.storage.sync(name)
        except OSError as error:
            if not self.patient:
                raise JournalBroken(f"no new segment: {error}") from error
            raise JournalStalled(f"no new segment: {error}") from error
        if self.name:
            self.older.append(self.name)
            self.sizes[self.name] = self.size
        self.name = name
        self.segment += 1
        self.size = len(head)
        self.total_bytes += len(head)

    def _reserve(self) -> None:
        try:
            self.storage.create(RESERVE_NAME)
            self.storage.append(RESERVE_NAME, b"\0" * self.limits.reserve_bytes)
            self.storage.sync(RESERVE_NAME)
            self.full = False
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            self.remove_file(RESERVE_NAME)
            self.full = True

    def _try_room(self) -> None:
        try:
            self._reserve()
        except OSError as error:
            self.full = True
            if not self.patient:
                raise JournalBroken(f"the reserve cannot be made: {error}") from error

    # ---- compaction

    def should_compact(self) -> bool:
        """Is it time for a snapshot?"""
        if self.total_bytes <= self.limits.min_compact_bytes:
            return False
        lives = self.state.by_id.values()
        live = sum(
            len(life.taken.content) if life.taken is not None and life.final is None else 0 for life in lives
        ) + compact.ANSWER * len(lives)
        return compact.should_compact(self.total_bytes, live, self.limits.min_compact_bytes) and not self.full

    def close_segment(self) -> int:
        """Begin a segment; what is added from now on stands behind a snapshot of all before. Returns the
        number of the one that is closed. Raises Broken."""
        number = self.segment - 1
        self._rotate()
        return number

    def snapshot(self, records: list[Record], number: int) -> None:
        """Write these records as a whole snapshot of the segments up to ``number``, then let those go.

        The records may know more than those segments held, never less. A full disk ends it without harm: the
        older segments still stand. Raises Broken.
        """
        name = segment_name(number, snapshot=True)  # sorts behind its own log, before the next
        temporary = name + ".new"
        try:
            size = snapshot.write(self.storage, temporary, number, records)
            self.storage.rename(temporary, name)
        except OSError as error:
            if error.errno in NO_ROOM or self.patient:
                self.remove_file(temporary)
                return
            raise JournalBroken(f"snapshot failed: {error}") from error
        replaced = [one for one in self.older if int(one.partition(".")[0]) <= number]
        for one in replaced:
            self.remove_file(one)
            self.total_bytes -= self.sizes.pop(one, 0)
        self.older = [name, *(one for one in self.older if one not in replaced)]
        self.sizes[name] = size
        self.total_bytes += size

    def remove_file(self, name: str) -> None:
        """Remove a file that is of no further use. One that stays is stale to the next process."""
        try:
            self.storage.remove(name)
        except OSError:
            if not self.patient:
                raise
