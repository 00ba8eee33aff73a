"""Copies of the random simulation of grants, and its judge."""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.regions import sources
from brassweir.regions.epochs import Epoch, EpochError
from brassweir.regions.ownership import Ownership
from brassweir.regions.sources import Source
from tests.regions.samples import ASSUMED

Taken = tuple[str, str, float, float]  # message, region, and when (true ms) attempts at it may be made


def twice(tape: list[Taken]) -> set[str]:
    """The judge: messages on the tape that two regions took."""
    regions_of: dict[str, set[str]] = {}
    for message, region, begins, ends in tape:
        if begins < ends:
            regions_of.setdefault(message, set()).add(region)
    return {message for message, regions in regions_of.items() if len(regions) > 1}


@dataclass
class Site:
    """One copy: its view, its durable epochs, its clock's error and the source it is set to."""

    region: str
    view: Ownership
    offset: float
    source: Source = Source.FILE
    durable: list[Epoch] = field(default_factory=list)

    def wall(self, now: float) -> float:
        self.view.check_clocks(now + self.offset, now)
        return now + self.offset

    def learn(self, epoch: Epoch) -> None:
        try:  # as a sender does
            sources.check_source(self.source, epoch, self.view.epoch)
            if self.view.accept(epoch):
                self.durable.append(epoch)
        except EpochError:
            pass

    def restart(self, epoch: Epoch | None, now: float) -> None:
        """Restart after an operator has set the clock."""
        self.view = Ownership(self.region, ASSUMED, epoch)
        self.wall(now)
