"""Final answers as futures, for whoever waits on the loop."""

from __future__ import annotations

import asyncio

from brassweir.core.ledger import Waiter
from brassweir.core.ports import FinalAnswer


def resolver(answered: asyncio.Future[FinalAnswer]) -> Waiter:
    """A waiter that gives its answer to ``answered``, unless nobody waits for that any more."""

    def resolve(answer: FinalAnswer) -> None:
        if not answered.done():
            answered.set_result(answer)

    return resolve
