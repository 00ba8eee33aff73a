"""Starts one sender as ``brassweir serve`` does, with the laboratory's hooks in it: ``python -m`` this.

The service knows of no hook: they lie around it, and only what these variables name is in place.
BRASSWEIR_LAB_CLOCK: a file that holds by how many ms the wall clock is off. BRASSWEIR_LAB_FULL: a folder;
while a file of its name with ``.full`` behind it stands beside it, half of each write is taken and no more.
BRASSWEIR_LAB_SNAP: entries between two snapshots of the agreed log, so that short runs have some.
BRASSWEIR_LAB_WITHOUT: a guard that is taken out (guards.py).
"""

from __future__ import annotations

import ctypes
import errno
import os
import runpy
import signal
import sys
import threading
import time
from collections.abc import Callable

CLOCK, FULL, SNAP, WITHOUT = (f"BRASSWEIR_LAB_{name}" for name in ("CLOCK", "FULL", "SNAP", "WITHOUT"))
LOOK = 0.05  # s between two looks at the clock's file


def die_with_parent() -> None:
    """Be killed when the rig ends, however it ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG
    if os.getppid() == 1:
        sys.exit(1)


def set_clock(path: str) -> None:
    """Let the wall clock be off by what the file says."""
    real, offset = time.time, [0.0]

    def look() -> None:
        while True:
            try:
                with open(path, encoding="ascii") as file:
                    offset[0] = float(file.read() or 0.0) / 1000.0
            except (OSError, ValueError):
                pass
            time.sleep(LOOK)

    threading.Thread(target=look, daemon=True).start()
    time.time = lambda: real() + offset[0]


def set_disk(folder: str) -> None:
    """Let the folder's disk be full while the marker stands."""
    write, inside, marker = os.write, os.path.realpath(folder) + os.sep, folder + ".full"

    def limited(descriptor: int, data: bytes) -> int:
        if os.path.exists(marker) and os.readlink(f"/proc/self/fd/{descriptor}").startswith(inside):
            view = memoryview(data).cast("B")
            if len(view) > 1:
                write(descriptor, view[: len(view) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return write(descriptor, data)

    os.write = limited  # type: ignore[assignment]


def set_snapshots(every: str) -> None:
    """Let the agreed log have a snapshot every so many entries, and keep half as many behind it."""
    from brassweir.agreed import timing

    timing.SNAPSHOT_ENTRIES, timing.KEPT_ENTRIES = int(every), int(every) // 2


HOOKS: dict[str, Callable[[str], None]] = {CLOCK: set_clock, FULL: set_disk, SNAP: set_snapshots}


def run() -> None:
    """Put the hooks in place, then be the command line."""
    die_with_parent()
    for name, hook in HOOKS.items():
        if os.environ.get(name):
            hook(os.environ[name])
    if os.environ.get(WITHOUT):
        from brassweir.lab.between.guards import take_out

        take_out(os.environ[WITHOUT])
    runpy.run_module("brassweir", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    run()
