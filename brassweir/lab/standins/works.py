"""What all stand-in destinations share: capacity, limits, a ledger of effects, and the script."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from brassweir.lab.judges.tape import Effect, Ended, Outage, Overloaded, Tape
from brassweir.lab.models.desk import Desk, Manner

SPOILT = ("lost", "reset_after", "cut_head", "cut_receipt")  # the payment is done, its receipt is lost
BAD = ("bad_mic", "wrong_signer", "unsigned", "other_message", "garbage")  # done, and the receipt is bad
DOWN = ("refuse", "hang")  # an outage: nothing is done, and the partner comes back cold


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble of one partner. ``share`` of its calls are struck; times in seconds from the start."""

    kind: str
    start: float
    end: float
    share: float = 1.0
    factor: float = 1.0


class Works:
    """What every stand-in destination shares: capacity, limits, a ledger of effects, and the script."""

    def __init__(self, name: str, manner: Manner, tape: Tape, seed: int) -> None:
        self.name, self.manner, self.tape = name, manner, tape
        self.rng = np.random.default_rng(seed)
        self.troubles: list[Trouble] = []
        self.start = 0.0
        self.busy = self.queued = 0
        self.slots = asyncio.Semaphore(manner.workers)
        self.desk = Desk(manner)
        self.done: OrderedDict[str, float] = OrderedDict()  # ids of keyed messages carried out, and when
        self.running: dict[str, asyncio.Future[None]] = {}
        self.effects: dict[str, int] = {}
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, endpoint: str, port: int = 0) -> int:
        """Serve one endpoint and return its port."""
        raise NotImplementedError

    def refuse(self) -> None:
        """Take no connections, and drop those there are."""
        raise NotImplementedError

    async def reopen(self) -> None:
        """Listen again, at the same ports."""
        raise NotImplementedError

    def begin(self, troubles: list[Trouble], start: float) -> None:
        """Play the script; ``start`` is the day's start in wall seconds."""
        self.troubles, self.start = troubles, start
        for trouble in troubles:
            if trouble.kind in (*DOWN, "shut"):
                task = asyncio.get_running_loop().create_task(self._outage(trouble))
                self.tasks.add(task)

    async def _outage(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self.start + trouble.start - time.time()))
        cold, hidden = trouble.kind in DOWN, trouble.kind == "refuse"
        self.tape.add(Outage(time.time(), self.name, False, cold, hidden))
        if trouble.kind == "refuse":
            self.refuse()
        await asyncio.sleep(max(0.0, self.start + trouble.end - time.time()))
        if trouble.kind == "refuse":
            await self.reopen()
        if cold:
            self.desk.returned(time.time())
        self.tape.add(Outage(time.time(), self.name, True, cold))

    def stop(self) -> None:
        """End the script."""
        for task in self.tasks:
            task.cancel()

    def ender(self, number: int, sender: str) -> Callable[..., None]:
        """Notes how one call ended, and what wait it was told (seconds)."""

        def ended(how: str, waited: float = 0.0) -> None:
            self.tape.add(Ended(time.time(), number, self.name, sender, how, waited))

        return ended

    def struck(self, now: float) -> Trouble | None:
        at = now - self.start
        for trouble in self.troubles:
            if trouble.start <= at < trouble.end:
                return trouble if trouble.share >= 1.0 or self.rng.random() < trouble.share else None
        return None

    def tips(self, now: float, sender: str) -> bool:
        """Is it pushed over by this call? Only while it comes back."""
        by = self.desk.tips(now, sender)
        if by is not None:
            self.tape.add(Overloaded(now, self.name, by))
        return by is not None

    async def carry_out(self, document: dict[str, str], ident: str, slow: float) -> bool:
        """Do the work; false if it was a repeat of a keyed message, whose effect is not taken twice."""
        keyed = document["effect"] == "keyed"
        if keyed and ident in self.running:
            await asyncio.shield(self.running[ident])
        now = time.time()
        while self.done and next(iter(self.done.values())) < now - self.manner.window:
            self.done.popitem(last=False)
        if keyed and ident in self.done:
            return False
        running: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if keyed:
            self.running[ident] = running
        self.queued += 1
        try:
            async with self.slots:
                span = slow * self.desk.service(float(self.rng.normal()), self.rng.random(), now)
                await asyncio.sleep(span)
                payment = document["payment"]
                self.effects[payment] = self.effects.get(payment, 0) + 1
                self.tape.add(Effect(time.time(), self.name, payment, ident))
                if keyed:
                    self.done[ident] = time.time()
        finally:
            self.queued -= 1
            self.running.pop(ident, None)
            if not running.done():
                running.set_result(None)
        return True
