"""``brassweir serve``: runs one process from its settings until a signal has drained it."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

from brassweir.config.load import ConfigError
from brassweir.config.model import Config
from brassweir.config.settings import load_settings
from brassweir.journal.group import JournalBroken
from brassweir.service.process import SenderProcess
from brassweir.service.runtime import shorten_switch_interval

if TYPE_CHECKING:
    from brassweir.service.controlmachine import ControlMachine

START_CHECK_SECONDS = 0.05


def create_process(path: Path, log: Any) -> SenderProcess | ControlMachine:
    """Create the sender or the control machine that the settings describe. Raises ConfigError."""
    config = load_settings(path)
    if isinstance(config, Config):
        return SenderProcess(config, path.parent, log)
    from brassweir.service.controlmachine import ControlMachine

    return ControlMachine(config, path.parent, log)


async def serve(path: Path, log: Any) -> None:
    """Run a process until SIGTERM or SIGINT, then drain it; SIGHUP reloads the settings that copies share.

    Raises ConfigError and OSError, and JournalBroken as soon as the journal fails.
    """
    shorten_switch_interval()  # before the first list, which is the longest, is parsed
    process = create_process(path, log)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    if process.peer_group is not None:
        loop.add_signal_handler(signal.SIGHUP, reload, process, path)
    stop = loop.create_task(stop_requested.wait())
    await _run_start(process, stop)
    ends: set[asyncio.Future[Any]] = {stop, process.journal_failure}
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    if process.journal_failure.done():
        raise JournalBroken(str(process.journal_failure.result()))
    await process.drain()


async def _run_start(process: SenderProcess | ControlMachine, stop: asyncio.Task[Any]) -> None:
    """Wait for the start; a stop cancels it only while it waits for a first endpoint list."""
    start = asyncio.ensure_future(process.start())
    await asyncio.wait({start, stop, process.journal_failure}, return_when=asyncio.FIRST_COMPLETED)
    while not start.done():
        if process.waiting_for_list:
            start.cancel()
        await asyncio.wait({start}, timeout=START_CHECK_SECONDS)
    if not start.cancelled():
        start.result()


def reload(process: SenderProcess | ControlMachine, path: Path) -> None:
    """Handle SIGHUP: reload the settings of peers and the agreed log. All other settings need a restart."""
    assert process.peer_group is not None
    try:
        config = load_settings(path)
    except ConfigError as error:
        process.observer.note("peers_refused", {"problems": error.problems[:20]})
        return
    process.peer_group.reload(config)
