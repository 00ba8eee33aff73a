"""``brassweir serve``: one process from its settings, from its start to the end of its drain."""

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

LOOK = 0.05  # seconds between two looks at a start that is to end


def create_process(path: Path, log: Any) -> SenderProcess | ControlMachine:
    """What the settings are of: a sender or a control machine. Raises ConfigError."""
    config = load_settings(path)
    if isinstance(config, Config):
        return SenderProcess(config, path.parent, log)
    from brassweir.service.controlmachine import ControlMachine

    return ControlMachine(config, path.parent, log)


async def serve(path: Path, log: Any) -> None:
    """Run a process until SIGTERM or SIGINT, then drain it. Raises ConfigError and OSError, and Broken once
    the journal's disk can no longer be trusted."""
    shorten_switch_interval()  # from the start on: the first list is the longest
    process = create_process(path, log)
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    if process.peer_group is not None:
        loop.add_signal_handler(signal.SIGHUP, reload, process, path)
    stop = loop.create_task(told.wait())
    await _started(process, stop)
    either: set[asyncio.Future[Any]] = {stop, process.journal_failure}
    await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
    if process.journal_failure.done():
        raise JournalBroken(str(process.journal_failure.result()))
    await process.drain()


async def _started(process: SenderProcess | ControlMachine, stop: asyncio.Task[Any]) -> None:
    """Start; an operator's stop does not wait for a first endpoint list, and for all else of a start."""
    start = asyncio.ensure_future(process.start())
    await asyncio.wait({start, stop, process.journal_failure}, return_when=asyncio.FIRST_COMPLETED)
    while not start.done():
        if process.waiting_for_list:
            start.cancel()
        await asyncio.wait({start}, timeout=LOOK)
    if not start.cancelled():
        start.result()


def reload(process: SenderProcess | ControlMachine, path: Path) -> None:
    """SIGHUP: what copies share is read again, by the settings as they are now; all else needs a restart."""
    assert process.peer_group is not None
    try:
        config = load_settings(path)
    except ConfigError as error:
        process.observer.note("peers_refused", {"problems": error.problems[:20]})
        return
    process.peer_group.reload(config)
