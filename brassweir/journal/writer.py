"""Appends records in groups and says when they are durable. Knows no thread and no clock of its own.

One group is written at a time: what comes meanwhile waits for the next, so a slow disk makes groups larger
and not commits more. :meth:`commit` does the I/O and may run on any one thread; all else is the loop's.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

from brassweir.journal import compact, frame
from brassweir.journal.life import Lives
from brassweir.journal.records import Record, Taken, Whole
from brassweir.journal.scan import Scan, segment_name
from brassweir.journal.sizes import Sizes
from brassweir.journal.storage import RESERVE_NAME, Storage

CHUNK = 512  # records of a snapshot written at once
NO_ROOM = frozenset({errno.ENOSPC, errno.EDQUOT})


class Broken(Exception):
    """The disk did not do what it must: the process has to end without going on as if it had."""


@dataclass(slots=True)
class Group:
    """Records of one commit; ``admits`` are those that take a message on, which a full disk refuses."""

    records: list[Record] = field(default_factory=list)
    then: list[Callable[[], None]] = field(default_factory=list)
    admits: list[tuple[Record, Callable[[], None], Callable[[str], None]]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.admits)


class Writer:
    """The end of one journal."""

    def __init__(self, storage: Storage, found: Scan, sizes: Sizes | None = None) -> None:
        self.storage, self.limits = storage, sizes or Sizes()
        self.lives: Lives = found.lives
        self.sequence, self.segment = found.next_sequence, found.next_segment
        self.name = ""
        self.size = 0  # of the segment being written
        self.older = [*found.segments]  # segments that a snapshot would replace
        self.total = found.size
        self.sizes: dict[str, int] = dict.fromkeys(self.older[:1], found.size)
        self.group = Group()
        self.writing = False
        self.full = False  # the reserve is in use: nothing new is taken on
        self.records = self.commits = self.bytes = 0

    def open(self) -> None:
        """Start a segment of its own and set the reserve aside. Raises OSError and Broken."""
        self._reserve()
        self._rotate()

    # ---- the loop's side

    def add(
        self, record: Record, then: Callable[[], None] | None, unable: Callable[[str], None] | None = None
    ) -> None:
        """Put a record into the next group; ``then`` runs once it is durable.

        With ``unable`` it is one that may be refused for want of room.
        """
        self.records += 1
        self.lives.apply(record)
        if unable is not None and isinstance(record, Taken):
            self.group.admits.append((record, then or _nothing, unable))
            return
        self.group.records.append(record)
        if then is not None:
            self.group.then.append(then)

    def take(self) -> Group | None:
        """The group to commit now, or None if one is being written or there is nothing to write."""
        if self.writing or not self.group:
            return None
        self.writing = True
        group, self.group = self.group, Group()
        return group

    def done(self, group: Group, refused: list[Callable[[str], None]]) -> None:
        """A group is durable: run what waited for it."""
        self.writing = False
        for unable in refused:
            unable("there is no room to keep it")
        for then in group.then:
            then()

    # ---- the I/O side

    def commit(self, group: Group) -> list[Callable[[str], None]]:
        """Write and sync one group; returns what to tell those that found no room. Raises Broken."""
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
                raise Broken(f"write failed: {error}") from error
            self.full = True
            refused += [unable for _, _, unable in admits]
            try:
                self.storage.remove(RESERVE_NAME)
                self.storage.cut(self.name, self.size)
                self._write(group.records)
            except OSError as again:
                raise Broken(f"write failed on a full disk: {again}") from again
        if self.size >= self.limits.segment:
            self._rotate()
        return refused

    def _fits(self, group: Group) -> bool:
        """Is there room for what a group takes on, where the folder has a bound?"""
        if not self.limits.most or not group.admits:
            return True
        wanted = sum(
            len(one.content) + compact.ANSWER for one, _, _ in group.admits if isinstance(one, Taken)
        )
        return self.total + wanted <= self.limits.most

    def _write(self, records: list[Record]) -> None:
        if not records:
            return
        # Numbered here, so that what a full disk refuses leaves no gap.
        data = b"".join(frame.frame(self.sequence + i, record) for i, record in enumerate(records))
        self.storage.append(self.name, data)
        try:
            self.storage.sync(self.name)
        except OSError as error:
            # After a failed sync nothing is known of what the system holds: no second try can be trusted.
            raise Broken(f"sync failed: {error}") from error
        self.sequence += len(records)
        self.size += len(data)
        self.total += len(data)
        self.bytes += len(data)
        self.commits += 1

    def _rotate(self) -> None:
        """Close the segment and begin the next."""
        if self.name:
            self.older.append(self.name)
            self.sizes[self.name] = self.size
        self.name = segment_name(self.segment)
        head = frame.header(self.segment, self.sequence)
        self.segment += 1
        try:
            self.storage.create(self.name)
            self.storage.append(self.name, head)
            self.storage.sync(self.name)
        except OSError as error:
            raise Broken(f"no new segment: {error}") from error
        self.size = len(head)
        self.total += len(head)

    def _reserve(self) -> None:
        try:
            self.storage.create(RESERVE_NAME)
            self.storage.append(RESERVE_NAME, b"\0" * self.limits.reserve)
            self.storage.sync(RESERVE_NAME)
            self.full = False
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            self.storage.remove(RESERVE_NAME)
            self.full = True

    def _try_room(self) -> None:
        try:
            self._reserve()
        except OSError as error:
            raise Broken(f"the reserve cannot be made anew: {error}") from error

    # ---- compaction

    def due(self) -> bool:
        """Is it time for a snapshot?"""
        if self.total <= self.limits.least:
            return False
        lives = self.lives.by_id.values()
        live = sum(
            len(life.taken.content) if life.taken is not None and life.final is None else 0 for life in lives
        ) + compact.ANSWER * len(lives)
        return compact.due(self.total, live, self.limits.least) and not self.full

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
        size = 0
        try:
            self.storage.create(temporary)
            chunk = [frame.header(number, 0)]
            for i, record in enumerate([*records, Whole(len(records))]):
                chunk.append(frame.frame(i, record))
                if len(chunk) >= CHUNK:
                    size += self._put(temporary, chunk)
            size += self._put(temporary, chunk)
            self.storage.sync(temporary)
            self.storage.rename(temporary, name)
        except OSError as error:
            if error.errno in NO_ROOM:
                self.storage.remove(temporary)
                return
            raise Broken(f"snapshot failed: {error}") from error
        replaced = [one for one in self.older if int(one.partition(".")[0]) <= number]
        for one in replaced:
            self.storage.remove(one)
            self.total -= self.sizes.pop(one, 0)
        self.older = [name, *(one for one in self.older if one not in replaced)]
        self.sizes[name] = size
        self.total += size

    def _put(self, name: str, chunk: list[bytes]) -> int:
        data = b"".join(chunk)
        chunk.clear()
        self.storage.append(name, data)
        return len(data)


def _nothing() -> None:
    pass
