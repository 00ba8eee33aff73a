"""Carries a schedule of faults out, on processes and in the network, and notes who was away when."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from pathlib import Path

from brassweir.lab.between.copy import CopyHandle
from brassweir.lab.between.fate import NETWORK, Fates
from brassweir.lab.between.schedule import Fault, Schedule
from brassweir.lab.between.seen import Away

BACK = 0.5  # s after a copy listens again in which it still finds its place


class Faults:
    """One run of a schedule. ``leader`` names who leads now; ``older`` a folder's copy of at least an age;
    ``move`` has head office give all places to a region; ``spare`` makes a new copy for one that is gone, and
    ``voters`` tells all copies who is to vote in whose place."""

    def __init__(
        self,
        schedule: Schedule,
        copies: Sequence[CopyHandle],
        fates: Fates,
        leader: Callable[[], str],
        older: Callable[[str, float], Path | None],
        move: Callable[[str], None] = lambda _: None,
        spare: Callable[[CopyHandle], CopyHandle] = lambda copy: copy,
        voters: Callable[[str, str], None] = lambda gone, new: None,
    ) -> None:
        self.schedule, self.fates, self.leader, self.older, self.move = schedule, fates, leader, older, move
        self.spare, self.voters = spare, voters
        self.copies = {one.name: one for one in copies}
        self.replaced: dict[str, str] = {}  # gone for good, and who stands in its place
        self.start = time.time()
        self.away: list[Away] = []
        self.done: list[Fault] = []  # as they were carried out, leaders named
        self.problems: list[str] = []  # copies that did not come back
        self.over = schedule.last()  # s; later where copies took longer to come back

    def now(self) -> float:
        """Seconds since the start."""
        return time.time() - self.start

    async def play(self) -> None:
        """Carry all of it out; returns when the last fault is over."""
        await asyncio.gather(*(self._one(fault) for fault in self.schedule.faults))
        self.over = max(self.over, self.now())

    async def _one(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at - self.now()))
        if fault.who == "leader":
            fault = fault.model_copy(update={"who": self.leader() or min(self.copies)})
        self.done.append(fault)
        if fault.what in NETWORK:
            self.fates.add(fault)
            await asyncio.sleep(max(0.0, fault.ends - self.now()))
        elif fault.what == "move":
            self.move(fault.who or "")
        elif fault.what == "restart_all":
            await self._restart(list(self.copies.values()), fault)
        elif fault.what == "rolling":
            for copy in list(self.copies.values()):
                await self._restart([copy], fault, 0.0)
        else:
            assert fault.who is not None
            if fault.who not in self.copies:  # gone for good, as it turned out
                self.done.remove(fault)
                return
            copy = self.copies[fault.who]
            if fault.what == "replace":
                await self._replace(copy, fault)
            elif fault.what in ("stall", "full", "clock"):
                async with copy.lock:
                    if copy.name not in self.replaced:
                        await self._process(fault, copy)
            else:
                await self._restart([copy], fault)

    async def _process(self, fault: Fault, copy: CopyHandle) -> None:
        begun = self.now()
        if fault.what == "stall":
            copy.stall()
            await asyncio.sleep(fault.lasts)
            copy.go_on()
            self._away(copy, begun, fault.what)
        elif fault.what == "full":
            copy.full(True)
            await asyncio.sleep(fault.lasts)
            copy.full(False)
            if not copy.running:  # one that cannot write may end itself
                await self._start(copy)
            self._away(copy, begun, fault.what)
        else:
            copy.step_clock(fault.by_ms)
            await asyncio.sleep(fault.lasts)
            copy.step_clock(0.0)
            self._away(copy, begun, fault.what)

    async def _restart(self, copies: list[CopyHandle], fault: Fault, lasts: float | None = None) -> None:
        """SIGKILL, what becomes of the folder, and a new start once it has lasted."""
        async with AsyncExitStack() as stack:
            for copy in copies:
                await stack.enter_async_context(copy.lock)
            left = [copy for copy in copies if copy.name not in self.replaced]
            await self._restarted(left, fault, lasts)

    async def _restarted(self, copies: list[CopyHandle], fault: Fault, lasts: float | None) -> None:
        begun = self.now()
        for copy in copies:
            await copy.kill()
            if fault.what == "lose":
                copy.lose()
            elif fault.what == "restore":
                found = self.older(copy.name, fault.age)
                if found is not None:
                    copy.restore(found)
        await asyncio.sleep(fault.lasts if lasts is None else lasts)
        await asyncio.gather(*(self._start(copy) for copy in copies))
        for copy in copies:
            self._away(copy, begun, fault.what)

    async def _replace(self, copy: CopyHandle, fault: Fault) -> None:
        """SIGKILL for good; a new copy starts once it has lasted, and then all hear that it is to vote."""
        begun = self.now()
        async with copy.lock:
            if copy.name in self.replaced:
                return
            await copy.kill()
            await asyncio.sleep(fault.lasts)
            new = self.spare(copy)
            self.replaced[copy.name] = new.name
            del self.copies[copy.name]
            self.copies[new.name] = new
        self.away.append(Away(copy.name, begun, math.inf, fault.what))
        async with new.lock:
            await self._start(new)
        self.away.append(Away(new.name, -math.inf, self.now() + BACK, fault.what))
        self.voters(copy.name, new.name)

    async def _start(self, copy: CopyHandle) -> None:
        try:
            await copy.start()
        except RuntimeError as error:
            self.problems.append(str(error))

    def _away(self, copy: CopyHandle, begun: float, what: str) -> None:
        self.away.append(Away(copy.name, begun, self.now() + BACK, what))

    def cuts(self) -> list[tuple[str, str, float, float]]:
        """Pairs that cuts lay between, with their times (s)."""
        names = list(self.copies)
        cuts = [fault for fault in self.done if fault.what in ("cut", "oneway", "isolate")]
        return [
            (a, b, fault.at, fault.ends)
            for fault in cuts
            for i, a in enumerate(names)
            for b in names[i + 1 :]
            if self.fates.strikes(fault, a, b) or self.fates.strikes(fault, b, a)
        ]
