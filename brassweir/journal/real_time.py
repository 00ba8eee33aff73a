"""The journal's clock: milliseconds that steps of the wall clock do not move, across restarts of the process.

Deadlines, windows and waits span restarts, so the time between two processes must be real time. The system's
monotonic clock counts from the boot of the machine and is the same for all processes. The first process
stores the offset of the wall clock from it; later processes use that offset as long as the machine has not
been rebooted. After a reboot, or if the resulting time is before the journal's latest record, a new offset is
taken from the wall clock.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import msgspec

CLOCK_FILE = "clock"
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")  # changes at each boot


class Anchor(msgspec.Struct, frozen=True):
    """The stored offset: ``ahead`` is the journal's clock less the monotonic clock (ms) during one boot."""

    boot: str
    ahead: float


class JournalClock:
    """A clock ``ahead`` ms ahead of the monotonic clock."""

    def __init__(self, ahead: float) -> None:
        self.ahead = ahead

    def now(self) -> float:
        """Return the time in ms since 1970, as the wall clock had it when the offset was taken."""
        return self.ahead + monotonic()


def monotonic() -> float:
    """Return the machine's monotonic clock in ms."""
    return time.monotonic() * 1000.0


def open_clock(directory: Path, latest: float) -> JournalClock:
    """Return the clock of a journal's directory; ``latest`` (ms) is the latest time in the journal."""
    boot = _boot_id()
    anchor = _read(directory / CLOCK_FILE)
    if anchor is None or anchor.boot != boot or anchor.ahead + monotonic() < latest:
        anchor = Anchor(boot, time.time() * 1000.0 - monotonic())
        _write(directory / CLOCK_FILE, anchor)
    return JournalClock(anchor.ahead)


def _boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return ""


def _read(path: Path) -> Anchor | None:
    try:
        return msgspec.json.decode(path.read_bytes(), type=Anchor)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError):
        return None


def _write(path: Path, anchor: Anchor) -> None:
    """Store the offset. If that fails, the old file is removed: the next process uses the wall clock."""
    temporary = path.with_suffix(".fresh")
    try:
        temporary.write_bytes(msgspec.json.encode(anchor))
        os.replace(temporary, path)
    except OSError:
        path.unlink(missing_ok=True)
