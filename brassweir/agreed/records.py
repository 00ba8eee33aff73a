"""What a member keeps on disk: records, and what they add up to. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from brassweir.agreed.messages import Entry, Membership


class Identity(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """This member: its id, its group ("" before it has one), which of its runs this is."""

    member: str
    group: str
    generation: int
    nonce: int


class Ballot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The highest term seen, and the member voted for in it."""

    term: int
    vote: str


class LogAppend(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries at the end of the log."""

    entries: tuple[Entry, ...]


class Truncate(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """All entries from ``index`` on are gone."""

    index: int


Ack = tuple[str, int, int, int, int]  # member, its life, its nonce, leader's term, last durable index


class Commit(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All up to ``index`` is agreed; and what voters had durably by then."""

    index: int
    acks: tuple[Ack, ...] = ()


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """What is remembered of a member: its last run, the (term, index) it had before that run, and in it."""

    member: str
    generation: int
    nonce: int
    before_run: tuple[int, int]
    in_run: tuple[int, int]


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """All up to ``index`` as one state: the members then, sessions and machine in ``state``."""

    index: int
    term: int
    membership: Membership
    membership_at: int
    state: bytes


class Base(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The log begins behind this entry."""

    index: int
    term: int
    membership: Membership
    membership_at: int


Record = Identity | Ballot | LogAppend | Truncate | Commit | MemberRecord | Snapshot | Base
NO_VOTERS = Membership(())


def add_ack(memory: dict[str, MemberRecord], ack: Ack) -> bool:
    """Remember what a member had. False: it is of an earlier run, or of another one of the same number."""
    member, life, nonce, *had = ack
    old = memory.get(member, MemberRecord(member, 0, 0, (0, 0), (0, 0)))
    if life < old.generation or life == old.generation and nonce != old.nonce:
        return False
    now = (had[0], had[1])
    if life > old.generation:
        memory.pop(member, None)  # the latest runs stand last
        memory[member] = MemberRecord(member, life, nonce, max(old.before_run, old.in_run), now)
    elif now > old.in_run:
        memory[member] = MemberRecord(member, life, nonce, old.before_run, now)
    return True


@dataclass
class Persisted:
    """What records add up to."""

    identity: Identity = Identity("", "", 0, 0)
    ballot: Ballot = Ballot(0, "")
    base: Base = Base(0, 0, NO_VOTERS, 0)
    entries: list[Entry] = field(default_factory=list)
    commit_index: int = 0
    snapshot: Snapshot | None = None
    member_records: dict[str, MemberRecord] = field(default_factory=dict)

    def replay(self, records: Iterable[Record]) -> None:
        """Add records. Raises ValueError if they cannot follow these."""
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
        """Records that add up to this."""
        found: list[Record] = [self.identity, self.ballot, *self.member_records.values(), self.base]
        found += [] if self.snapshot is None else [self.snapshot]
        return [*found, LogAppend(tuple(self.entries)), Commit(self.commit_index)]
