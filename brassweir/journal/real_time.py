"""The journal's clock: milliseconds that run on over restarts, whatever becomes of the wall clock.

Spans between two processes decide on deadlines, windows and waits, so they must be of real time. The
system's monotonic clock counts from the machine's start, for all processes alike. The first process notes
how far the wall clock was ahead of it then; those after it go on from that note while the machine is the
same one, and from the wall clock where it is not, or where the monotonic clock lies behind what the
journal holds.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import msgspec

CLOCK_FILE = "clock"
BOOT = Path("/proc/sys/kernel/random/boot_id")  # another one after each start of the machine


class Anchor(msgspec.Struct, frozen=True):
    """How far (ms) the journal's clock is ahead of the monotonic clock of one run of the machine."""

    boot: str
    ahead: float


class JournalClock:
    """The clock of one process."""

    def __init__(self, ahead: float) -> None:
        self.ahead = ahead

    def now(self) -> float:
        """Now, in ms; close to wall time, and never moved by its steps."""
        return self.ahead + monotonic()


def monotonic() -> float:
    """The machine's monotonic clock in ms."""
    return time.monotonic() * 1000.0


def open_clock(folder: Path, latest: float) -> JournalClock:
    """The clock of a folder whose journal holds nothing later than ``latest`` (ms)."""
    boot = _boot()
    anchor = _read(folder / CLOCK_FILE)
    if anchor is None or anchor.boot != boot or anchor.ahead + monotonic() < latest:
        anchor = Anchor(boot, time.time() * 1000.0 - monotonic())
        _write(folder / CLOCK_FILE, anchor)
    return JournalClock(anchor.ahead)


def _boot() -> str:
    try:
        return BOOT.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return ""


def _read(path: Path) -> Anchor | None:
    try:
        return msgspec.json.decode(path.read_bytes(), type=Anchor)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError):
        return None


def _write(path: Path, anchor: Anchor) -> None:
    """Without the note the next process takes the wall clock, as all did before there was one."""
    fresh = path.with_suffix(".fresh")
    try:
        fresh.write_bytes(msgspec.json.encode(anchor))
        os.replace(fresh, path)
    except OSError:
        path.unlink(missing_ok=True)
