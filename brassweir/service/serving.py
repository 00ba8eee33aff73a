"""``brassweir serve``: one sender from its settings, from its start to the end of its drain."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config
from brassweir.journal.writer import Broken
from brassweir.service.process import SenderProcess


async def serve(path: Path, log: Any) -> None:
    """Run a sender until SIGTERM or SIGINT, then drain it. Raises ConfigError and OSError, and Broken once
    the journal's disk can no longer be trusted."""
    config = load(path, Config)
    process = SenderProcess(config, path.parent, log)
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    if process.together is not None:
        loop.add_signal_handler(signal.SIGHUP, reload, process, path)
    await process.start()
    stop = loop.create_task(told.wait())
    either: set[asyncio.Future[Any]] = {stop, process.broken}
    await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
    if process.broken.done():
        raise Broken(str(process.broken.result()))
    await process.drain()


def reload(process: SenderProcess, path: Path) -> None:
    """SIGHUP: what copies share is read again, by the settings as they are now; all else needs a restart."""
    assert process.together is not None
    try:
        config = load(path, Config)
    except ConfigError as error:
        process.observer.note("peers_refused", {"problems": error.problems[:20]})
        return
    process.together.reload(config)
