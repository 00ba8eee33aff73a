"""Records that a member persists, and the state that they add up to. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from brassweir.agreed.messages import Entry, Membership


class Identity(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """This member: its id, its group ("" before it has one), and its run (``generation`` counts starts)."""

    member: str
    group: str
    generation: int
    nonce: int


class Ballot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The highest term seen, and the member voted for in it."""

    term: int
    vote: str


class LogAppend(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries appended to the log."""

    entries: tuple[Entry, ...]


class Truncate(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """All entries from ``index`` on are removed."""

    index: int


Ack = tuple[str, int, int, int, int]  # member, generation, nonce, leader's term, last durable index


class Commit(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All entries up to ``index`` are committed; ``acks``: what the voters had durably by then."""

    index: int
    acks: tuple[Ack, ...] = ()


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A member's latest run, and the (term, index) that it had durably before and in that run."""

    member: str
    generation: int
    nonce: int
    before_run: tuple[int, int]
    in_run: tuple[int, int]


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Sessions and machine after all entries up to ``index``, and the membership at that index."""

    index: int
    term: int
    membership: Membership
    membership_at: int
    state: bytes


class Base(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The log starts after this entry: it and earlier ones were compacted."""

    index: int
    term: int
    membership: Membership
    membership_at: int


Record = Identity | Ballot | LogAppend | Truncate | Commit | MemberRecord | Snapshot | Base
NO_VOTERS = Membership(())


def add_ack(memory: dict[str, MemberRecord], ack: Ack) -> bool:
    """Record what a member had durably. False for an earlier run, or a second run of one generation."""
    member, generation, nonce, *position = ack
    previous = memory.get(member, MemberRecord(member, 0, 0, (0, 0), (0, 0)))
    if generation < previous.generation or generation == previous.generation and nonce != previous.nonce:
        return False
    latest = (position[0], position[1])
    if generation > previous.generation:
        memory.pop(member, None)  # keeps the members in order of their latest start
        memory[member] = MemberRecord(
            member, generation, nonce, max(previous.before_run, previous.in_run), latest
        )
    elif latest > previous.in_run:
        memory[member] = MemberRecord(member, generation, nonce, previous.before_run, latest)
    return True


@dataclass
class Persisted:
    """The state that a sequence of records adds up to."""

    identity: Identity = Identity("", "", 0, 0)
    ballot: Ballot = Ballot(0, "")
    base: Base = Base(0, 0, NO_VOTERS, 0)
    entries: list[Entry] = field(default_factory=list)
    commit_index: int = 0
    snapshot: Snapshot | None = None
    member_records: dict[str, MemberRecord] = field(default_factory=dict)

    def replay(self, records: Iterable[Record]) -> None:
        """Apply records in order. Raises ValueError if one contradicts the state."""
        for record in records:
            match record:
                case Identity():
                    self.identity = record
                case Ballot():
                    self.ballot = record
                case Base():
                    self.base, self.entries = record, []
                case Snapshot():
                    self.snapshot = record
                    self.commit_index = max(self.commit_index, record.index)
                case LogAppend():
                    for entry in record.entries:
                        if entry.index != self.last_index + 1:
                            raise ValueError(f"entry {entry.index} follows {self.last_index}")
                        self.entries.append(entry)
                case Truncate():
                    if record.index <= self.commit_index:
                        raise ValueError(f"cut at {record.index}, but {self.commit_index} is agreed")
                    del self.entries[max(0, record.index - self.base.index - 1) :]
                case Commit():
                    self.commit_index = max(self.commit_index, record.index)
                    for ack in record.acks:
                        add_ack(self.member_records, ack)
                case MemberRecord():
                    self.member_records[record.member] = record
        if self.commit_index > self.last_index:
            raise ValueError(f"{self.commit_index} is agreed, but the log ends at {self.last_index}")

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self.entries)

    def to_records(self) -> list[Record]:
        """Records that add up to this state."""
        records: list[Record] = [self.identity, self.ballot, *self.member_records.values(), self.base]
        records += [] if self.snapshot is None else [self.snapshot]
        return [*records, LogAppend(tuple(self.entries)), Commit(self.commit_index)]
