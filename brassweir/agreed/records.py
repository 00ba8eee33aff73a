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
    life: int
    nonce: int


class Ballot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The highest term seen, and the member voted for in it."""

    term: int
    vote: str


class Added(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries at the end of the log."""

    entries: tuple[Entry, ...]


class Cut(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """All entries from ``index`` on are gone."""

    index: int


Ack = tuple[str, int, int, int, int]  # member, its life, its nonce, leader's term, last durable index


class Agreed(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All up to ``index`` is agreed; and what voters had durably by then."""

    index: int
    acks: tuple[Ack, ...] = ()


class Memory(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """What is remembered of a member: its last run, the (term, index) it had before that run, and in it."""

    member: str
    life: int
    nonce: int
    before: tuple[int, int]
    now: tuple[int, int]


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


Record = Identity | Ballot | Added | Cut | Agreed | Memory | Snapshot | Base
NOBODY = Membership(())


def learn(memory: dict[str, Memory], ack: Ack) -> bool:
    """Remember what a member had. False: it is of an earlier run, or of another one of the same number."""
    member, life, nonce, *had = ack
    old = memory.get(member, Memory(member, 0, 0, (0, 0), (0, 0)))
    if life < old.life or life == old.life and nonce != old.nonce:
        return False
    now = (had[0], had[1])
    if life > old.life:
        memory.pop(member, None)  # the latest runs stand last
        memory[member] = Memory(member, life, nonce, max(old.before, old.now), now)
    elif now > old.now:
        memory[member] = Memory(member, life, nonce, old.before, now)
    return True


@dataclass
class Kept:
    """What records add up to."""

    identity: Identity = Identity("", "", 0, 0)
    ballot: Ballot = Ballot(0, "")
    base: Base = Base(0, 0, NOBODY, 0)
    entries: list[Entry] = field(default_factory=list)
    agreed: int = 0
    snapshot: Snapshot | None = None
    memory: dict[str, Memory] = field(default_factory=dict)

    def take(self, records: Iterable[Record]) -> None:
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
                    self.agreed = max(self.agreed, record.index)
                case Added():
                    for entry in record.entries:
                        if entry.index != self.last + 1:
                            raise ValueError(f"entry {entry.index} follows {self.last}")
                        self.entries.append(entry)
                case Cut():
                    if record.index <= self.agreed:
                        raise ValueError(f"cut at {record.index}, but {self.agreed} is agreed")
                    del self.entries[max(0, record.index - self.base.index - 1) :]
                case Agreed():
                    self.agreed = max(self.agreed, record.index)
                    for ack in record.acks:
                        learn(self.memory, ack)
                case Memory():
                    self.memory[record.member] = record
        if self.agreed > self.last:
            raise ValueError(f"{self.agreed} is agreed, but the log ends at {self.last}")

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self.entries)

    def records(self) -> list[Record]:
        """Records that add up to this."""
        found: list[Record] = [self.identity, self.ballot, *self.memory.values(), self.base]
        found += [] if self.snapshot is None else [self.snapshot]
        return [*found, Added(tuple(self.entries)), Agreed(self.agreed)]
