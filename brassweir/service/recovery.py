"""How a sender goes on where the process before it was, whatever ended that one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from brassweir.config.model import SenderModel
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Submission
from brassweir.interface import MessageClass
from brassweir.journal.restart import apply_plan
from brassweir.service.journaling import JournalSettings, ProcessJournal
from brassweir.service.resolved_list import DestinationNumbers


def journal_settings(sender: SenderModel, base: Path, classes: Mapping[str, MessageClass]) -> JournalSettings:
    """Where a sender keeps its journal, and what it has to know for that."""
    return JournalSettings(
        base / (sender.journal or Path(f"{sender.name}.journal")),
        sender.name,
        classes,
        sender.remember_ms,
        sender.order_pause_ms,
    )


async def recover(
    journal: ProcessJournal,
    numbers: DestinationNumbers,
    engine: Engine,
    owing: Callable[[int, Submission], Waiter | None],
    log: Any,
) -> None:
    """Carry out what the journal leaves to do; the endpoint list has been told before."""
    plan = journal.plan(numbers.number)
    found = journal.scan
    log.info(
        "recovered",
        again=len(plan.resumed),
        answered=len(plan.answered),
        dropped=plan.dropped,
        owed=sum(one.receipt_pending for one in plan.answered),
        records=found.records,
        bytes=found.size,
        torn_bytes=found.torn_bytes,
        holes=len(found.holes),
        pause_ms=plan.pause,
    )
    if plan.pause:
        await asyncio.sleep(plan.pause / 1000.0)
    apply_plan(plan, engine, journal.store, numbers.number, owing)
