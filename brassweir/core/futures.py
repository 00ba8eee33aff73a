"""Turns final answers into futures, for callers that await them."""

from __future__ import annotations

import asyncio

from brassweir.core.ledger import Waiter
from brassweir.core.ports import FinalAnswer


def resolver(answered: asyncio.Future[FinalAnswer]) -> Waiter:
    """Return a waiter that resolves ``answered``, unless it is already done or cancelled."""

    def resolve(answer: FinalAnswer) -> None:
        if not answered.done():
            answered.set_result(answer)

    return resolve
