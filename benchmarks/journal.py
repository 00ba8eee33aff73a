"""What the journal costs and how long a restart takes: ratios and figures of one run.

Recovery at 10,000 and 1,000,000 records of history with 10,000 open messages, bytes a message, and the engine's
throughput on simulated partners with and without the journal on a real directory.
"""

from __future__ import annotations

import json
import resource
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import patch

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Attempt, Fact, Outcome, Payload, Store, Submission
from brassweir.journal import frame
from brassweir.journal import store as journal_store
from brassweir.journal.durability import waits_for_commit
from brassweir.journal.records import Ended, Final, Intent, Taken
from brassweir.journal.recover import plan_recovery
from brassweir.journal.scan import scan, segment_name
from brassweir.journal.storage import DirectoryStorage
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimIo

CLASSES = {
    "pay": api.MessageClass("pay", 1500.0, 600_000.0, api.Effect.UNSAFE),
    "key": api.MessageClass("key", 1500.0, 600_000.0, api.Effect.KEYED, window=600_000.0),
    "safe": api.MessageClass("safe", 1500.0, 600_000.0, api.Effect.SAFE),
}
CONTENT = b"x" * 500
Waiting = Callable[[Fact, api.Effect], bool]
DISK = 2.0  # simulated ms that a commit takes, in which the next group gathers


def history(folder: Path, records: int, open_messages: int) -> int:
    """Write a journal of so many records; returns its bytes."""
    done = (records - open_messages) // 4
    with (folder / segment_name(1)).open("wb") as file:
        file.write(frame.encode_header(1, 1))
        sequence = 1
        for ident in range(1, done + open_messages + 1):
            taken = Taken(ident, "o", f"m{ident}", "pay", "d", "", 1e6, "a/b", "s", CONTENT)
            life: list[Any] = [taken]
            if ident <= done:
                life += [
                    Intent(ident, 0, "e", 1.0),
                    Ended(ident, 0, "e", "ok", 2.0),
                    Final(ident, "delivered", "", 0.0, 3.0),
                ]
            for record in life:
                file.write(frame.encode_frame(sequence, record))
                sequence += 1
        return file.tell()


def recovery(records: int) -> dict[str, Any]:
    """Read, plan and rewrite such a journal."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        size = history(folder, records, 10_000)
        begun = time.perf_counter()
        files = DirectoryStorage(folder)
        found = scan(files)
        read = time.perf_counter() - begun
        made = plan_recovery(found.state, found.holes, CLASSES, 10.0, 3_600_000.0, 0.0)
        planned = time.perf_counter() - begun - read
        writer = Writer(files, found)
        writer.open()
        clock = SimClock(10.0)
        store = JournalStore(
            writer, SimIo(clock, 0.0), CLASSES, clock.now, str, lambda error: None, 3_600_000.0
        )
        longest, run = 0.0, store.io.run

        def timed(work: Any, done: Any, failed: Any) -> None:
            def slice_of(result: object) -> None:
                nonlocal longest
                before = time.perf_counter()
                done(result)
                longest = max(longest, time.perf_counter() - before)

            run(work, slice_of, failed)

        store.io.run = timed  # type: ignore[method-assign]
        store.compact(10.0)
        clock.run(1e6)
        files.close()
        return {
            "records": records,
            "megabytes": round(size / 1e6, 1),
            "read_seconds": round(read, 2),
            "plan_seconds": round(planned, 2),
            "again": len(made.resumed),
            "answers": len(made.answered),
            "snapshot_longest_on_loop_ms": round(longest * 1000, 1),
            "snapshot_megabytes": round(writer.total_bytes / 1e6, 1),
        }


class Instant:
    """Partners that answer after 5 ms."""

    def __init__(self, clock: SimClock) -> None:
        self.clock = clock

    def start(self, attempt: Attempt, done: Any) -> None:
        """Answer."""
        self.clock.call_at(self.clock.now() + 5.0, lambda: done(Outcome(api.Result.OK)))

    def close_idle(self, endpoint: str) -> None:
        """Nothing."""


def throughput(
    journal: bool, gap: float, count: int = 4000, cls: str = "pay", waiting: Waiting | None = None
) -> dict[str, float]:
    """Real seconds a message, with one hand-in each ``gap`` simulated ms, and how long answers take (simulated).

    ``waiting`` takes the place of the table of what must be durable before what.
    """
    with patch.object(journal_store, "waits_for_commit", waiting or waits_for_commit):
        return _throughput(journal, gap, count, cls)


def _hand_in(
    engine: Engine, submission: Submission, clock: SimClock, at: float, latencies: list[float]
) -> None:
    engine.submit(submission, lambda _: latencies.append(clock.now() - at))


def _throughput(journal: bool, gap: float, count: int, cls: str) -> dict[str, float]:
    clock = SimClock(1000.0)
    with tempfile.TemporaryDirectory() as temporary:
        store: Store | None = None
        writer: Writer | None = None
        if journal:
            files = DirectoryStorage(Path(temporary))
            writer = Writer(files, scan(files))
            writer.open()
            store = JournalStore(
                writer, SimIo(clock, DISK), CLASSES, clock.now, str, lambda error: None, 3_600_000.0
            )
        sets = api.Settings(classes=tuple(CLASSES.values()), slots=2000, max_open=20_000)
        engine = Engine(sets, 1, clock, lambda _: Instant(clock), store=store)
        engine.update_list(
            api.ListUpdate(api.ListKind.FULL, tuple(api.EndpointInfo(f"e{i}", i, "") for i in range(50)))
        )
        latencies: list[float] = []
        for i in range(count):
            submission = Submission("o", f"m{i}", cls, i % 50, 500_000.0, payload=Payload("a/b", CONTENT))
            at = 1000.0 + i * gap
            clock.call_at(at, partial(_hand_in, engine, submission, clock, at, latencies))
        begun = time.perf_counter()
        clock.run(1000.0 + count * gap + 5000.0)
        took = time.perf_counter() - begun
        assert len(latencies) == count
        latencies.sort()
        found = {
            "ms_a_message": round(took / count * 1000, 3),
            "p99_simulated_ms": round(latencies[count * 99 // 100], 1),
        }
        if writer is not None:
            found |= {
                "commits_a_message": round(writer.commits / count, 3),
                "bytes_a_message": round(writer.bytes / count),
            }
        return found


def main() -> None:
    """Run all and print JSON."""
    found: dict[str, Any] = {"recovery": [recovery(20_000), recovery(1_000_000)]}
    found["peak_megabytes"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
    for name, gap in (("low_load", 20.0), ("high_load", 0.05)):
        found[name] = {"without": throughput(False, gap), "with": throughput(True, gap)}
    choices: dict[str, tuple[str, Waiting | None]] = {
        "unsafe, as the table says": ("pay", None),
        "keyed": ("key", None),
        "safe": ("safe", None),
        "unsafe, everything waits": ("pay", lambda fact, effect: True),
        "unsafe, nothing waits (breaks the promise)": ("pay", lambda fact, effect: False),
    }
    for load, gap in (("low_load", 20.0), ("high_load", 0.05)):
        bare = throughput(False, gap)
        found[f"choices_{load}"] = {
            name: {
                **(one := throughput(True, gap, cls=cls, waiting=waiting)),
                "cost_over_none": round(one["ms_a_message"] / bare["ms_a_message"], 2),
                "p99_over_none": round(one["p99_simulated_ms"] / bare["p99_simulated_ms"], 2),
            }
            for name, (cls, waiting) in choices.items()
        }
    print(json.dumps(found, indent=2))


if __name__ == "__main__":
    main()
