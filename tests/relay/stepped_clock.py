"""Runs ``node`` with a wall clock that is off by a number of seconds. Its monotonic clock is unchanged."""

from __future__ import annotations

import sys
import time

from brassweir.cli.main import main

if __name__ == "__main__":
    step, real = float(sys.argv[1]), time.time
    time.time = lambda: real() + step
    main(["node"])
