"""Probes that this copy makes for others (SWIM's ping-req): who asked, the target, and the deadline. Pure."""

from __future__ import annotations

from dataclasses import dataclass

MAX_OPEN = 1_000  # indirect probes at a time; more are refused
FIRST_NUMBER = 1 << 40  # numbers of these pings begin here, apart from those of this copy's own probes


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """``asker`` wants to know whether ``target`` answers; ``number`` is the asker's, ``deadline`` in ms."""

    asker: str
    number: int
    target: str
    deadline: float


class IndirectProbes:
    """Indirect probes under way, by the number of this copy's ping, in the order of their deadlines."""

    def __init__(self) -> None:
        self.open: dict[int, IndirectProbe] = {}
        self.last_number = FIRST_NUMBER

    def start(self, probe: IndirectProbe) -> int | None:
        """The number of the ping to send; None if too many probes are open."""
        if len(self.open) >= MAX_OPEN:
            return None
        self.last_number += 1
        self.open[self.last_number] = probe
        return self.last_number

    def answered(self, number: int, sender: str) -> IndirectProbe | None:
        """End and return the probe that this answer belongs to; None if there is none."""
        probe = self.open.get(number)
        return self.open.pop(number) if probe is not None and probe.target == sender else None

    def expired(self, now: float) -> list[IndirectProbe]:
        """Remove and return the probes whose deadline has passed."""
        ended = [number for number, probe in self.open.items() if probe.deadline <= now]
        return [self.open.pop(number) for number in ended]

    def next_deadline(self) -> float:
        """The earliest deadline (ms); infinite if no probe is open."""
        return min((probe.deadline for probe in self.open.values()), default=float("inf"))
