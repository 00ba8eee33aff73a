"""Probes made for others: who asked, whom we ping for them, and until when an answer is passed on. Pure."""

from __future__ import annotations

from dataclasses import dataclass

MOST = 1_000  # errands at a time; more are not taken on
FIRST = 1 << 40  # numbers of these pings start here, so that they are none of our own probes'


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """``asker`` wants to know of ``about``; ``number`` is the asker's."""

    asker: str
    number: int
    about: str
    until: float


class IndirectProbes:
    """Those under way, by the number of our ping, in the order of their ends."""

    def __init__(self) -> None:
        self.open: dict[int, IndirectProbe] = {}
        self.number = FIRST

    def take(self, errand: IndirectProbe) -> int | None:
        """The number of the ping to send; None if there are too many."""
        if len(self.open) >= MOST:
            return None
        self.number += 1
        self.open[self.number] = errand
        return self.number

    def answered(self, number: int, sender: str) -> IndirectProbe | None:
        """The one that this answer ends."""
        errand = self.open.get(number)
        return self.open.pop(number) if errand is not None and errand.about == sender else None

    def over(self, now: float) -> list[IndirectProbe]:
        """Those whose time is over, taken out."""
        ended = [number for number, errand in self.open.items() if errand.until <= now]
        return [self.open.pop(number) for number in ended]

    def due(self) -> float:
        """When the first one ends."""
        return min((errand.until for errand in self.open.values()), default=float("inf"))
