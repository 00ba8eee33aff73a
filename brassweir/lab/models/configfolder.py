"""Folders of the simulated fleet: control machines write real stores, learners a durable list of records.

A learner's crash loses writes that were under way, whole; torn and reordered writes are drawn for the agreed
log itself, on the same store (`lab/models/logplan`).
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Protocol

from brassweir.agreed.events import Write
from brassweir.agreed.records import Identity, Persisted, Record
from brassweir.agreed.store import MAGIC, Store, frame
from brassweir.lab.simulated.disk import SimStorage


class Folder(Protocol):
    """What a copy finds at its start, and writes."""

    def open(self, rng: Random) -> Persisted:
        """Count a run in it, durably, and say what it holds."""

    def write(self, writes: list[Write]) -> None:
        """Make writes durable, in order."""

    def crash(self, rng: Random) -> None:
        """The machine stopped: only what was durable is left."""

    def save(self) -> Folder:
        """A copy of it as it stands."""


def merged(writes: list[Write]) -> tuple[tuple[Record, ...] | None, tuple[Record, ...]]:
    """Several writes as one: records that stand in place of all before, if any, and those added to them."""
    last_whole = max((i for i, write in enumerate(writes) if write.replaces_all), default=-1)
    added = tuple(record for write in writes[last_whole + 1 :] for record in write.records)
    return (writes[last_whole].records if last_whole >= 0 else None), added


class RecordFolder:
    """Durable records in memory; what they refer to is shared with whoever else holds it."""

    def __init__(self, kept: Persisted | None = None) -> None:
        self.kept = kept or Persisted()

    def open(self, rng: Random) -> Persisted:
        """Count a run in it."""
        old = self.kept.identity
        member = old.member or f"{rng.getrandbits(64):016x}"
        self.kept.identity = Identity(member, old.group, old.generation + 1, rng.getrandbits(32))
        return self._copy()

    def write(self, writes: list[Write]) -> None:
        """Add to the list."""
        whole, added = merged(writes)
        if whole is not None:
            self.kept = Persisted()
            self.kept.replay(whole)
        self.kept.replay(added)

    def crash(self, rng: Random) -> None:
        """Nothing of it was torn."""

    def save(self) -> Folder:
        """A copy."""
        return RecordFolder(self._copy())

    def _copy(self) -> Persisted:
        return replace(
            self.kept, entries=list(self.kept.entries), member_records=dict(self.kept.member_records)
        )


class StoreFolder:
    """The member's real store on a simulated disk."""

    def __init__(self, disk: SimStorage | None = None) -> None:
        self.disk = disk or SimStorage()
        self.store: Store | None = None

    @staticmethod
    def holding(kept: Persisted) -> StoreFolder:
        """A folder that was written before."""
        base = MAGIC + frame(0, tuple(kept.to_records()))
        return StoreFolder(SimStorage({"base-1": base, "log-1": MAGIC}))

    def open(self, rng: Random) -> Persisted:
        """Open the store anew."""
        self.store = Store(self.disk, rng)
        return self.store.persisted

    def write(self, writes: list[Write]) -> None:
        """As the member's thread does."""
        assert self.store is not None
        whole, added = merged(writes)
        if whole is not None:
            self.store.write_whole(whole)
        if added:
            self.store.write(added)

    def crash(self, rng: Random) -> None:
        """What was not synced may be torn."""
        self.disk = self.disk.after("torn", rng)
        self.store = None

    def save(self) -> Folder:
        """A copy."""
        return StoreFolder(SimStorage({name: self.disk.read(name) for name in self.disk.names()}))
