"""What becomes of each datagram between two copies: cuts and weather, drawn from the seed. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from brassweir.lab.between.schedule import Fault
from brassweir.lab.between.tape import Fate

NETWORK = ("cut", "oneway", "isolate", "weather")
HOLD = 0.2  # s: the longest that a swapped datagram waits for the next one of its pair


@dataclass(frozen=True, slots=True)
class Passage:
    """What to do: pass ``times`` after ``delay`` seconds each; ``hold`` it until the next of its pair."""

    fate: Fate
    delays: tuple[float, ...] = ()
    hold: bool = False
    spoilt: int = -1  # turn this bit, counted modulo its size


class Fates:
    """One network. The k-th datagram of an ordered pair has the same draws in each run of a seed."""

    def __init__(self, seed: int, sites: dict[str, str], faults: Iterable[Fault] = ()) -> None:
        """``sites``: the site of each copy."""
        self.seed, self.sites = seed, sites
        self.faults = [fault for fault in faults if fault.what in NETWORK]
        self.rngs: dict[tuple[str, str], Random] = {}

    def add(self, fault: Fault) -> None:
        """One more, for instance with the leader found."""
        self.faults.append(fault)

    def _is(self, name: str, who: str | None) -> bool:
        return who is not None and who in (name, self.sites[name])

    def strikes(self, fault: Fault, sender: str, to: str) -> bool:
        """Does this fault lie on the way from ``sender`` to ``to``?"""
        if fault.what == "isolate":
            return self._is(sender, fault.who) != self._is(to, fault.who)
        if fault.between is None:
            return True
        first, second = fault.between
        ahead = self._is(sender, first) and self._is(to, second)
        return ahead or (fault.what != "oneway" and self._is(sender, second) and self._is(to, first))

    def of(self, now: float, sender: str, to: str) -> Passage:
        """The fate of a datagram that comes at ``now`` (s since the start)."""
        rng = self.rngs.get((sender, to))
        if rng is None:
            rng = self.rngs[sender, to] = Random(f"{self.seed}/{sender}/{to}")
        draws = [rng.random() for _ in range(6)]  # always so many: weather does not shift later draws
        here = [one for one in self.faults if one.at <= now < one.ends and self.strikes(one, sender, to)]
        if any(one.what != "weather" for one in here):
            return Passage(Fate.CUT)
        weather = next((one for one in here if one.what == "weather"), None)
        if weather is None:
            return Passage(Fate.PASSED, (0.0,))
        if draws[0] < weather.lose:
            return Passage(Fate.LOST)
        delay = draws[4] * weather.delay_ms / 1000.0
        if draws[5] < weather.spoil:
            return Passage(Fate.SPOILT, (0.0,), spoilt=int(draws[4] * (1 << 30)))
        if draws[1] < weather.double:
            return Passage(Fate.DOUBLED, (0.0, delay))
        if draws[2] < weather.swap:
            return Passage(Fate.SWAPPED, (0.0,), hold=True)
        if draws[3] < weather.delay:
            return Passage(Fate.DELAYED, (delay,))
        return Passage(Fate.PASSED, (0.0,))
