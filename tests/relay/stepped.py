"""Runs ``node`` on a machine whose wall clock was stepped by so many seconds; its monotonic clock runs on."""

from __future__ import annotations

import sys
import time

from brassweir.cli.main import main

if __name__ == "__main__":
    step, real = float(sys.argv[1]), time.time
    time.time = lambda: real() + step
    main(["node"])
