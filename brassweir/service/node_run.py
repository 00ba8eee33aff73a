"""Runs one sender on the platform until a signal or a journal failure ends it."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from typing import Any

from brassweir.journal.group import JournalBroken
from brassweir.relay.settings import NodeError
from brassweir.service.node import NodeProcess
from brassweir.service.node_config import configured

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


async def run(log: Any) -> None:
    """Run a sender until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Raises NodeConfigError for the configuration, JournalUnusable if the journal cannot be opened, OSError if
    it cannot listen, and JournalBroken if the journal fails.
    """
    loop = asyncio.get_running_loop()
    told: asyncio.Future[float] = loop.create_future()
    again = asyncio.Event()

    def end() -> None:
        if not told.done():
            told.set_result(loop.time())

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # delivers the signals that came before the handlers
    state = os.environ.get("RELAY_STATE", "")
    if not state:
        raise NodeError("RELAY_STATE is not set: it names the state directory")
    process = NodeProcess(configured(), Path(state), log)
    await process.start()

    async def reloads() -> None:
        while True:
            await again.wait()
            again.clear()
            try:
                process.reload(configured())
            except NodeError as error:
                log.error("reload_refused", error=str(error))

    reloading = loop.create_task(reloads())
    either: set[asyncio.Future[Any]] = {told, process.broken}
    await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
    if not process.broken.done():
        await process.leave(told.result())
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # a second signal must not change the exit code
    reloading.cancel()
    if process.broken.done():
        raise JournalBroken(str(process.broken.result()))
    process.stop()
