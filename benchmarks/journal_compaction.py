"""What a journal in a bounded directory costs while it is compacted again and again: figures of one run.

CPU and bytes a message, the longest hold of the event loop, and the largest size of the directory, at several
rates, body sizes and numbers of attempts. Time is simulated, the directory is a real one that is not synced.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.ports import Answer, Attempt, Fact, FinalAnswer, Outcome, Payload, Submission
from brassweir.journal.scan import scan
from brassweir.journal.sizes import limits_within
from brassweir.journal.storage import DirectoryStorage
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer

DISK_BYTES = 3 * 1024 * 1024
RETENTION_MS = 3000.0
OPEN_MS = 200.0  # from acceptance to the answer
MESSAGES = 6000
CLASSES = {"pay": api.MessageClass("pay", 1000.0, 1e9, api.Effect.UNSAFE)}
ENDPOINT = api.EndpointInfo("s-00000001", 1, "")


class TimedIo:
    """Runs the journal's I/O on the event loop, each piece in a turn of its own, and notes the longest."""

    def __init__(self, clock: SimClock) -> None:
        self.clock = clock
        self.longest = 0.0  # seconds

    def run(
        self, work: Callable[[], Any], done: Callable[[Any], None], failed: Callable[[BaseException], None]
    ) -> None:
        """Run ``work`` in a turn of its own, then ``done`` or ``failed``."""

        def step() -> None:
            begun = time.perf_counter()
            try:
                result = work()
            except Exception as error:
                failed(error)
            else:
                done(result)
            self.longest = max(self.longest, time.perf_counter() - begun)

        self.clock.call_soon(step)

    def later(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` after a pause."""
        self.clock.call_at(self.clock.now() + 50.0, callback)


@dataclass(slots=True)
class Load:
    """Messages of one size, each with so many attempts."""

    store: JournalStore
    clock: SimClock
    body: int
    attempts: int
    accepted: int = 0
    refused: int = 0
    last_id: int = 0
    largest: int = field(default=0)

    def submit(self) -> None:
        """Hand one message in."""
        self.last_id += 1
        ident = self.last_id
        submission = Submission(
            "o",
            f"{ident:016x}",
            "pay",
            1,
            5000.0,
            payload=Payload("application/octet-stream", bytes(self.body)),
            reply_to=b"n",
        )
        self.store.persist(
            Fact.TAKEN,
            ident,
            submission,
            lambda: self._accepted(ident, submission),
            lambda _: self._refused(ident),
        )

    def _accepted(self, ident: int, submission: Submission) -> None:
        self.accepted += 1
        self._attempt(ident, submission, 0)

    def _attempt(self, ident: int, submission: Submission, number: int) -> None:
        now = self.clock.now()
        attempt = Attempt(ident, number, submission, ENDPOINT, now + 500.0, False)

        def over() -> None:
            last = number + 1 == self.attempts
            result = api.Result.OK if last else api.Result.TIMEOUT
            self.store.persist(Fact.OUTCOME, ident, (attempt, Outcome(result)), lambda: None, lambda _: None)
            if last:
                self._answer(ident, Answer.DELIVERED)
            else:
                self._attempt(ident, submission, number + 1)

        def sent() -> None:
            self.clock.call_at(now + OPEN_MS / self.attempts, over)

        self.store.persist(Fact.INTENT, ident, attempt, sent, lambda _: None)

    def _refused(self, ident: int) -> None:
        self.refused += 1
        self._answer(ident, Answer.REFUSED)

    def _answer(self, ident: int, answer: Answer) -> None:
        self.store.persist(
            Fact.FINAL,
            ident,
            FinalAnswer(answer),
            lambda: self.store.receipt_delivered(ident),
            lambda _: None,
        )


class CountedStorage(DirectoryStorage):
    """A directory that counts the bytes written to it."""

    written = 0

    def append(self, name: str, data: bytes) -> None:
        """Append, and count."""
        super().append(name, data)
        self.written += len(data)


def measure(rate: int, body: int, attempts: int) -> dict[str, float]:
    """Play ``MESSAGES`` messages at ``rate`` a second."""
    with tempfile.TemporaryDirectory() as folder:
        clock, storage = SimClock(1000.0), CountedStorage(Path(folder), synced=False)
        writer = Writer(storage, scan(storage), limits_within(DISK_BYTES), retry_writes=True)
        writer.open()
        timed = TimedIo(clock)
        store = JournalStore(writer, timed, CLASSES, clock.now, str, lambda error: None, RETENTION_MS)
        store.record_start("n1")
        load = Load(store, clock, body, attempts)
        for i in range(MESSAGES):
            clock.call_at(1000.0 + i * 1000.0 / rate, load.submit)
        for i in range(MESSAGES // 20):
            clock.call_at(1000.0 + i * 20_000.0 / rate, partial(_note_size, load, Path(folder)))
        begun = time.process_time()
        clock.run(1000.0 + MESSAGES * 1000.0 / rate + 5000.0)
        cpu = time.process_time() - begun
        storage.close()
        return {
            "rate": rate,
            "body": body,
            "attempts": attempts,
            "accepted": load.accepted,
            "refused": load.refused,
            "cpu_us_a_message": round(cpu / MESSAGES * 1e6, 1),
            "bytes_a_message": round(storage.written / MESSAGES),
            "longest_hold_ms": round(timed.longest * 1000.0, 2),
            "largest_directory_bytes": load.largest,
        }


def _note_size(load: Load, folder: Path) -> None:
    held = sum(-(-path.stat().st_size // 512) * 512 for path in folder.iterdir())
    load.largest = max(load.largest, held)


def main() -> None:
    """Run all and print JSON, a line each."""
    for rate in (10, 100, 1000):
        for body, attempts in ((140, 1), (1000, 1), (1000, 8)):
            print(json.dumps(measure(rate, body, attempts)), flush=True)


if __name__ == "__main__":
    main()
