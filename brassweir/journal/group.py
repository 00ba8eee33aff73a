"""What is committed together, and the two ways in which a commit fails."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brassweir.journal.records import Record


class JournalBroken(Exception):
    """The disk did not do what it must: the process has to end without going on as if it had."""


class JournalStalled(Exception):
    """The disk took no write; what it left behind the last good one is cut off before the next.

    The same group may be tried again, but only in a folder that is not synced: after a failed sync no try can
    be trusted.
    """


@dataclass(slots=True)
class CommitGroup:
    """Records of one commit; ``admits`` are those that take a message on, which a full disk refuses."""

    records: list[Record] = field(default_factory=list)
    then: list[Callable[[], None]] = field(default_factory=list)
    admits: list[tuple[Record, Callable[[], None], Callable[[str], None]]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.admits)
