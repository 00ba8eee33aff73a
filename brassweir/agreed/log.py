"""The log in memory, and the memberships that its entries carry. Pure."""

from __future__ import annotations

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.messages import MEMBERS, Entry, Membership
from brassweir.agreed.records import Base


def decode_membership(entry: Entry) -> Membership:
    """The membership that an entry carries. Raises msgspec.MsgspecError."""
    return msgspec.msgpack.decode(entry.data, type=Membership)


class Log:
    """Entries after a base, which is the last entry that was compacted."""

    def __init__(self, base: Base, entries: list[Entry]) -> None:
        self.base = base
        self.entries: list[Entry] = []
        self.memberships: list[tuple[int, Membership]] = [(base.membership_at, base.membership)]
        self.add(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def membership(self) -> Membership:
        """The latest membership, committed or not."""
        return self.memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that carries the latest membership."""
        return self.memberships[-1][0]

    def membership_up_to(self, index: int) -> tuple[int, Membership]:
        """The latest membership at or before ``index``, and its index."""
        return [pair for pair in self.memberships if pair[0] <= index][-1]

    def term_of(self, index: int) -> int | None:
        """Term of an entry; None if the log does not hold it."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last_index:
            return self.entries[index - self.base.index - 1].term
        return None

    def agrees_with(self, agreed: int, prev: int, prev_term: int, entries: tuple[Entry, ...]) -> bool:
        """Whether a leader's entries, and the one before them, do not contradict what is committed here."""
        terms = [(prev, prev_term), *((entry.index, entry.term) for entry in entries)]
        return all(index > agreed or self.term_of(index) in (None, term) for index, term in terms)

    def get(self, index: int) -> Entry:
        """The entry at ``index``, which the log must hold."""
        return self.entries[index - self.base.index - 1]

    def batch(self, first: int, last: int) -> tuple[Entry, ...]:
        """Entries from ``first`` to ``last``, as many as fit one message, but at least one."""
        entries: list[Entry] = []
        size = 0
        for index in range(first, min(last, self.last_index) + 1):
            entry = self.get(index)
            size += len(entry.data) + timing.ENTRY_HEAD_BYTES + len(entry.session)
            if entries and size > timing.MAX_ENTRIES_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    def add(self, entries: list[Entry]) -> None:
        """Append entries."""
        for entry in entries:
            self.entries.append(entry)
            if entry.kind == MEMBERS:
                self.memberships.append((entry.index, decode_membership(entry)))

    def truncate_from(self, index: int) -> None:
        """Remove all entries from ``index`` on."""
        del self.entries[max(0, index - self.base.index - 1) :]
        self.memberships = [pair for pair in self.memberships if pair[0] < index] or self.memberships[:1]

    def compact_to(self, index: int) -> None:
        """Drop all entries up to ``index``, which the log must hold."""
        at, membership = self.membership_up_to(index)
        term = self.term_of(index)
        assert term is not None
        del self.entries[: index - self.base.index]
        self.base = Base(index, term, membership, at)
        self.memberships = [(at, membership), *[pair for pair in self.memberships if pair[0] > index]]
