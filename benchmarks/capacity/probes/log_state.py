"""What one copy keeps of the agreed log: its memory, and the size of the one entry that comes by itself, a renewal."""

from __future__ import annotations

import gc
import tracemalloc
from random import Random

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from brassweir.agreed import commands, timing
from brassweir.agreed.core import Core
from brassweir.agreed.machine import Machine
from brassweir.agreed.messages import COMMAND, Entry
from brassweir.agreed.records import NO_VOTERS, Base, Identity, Persisted
from brassweir.regions import planning

ENTRY = 200  # bytes of a command
KEPT = timing.SNAPSHOT_ENTRIES + timing.KEPT_ENTRIES  # entries, the most between two snapshots
NOW, LEASE = 1_780_000_000_000.0, 30_000.0  # ms
MECHANISM = "agreed log, cut by snapshots"

MEMORY = Figure(
    "log_memory",
    "MB",
    Role.SENDER,
    f"the core with {KEPT:,} entries of {ENTRY} bytes, the most between two snapshots, and its machine",
    (Axis.SENDERS,),
    ("1", "N"),
    mechanism=MECHANISM,
)
RENEWAL = Figure(
    "log_renewal_bytes",
    "bytes",
    Role.RELAY,
    "the command that renews the leases of three regions",
    mechanism=MECHANISM,
)
RENEWALS = Figure(
    "log_renewal_rate",
    "bytes/s",
    Role.RELAY,
    "renewals at each tenth of a lease of 30 s, passed on to 12",
    kind=Kind.DERIVED,
    formula="(1 + learners_fed) * log_renewal_bytes * 10 / 30",
    mechanism="feed tree of the agreed log",
)
FIGURES: tuple[Figure, ...] = (MEMORY, RENEWAL, RENEWALS)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Both at once; ``seconds`` has no say."""
    return [
        Measurement(MEMORY.name, point, _memory(point.senders), "tracemalloc, one core"),
        Measurement(RENEWAL.name, point, _renewal(), "size of the encoded command"),
    ]


def _renewal() -> float:
    urls = {name: f"http://{name}.brassweir.example:4080" for name in ("east", "north", "west")}
    return float(len(commands.encode(commands.Publish(planning.first_epoch(urls, NOW, LEASE), 1))))


def _memory(copies: int) -> float:
    """MB of one member's core with a full log and a machine that knows all copies."""
    gc.collect()
    tracemalloc.start()
    machine = Machine()
    for number in range(copies):
        machine.apply(
            number + 1, commands.encode(commands.Join(f"c{number:03d}", f"s{number % 10}", "r1", 1))
        )
    rng = Random(1)
    entries = [
        Entry(place, 1, COMMAND, rng.randbytes(ENTRY), f"c{place % copies:03d}/1", place, place)
        for place in range(1, KEPT + 1)
    ]
    kept = Persisted(identity=Identity("m", "g", 1, 1), base=Base(0, 0, NO_VOTERS, 0), entries=entries)
    core = Core("c000", kept, machine, rng, 0.0, ())
    del entries, kept
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    return size / 1e6 if core.log.last_index else 0.0
