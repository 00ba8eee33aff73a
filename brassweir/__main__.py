"""Runs the command line: ``python -m brassweir``."""

import signal
import sys


def start() -> None:
    """Run the command line; block a starting node's signals, which stay pending until it handles them."""
    if sys.argv[1:2] == ["node"]:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    from brassweir.cli.main import main

    main(prog_name="brassweir")


start()
