"""Recovery of a sender's open messages from the journal at start."""

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
    """Return the journal's directory and parameters from a sender's settings."""
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
    restored_waiter: Callable[[int, Submission], Waiter | None],
    log: Any,
) -> None:
    """Resume the messages that the journal holds open; the endpoint list must be loaded before.

    Sleeps first if an ordered message of the previous process had an attempt in flight.
    """
    plan = journal.plan(numbers.number)
    scan = journal.scan
    log.info(
        "recovered",
        again=len(plan.resumed),
        answered=len(plan.answered),
        dropped=plan.dropped,
        owed=sum(answered.receipt_pending for answered in plan.answered),
        records=scan.records,
        bytes=scan.size,
        torn_bytes=scan.torn_bytes,
        holes=len(scan.holes),
        pause_ms=plan.pause,
    )
    if plan.pause:
        await asyncio.sleep(plan.pause / 1000.0)
    apply_plan(plan, engine, journal.store, numbers.number, restored_waiter)
