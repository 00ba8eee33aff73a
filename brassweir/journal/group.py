"""The unit of group commit, and the two errors that a commit can raise."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from brassweir.journal.records import Record, Taken


class JournalBroken(Exception):
    """The journal can no longer be written or trusted: the process must end without acting on it."""


class JournalStalled(Exception):
    """A write failed or has no room, and may be retried; what it left is truncated before the next one.

    Raised only for a directory that is not synced, or is bounded: after a failed fsync, what is on the disk
    is unknown, and a retry could not be trusted.
    """


@dataclass(frozen=True, slots=True)
class Admission:
    """The record that accepts a message, with its callbacks for success and refusal."""

    record: Taken
    then: Callable[[], None]
    unable: Callable[[str], None]


@dataclass(slots=True)
class CommitGroup:
    """Records that are written and synced together.

    ``then`` are the callbacks to run once the group is durable. ``admissions`` may be refused for lack of
    room, ``records`` may not.
    """

    records: list[Record] = field(default_factory=list)
    then: list[Callable[[], None]] = field(default_factory=list)
    admissions: list[Admission] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.admissions)

    def records_without(self, messages: Collection[int]) -> list[Record]:
        """Return the records but those of messages that were refused."""
        if not messages:
            return self.records
        return [record for record in self.records if getattr(record, "id", 0) not in messages]
