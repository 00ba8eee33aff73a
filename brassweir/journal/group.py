"""The unit of group commit, and the two errors that a commit can raise."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brassweir.journal.records import Record


class JournalBroken(Exception):
    """The journal can no longer be written or trusted: the process must end without acting on it."""


class JournalStalled(Exception):
    """A write failed and may be retried; the bytes that it left are truncated before the next one.

    Raised only for a directory that is not synced: after a failed fsync, what is on the disk is unknown, and
    a retry could not be trusted.
    """


@dataclass(slots=True)
class CommitGroup:
    """Records that are written and synced together.

    ``then`` are the callbacks to run once the group is durable. ``admits`` holds the records that accept a
    message, each with its callbacks for success and refusal: a full disk refuses these only.
    """

    records: list[Record] = field(default_factory=list)
    then: list[Callable[[], None]] = field(default_factory=list)
    admits: list[tuple[Record, Callable[[], None], Callable[[str], None]]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.admits)
