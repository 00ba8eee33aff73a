"""``python -m brassweir`` is the command line."""

import signal
import sys


def start() -> None:
    """Keep the signals of a sender that starts until it can hear them, then go on as told."""
    if sys.argv[1:2] == ["node"]:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    from brassweir.cli.main import main

    main(prog_name="brassweir")


start()
