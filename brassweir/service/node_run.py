"""Runs one sender on the platform until a signal or a journal failure ends it."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from typing import Any

from brassweir.journal.group import JournalBroken
from brassweir.relay.settings import NodeConfigError
from brassweir.service.node import NodeProcess
from brassweir.service.node_config import read_config

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


async def run(log: Any) -> None:
    """Run a sender until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Raises NodeConfigError for the configuration, JournalUnusable if the journal cannot be opened, OSError if
    it cannot listen, and JournalBroken if the journal fails.
    """
    loop = asyncio.get_running_loop()
    signalled_at: asyncio.Future[float] = loop.create_future()
    reload_requested = asyncio.Event()

    def request_end() -> None:
        if not signalled_at.done():
            signalled_at.set_result(loop.time())

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_end)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # delivers the signals that came before the handlers
    state = os.environ.get("RELAY_STATE", "")
    if not state:
        raise NodeConfigError("RELAY_STATE is not set: it names the state directory")
    process = NodeProcess(read_config(), Path(state), log)
    await process.start()

    async def handle_reloads() -> None:
        while True:
            await reload_requested.wait()
            reload_requested.clear()
            try:
                process.reload(read_config())
            except NodeConfigError as error:
                log.error("reload_refused", error=str(error))

    reload_task = loop.create_task(handle_reloads())
    endings: set[asyncio.Future[Any]] = {signalled_at, process.journal_failure}
    await asyncio.wait(endings, return_when=asyncio.FIRST_COMPLETED)
    if not process.journal_failure.done():
        await process.shut_down(signalled_at.result())
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # a second signal must not change the exit code
    reload_task.cancel()
    if process.journal_failure.done():
        await process.close_after_failure()
        raise JournalBroken(str(process.journal_failure.result()))
    process.stop()
