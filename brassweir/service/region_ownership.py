"""One sender's ownership, whichever source its epochs come from: kept on disk, and never gone back on.

What was learned is written to disk before it counts, so that a restart does not forget a newer epoch for an
older one. What cannot be read, or contradicts what is known, changes nothing and is complained of once.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from brassweir.config.load import ConfigError
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.interface import MessageClass
from brassweir.regions.epochs import Epoch, EpochError, parse
from brassweir.regions.ownership import Assumptions, Ownership, Reason
from brassweir.regions.shares import LimitShare
from brassweir.regions.sources import Source, check_source

LEAST = 0.001  # of a limit: a rate of nothing would read as no limit
LOOK = 0.25  # seconds between two looks
WORDS = {
    Reason.ELSEWHERE: "not here: this message belongs to region {region}, {url}",
    Reason.MOVING: "not yet: this message's place is moving to this region",
    Reason.LAPSED: "not here: this region cannot show that the message is still its own",
    Reason.BORN_ELSEWHERE: "not here: when this message was made it belonged to region {region}, {url}",
    Reason.CLOCK: "not here: this sender's clock cannot be trusted",
    Reason.UNKNOWN: "not here: nothing is known yet of who owns this message",
}


class RegionOwnership:
    """One sender's ownership; a source feeds :meth:`take`."""

    source: Source

    def __init__(
        self,
        region: str,
        state: Path,
        assumed: Assumptions,
        classes: dict[str, MessageClass],
        note: Callable[[str, dict[str, object]], None],
        counted: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Raises ConfigError where what was known cannot be read."""
        self.state, self.classes, self.note, self.counted = state, classes, note, counted
        try:
            known = parse(state.read_bytes()) if state.exists() else None
        except (OSError, EpochError) as error:
            raise ConfigError(
                [
                    f"region: {state}: {error}; without it an older epoch could be taken for the "
                    "newest: put it back, or remove it once the source is known to be new"
                ]
            ) from None
        self.ownership = Ownership(region, assumed, known)
        self.complained = ""
        self.shares = LimitShare(region, assumed)

    def part(self) -> float:
        """The part of every partner's limit that this region may use now."""
        return self.shares.reported

    def part_changed(self) -> bool:
        """Is that part to be told anew? The least part keeps a told limit told: none would mean no limit."""
        wall = self.wall()
        changed = self.shares.changed(
            self.ownership.epoch, wall, time.monotonic() * 1000.0, self.ownership.clock_trusted(wall)
        )
        self.shares.reported = max(LEAST, self.shares.reported)
        return changed

    def look(self) -> None:
        """What is done at each look: the clocks are compared; a source adds its own."""
        self.wall()

    def wall(self) -> float:
        """The wall clock (ms), compared with the monotonic one first: a step is seen before it is used."""
        wall = time.time() * 1000.0
        self.ownership.check_clocks(wall, time.monotonic() * 1000.0)
        return wall

    def take(self, read: Callable[[], Epoch], where: str) -> None:
        """Take an epoch on, on disk first; what may not be taken is complained of."""
        try:
            epoch = read()
            before = self.ownership.epoch
            check_source(self.source, epoch, before)
            if self.ownership.accept(epoch):
                try:
                    self._keep(epoch)
                except OSError:
                    self.ownership.epoch = before  # not on disk: it does not count
                    raise
                self.note("epoch", {"number": epoch.number, "issued": epoch.issued})
            self.complained = ""
        except (OSError, EpochError) as error:
            if str(error) != self.complained:
                self.complained = str(error)
                self.note("epoch_refused", {"path": where, "error": str(error)})

    def _keep(self, epoch: Epoch) -> None:
        fresh = self.state.with_suffix(".new")
        with fresh.open("wb") as file:
            file.write(msgspec.json.encode(epoch))
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(self.state)
        folder = os.open(self.state.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    async def watch(self, part_changed: Callable[[], None] = lambda: None) -> None:
        """Look again and again, for ever; ``part_changed`` is called when limits are to be told anew."""
        while True:
            await asyncio.sleep(LOOK)
            self.look()
            if self.part_changed():
                part_changed()

    def admits(self, given: Submission) -> FinalAnswer | None:
        """The refusal of a message that is not to be taken here, with where and when to come back; else
        None."""
        effect = self.classes[given.class_name].effect
        found = self.ownership.refusal(effect, given.owner, given.identity, self.wall(), given.created_at)
        if found is None:
            return None
        self.counted(found.reason.name.lower())
        words = WORDS[found.reason].format(region=found.region, url=self.ownership.url(found.region))
        return FinalAnswer(Answer.REFUSED, words, found.retry_after_ms)
