"""The operator of a run: edits lists at one copy, or at two at once, and notes how each edit ended."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from brassweir.lab.between.asking import ask
from brassweir.lab.between.copy import CopyHandle
from brassweir.lab.between.edits import TWO, Attempt, Drawing, EndpointList

LOOK = 0.1  # s between two looks at an edit's end
ENDS_WITHIN = 20.0  # s until an operator goes on to something else
REST = (0.3, 1.2)  # s between two edits
PATIENT = 1.0  # s that a copy has to answer


class Rig(Protocol):
    """What an operator needs of the run."""

    def now(self) -> float:
        """Seconds since the start."""

    def copy(self, name: str) -> CopyHandle:
        """A copy by its name."""

    def list_file(self, name: str) -> Any:
        """The list that is edited there."""


@dataclass
class Operator:
    """``editors``: the copies where lists are edited, the usual one first."""

    rig: Rig
    editors: tuple[str, ...]
    seed: int

    def __post_init__(self) -> None:
        self.rng = Random(f"configuration/{self.seed}")
        self.drawing = Drawing(self.rng)
        self.known = self.drawing.first()
        self.lists = {self.known.digest(): self.known}
        self.attempts: list[Attempt] = []

    async def bring_in(self) -> None:
        """The first list, before the day begins."""
        while (await self._edit(self.editors[0], self.known)).state != "agreed":
            await asyncio.sleep(LOOK)
        self.attempts[:-1] = []

    async def work(self, until: float) -> None:
        """Edit until then (s since the start)."""
        while self.rig.now() < until:
            if self.rng.random() < TWO:
                await asyncio.gather(*(self._edit(name, self._draw()) for name in self.editors))
            else:
                up = [name for name in self.editors if self.rig.copy(name).listens]
                await self._edit_until_told(up[0] if up else self.editors[0], self._draw())
            await asyncio.sleep(self.rng.uniform(*REST))

    def _draw(self) -> EndpointList:
        drawn = self.drawing.next(self.known)
        self.lists[drawn.digest()] = drawn
        return drawn

    async def _edit_until_told(self, name: str, listed: EndpointList) -> None:
        """Edit; asked to bring in what another copy has brought in, do so, which here means once more."""
        attempt = await self._edit(name, listed)
        if attempt.field_name == "after":
            await self._edit(name, listed)

    async def _edit(self, name: str, listed: EndpointList) -> Attempt:
        copy = self.rig.copy(name)
        attempt = Attempt(self.rig.now(), name, listed.digest(), listed.good, self._base(copy))
        self.attempts.append(attempt)
        before = await self._shown(copy)
        run = copy.run
        if before is None or before["state"] == "proposing":
            return attempt
        self.rig.list_file(name).write_text(listed.text(), encoding="utf-8")
        copy.reread()
        until = self.rig.now() + ENDS_WITHIN
        while self.rig.now() < until and copy.run == run:
            await asyncio.sleep(LOOK)
            now = await self._shown(copy)
            if copy.run == run and now and now["number"] > before["number"] and now["state"] != "proposing":
                self._end(attempt, now, listed)
                break
        return attempt

    def _end(self, attempt: Attempt, edit: dict[str, Any], listed: EndpointList) -> None:
        attempt.ended = self.rig.now()
        attempt.state, attempt.version = str(edit["state"]), int(edit["version"])
        attempt.field_name, attempt.why = str(edit["field"]), str(edit["why"])
        if attempt.state in ("agreed", "unchanged"):
            self.known = listed

    def _base(self, copy: CopyHandle) -> int | None:
        """The version that the list there was made from, as the copy has noted beside its settings."""
        try:
            return int(json.loads(copy.settings.with_suffix(".configuration").read_bytes())["version"])
        except (OSError, ValueError, KeyError):
            return None

    async def _shown(self, copy: CopyHandle) -> dict[str, Any] | None:
        if not copy.listens or copy.stalled:
            return None
        found = await ask(copy.port, "/configuration", PATIENT)
        return found["edit"] if found is not None else None
