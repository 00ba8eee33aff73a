"""The script for crash tests, and records and a journal that several tests use."""

from __future__ import annotations

from brassweir.journal.records import Ended, Final, Intent, Taken
from brassweir.journal.scan import scan
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.crash import steps_of
from brassweir.lab.simulated.crash_world import Script
from brassweir.lab.simulated.disk import SimStorage

SEED, COUNT = 1, 24
TOTAL = steps_of(Script.draw(SEED, COUNT, 2500.0), SEED)


def taken_record(ident: int, cls: str = "pay", deadline: float = 6000.0, **fields: object) -> Taken:
    """Return the record of an accepted message."""
    return Taken(ident, "o", f"m{ident}", cls, "1", "k", deadline, "a/b", "s", b"content", **fields)  # type: ignore[arg-type]


def written_journal(count: int = 6) -> SimStorage:
    """Return a journal of delivered messages, each record committed in a group of its own."""
    disk = SimStorage()
    writer = Writer(disk, scan(disk))
    writer.open()
    for ident in range(1, count + 1):
        for record in (
            taken_record(ident),
            Intent(ident, 0, "e", 10.0 * ident),
            Ended(ident, 0, "e", "ok", 10.0 * ident + 5),
            Final(ident, "delivered", "", 0.0, 10.0 * ident + 6),
        ):
            writer.add(record, None)
            group = writer.next_group()
            assert group is not None
            writer.group_committed(group, writer.commit(group))
    return disk
