"""The script that is crashed and records that several tests use."""

from __future__ import annotations

from brassweir.journal.records import Ended, Final, Intent, Taken
from brassweir.journal.scan import scan
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.crash import steps_of
from brassweir.lab.simulated.crash_world import Script
from brassweir.lab.simulated.disk import SimStorage

SEED, COUNT = 1, 24
TOTAL = steps_of(Script.draw(SEED, COUNT, 2500.0), SEED)


def taken(ident: int, cls: str = "pay", deadline: float = 6000.0, **more: object) -> Taken:
    return Taken(ident, "o", f"m{ident}", cls, "1", "k", deadline, "a/b", "s", b"content", **more)  # type: ignore[arg-type]


def written(count: int = 6) -> SimStorage:
    disk = SimStorage()
    writer = Writer(disk, scan(disk))
    writer.open()
    for ident in range(1, count + 1):
        for record in (
            taken(ident),
            Intent(ident, 0, "e", 10.0 * ident),
            Ended(ident, 0, "e", "ok", 10.0 * ident + 5),
            Final(ident, "delivered", "", 0.0, 10.0 * ident + 6),
        ):
            writer.add(record, None)
            group = writer.next_group()
            assert group is not None
            writer.group_committed(group, writer.commit(group))
    return disk
