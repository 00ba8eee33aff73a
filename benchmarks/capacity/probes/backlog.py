"""Open messages of one sender: in memory, in its journal, and at a restart from it."""

from __future__ import annotations

import gc
import os
import tempfile
import time
from pathlib import Path

from benchmarks import journal, open_messages
from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.resources import in_fresh_process, resident
from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Submission
from brassweir.journal.recover import plan_recovery
from brassweir.journal.restart import apply_plan
from brassweir.journal.scan import scan
from brassweir.journal.storage import DirectoryStorage
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimIo

AXES = (Axis.BACKLOG,)
SLOTS = 256
RESTARTS = 3  # of which the least counts
MOST_OPEN = 10_000_000.0  # the highest that sender.max_open may be set to
WALL = 10.0  # ms: the moment of the restart by the wall clock
REMEMBER = 3_600_000.0
MESSAGES = 4_000  # whose whole lives are written
GAP = 4.4  # simulated ms between two of them: the target's rate of one sender
IN_MEMORY = "engine, ledger and decision module: all open messages are held in memory"
ON_DISK = "journal"


def _figure(name: str, unit: str, role: Role, what: str, terms: tuple[str, ...], mechanism: str) -> Figure:
    axes = AXES if "B" in terms else ()
    return Figure(name, unit, role, what, axes, terms, Kind.MEASURED, mechanism=mechanism)


def _derived(
    name: str, unit: str, role: Role, what: str, formula: str, mechanism: str, budget: float | None = None
) -> Figure:
    return Figure(
        name, unit, role, what, kind=Kind.DERIVED, budget=budget, formula=formula, mechanism=mechanism
    )


OPEN_MEMORY = _figure(
    "backlog_memory", "MB", Role.CLIENT, "open messages of 500 bytes at one sender, resident", ("1", "B"), IN_MEMORY
)  # fmt: skip
JOURNAL_SIZE = _figure(
    "backlog_journal", "MB", Role.DISK, "journal of open messages of 500 bytes", ("1", "B"), ON_DISK
)
RESTART_READ = _figure(
    "restart_read", "s", Role.DISK, "restart: reading the journal and planning, CPU", ("1", "B"), ON_DISK
)
RESTART_TURN = _figure(
    "restart_turn", "s", Role.DISK, "restart: the one turn in which the decision module is told, CPU", ("1", "B"),
    "missing: told in one turn, in which nothing else is answered",
)  # fmt: skip
RESTART_MEMORY = _figure(
    "restart_memory", "MB", Role.DISK, "restart: the most that is resident", ("1", "B"), IN_MEMORY
)
MESSAGE_BYTES = _figure(
    "journal_message", "bytes", Role.DISK, "written for a message of 500 bytes from taken to delivered", ("1",), ON_DISK
)  # fmt: skip
COMMITS = _figure(
    "journal_commits",
    "commits",
    Role.DISK,
    "a message, at the target's rate and 2 ms a commit",
    ("1",),
    ON_DISK,
)
FIGURES: tuple[Figure, ...] = (
    OPEN_MEMORY,
    JOURNAL_SIZE,
    RESTART_READ,
    RESTART_TURN,
    RESTART_MEMORY,
    MESSAGE_BYTES,
    COMMITS,
    _derived(
        "backlog_open", "messages", Role.CLIENT, "open at one sender with the whole backlog", "backlog",
        "missing: sender.max_open ends before it", MOST_OPEN,
    ),
    _derived(
        "backlog_drain", "s", Role.CLIENT, "to drain it at a sender's usual rate, beside what comes anew",
        "backlog / (events_per_second / senders)", "decision module: by deadlines",
    ),
    _derived(
        "journal_rate", "bytes/s", Role.DISK, "written by a sender for messages of 500 bytes each",
        "journal_message * events_per_second / senders", ON_DISK,
    ),
)  # fmt: skip


def measure(point: Point, seconds: float) -> list[Measurement]:
    """All of a backlog of that size; bounded by its size and not by ``seconds``. Without one: a message's records."""
    if not point.backlog:
        return _journal(point, round(MESSAGES * min(1.0, seconds)))
    memory = in_fresh_process(_open_memory, point.backlog)
    found = Measurement(OPEN_MEMORY.name, point, memory, "growth of the resident set of a fresh process")
    rounds = [in_fresh_process(_restart, point) for _ in range(RESTARTS)]
    return [found, *(min(same, key=lambda one: one.value) for same in zip(*rounds, strict=True))]


def _journal(point: Point, messages: int) -> list[Measurement]:
    told = journal.throughput(True, GAP, messages)
    method = f"{messages:,} unsafe messages on simulated partners, with the journal on a real folder"
    return [
        Measurement(MESSAGE_BYTES.name, point, told["bytes_a_message"], method),
        Measurement(COMMITS.name, point, told["commits_a_message"], method),
    ]


def _open_memory(count: int) -> float:
    clock = SimClock(1000.0)
    engine = open_messages.engine_for(count, clock)
    gc.collect()
    before = resident(os.getpid())
    open_messages.submit(engine, clock, count)
    gc.collect()
    return (resident(os.getpid()) - before) / 1e6


def _owing(number: int, submission: Submission) -> Waiter | None:
    return None


def _restart(point: Point) -> list[Measurement]:
    """A restart with so many open messages, none of which was tried."""
    with tempfile.TemporaryDirectory() as folder:
        return _restart_in(point, Path(folder))


def _restart_in(point: Point, folder: Path) -> list[Measurement]:
    count = point.backlog
    size = journal.history(folder, count, count)
    gc.collect()
    before = resident(os.getpid())
    files = DirectoryStorage(folder)
    read = time.process_time()
    found = scan(files)
    made = plan_recovery(found.state, found.holes, journal.CLASSES, WALL, REMEMBER, 0.0)
    read = time.process_time() - read
    writer = Writer(files, found)
    writer.open()
    clock = SimClock(WALL)
    store = JournalStore(
        writer, SimIo(clock, 0.0), journal.CLASSES, clock.now, str, lambda error: None, REMEMBER
    )
    classes = tuple(journal.CLASSES.values())
    settings = api.Settings(classes=classes, slots=SLOTS, max_open=2 * count)
    engine = Engine(settings, 1, clock, lambda _: open_messages.Silent(), store=store)
    engine.update_list(api.ListUpdate(api.ListKind.FULL, (api.EndpointInfo("e", 1, ""),)))
    clock.run(WALL)
    turn = time.process_time()
    apply_plan(made, engine, store, lambda _: 1, _owing)
    clock.run(WALL)
    turn = time.process_time() - turn
    if len(engine.ledger.open_messages()) != count:
        raise RuntimeError(
            f"{len(engine.ledger.open_messages())} of {count} messages are open after the restart"
        )
    files.close()
    method = f"restart with {SLOTS} slots, process time, least of {RESTARTS}"
    return [
        Measurement(JOURNAL_SIZE.name, point, size / 1e6, "size of the file"),
        Measurement(RESTART_READ.name, point, read, method),
        Measurement(RESTART_TURN.name, point, turn, method),
        Measurement(
            RESTART_MEMORY.name,
            point,
            (resident(os.getpid(), peak=True) - before) / 1e6,
            "peak of the resident set of a fresh process, above that before",
        ),
    ]
