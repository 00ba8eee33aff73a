"""The steps of a copy's view of the sites.

Steps are facts for others: list entries whose rates and states are this copy's view (for the decision module,
which divides a rate by the listed copies), what share of each line has room (for the fronts), what this copy
says (for the agreed log).
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.interface import EndpointInfo
from brassweir.sites.facts import Line, Word


@dataclass(frozen=True, slots=True)
class Said:
    """The word on a site has changed; ``alone``: the agreed log was out of reach."""

    site: str
    word: Word
    alone: bool


@dataclass(frozen=True, slots=True)
class Propose:
    """What this copy says to the agreed log and to witnesses, by its own endings; None: nothing any more."""

    site: str
    word: Word | None


@dataclass(frozen=True, slots=True)
class Entry:
    """A list entry to tell the decision module."""

    info: EndpointInfo


@dataclass(frozen=True, slots=True)
class Admit:
    """The rate of a line that has room from now on; the rest is refused at once, with ``retry_after`` (ms).
    Infinite: all."""

    line: Line
    rate: float
    retry_after: float


Step = Said | Propose | Entry | Admit
