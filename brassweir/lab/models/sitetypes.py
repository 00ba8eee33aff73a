"""What the site world is made of: a deployment, its faults, what it needs of a copy, and its tape."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal, Protocol

from brassweir.sites.facts import Demand, Facts, State
from brassweir.sites.steps import Step
from brassweir.sites.verdict import SiteVerdicts

STEP = 250.0  # ms
GOSSIP = 4  # other copies that one hears of in a step: flat in the size of the fleet
NOTICED = 2000.0  # ms until liveness tells a dead copy
FALL = 3000.0  # ms that a site which tipped over is down
TRY = 0.05  # share of its even rate that goes to an endpoint known to be dead

Kind = Literal[
    "lost", "endpoints", "copies", "half", "slow", "burst", "answers", "cut", "log", "late", "restart"
]


@dataclass(frozen=True, slots=True)
class Fault:
    """What goes wrong at ``site`` ("": all) from ``start`` to ``end`` (ms). ``share``: of copies struck
    (cut, late, restart), of answers lost, of the capacity that is left (slow), of demand that is added
    (burst)."""

    kind: Kind
    start: float
    end: float
    site: str = ""
    share: float = 0.5


@dataclass(frozen=True, slots=True)
class World:
    """A deployment. ``load``: of its capacity that each site carries before anything goes wrong."""

    capacity: dict[str, float]
    load: dict[str, float]
    copies: int = 4  # at each site
    endpoints: int = 4  # at each site
    cold: float = 10_000.0
    start_capacity: float = 0.25
    tip: float = 1.3  # x what it bears now: more than that for a second and a cold site falls
    spill: float = 0.8
    pinned: float = 0.1  # of each site's demand
    uneven: float = 0.3  # by which copies' demand differs


class Stepping(Protocol):
    """What the world needs of a copy: the view, or the plain one beside it."""

    home: dict[str, float]
    spill: dict[tuple[str, str], float]
    verdicts: SiteVerdicts

    def step(self, now: float, facts: Facts) -> list[Step]: ...
    def state(self, site: str) -> State: ...


@dataclass(slots=True)
class Second:
    """One step of the tape: true figures, calls a second, by site or (home, taker)."""

    at: float
    demand: dict[str, float] = field(default_factory=dict)
    offered: dict[str, float] = field(default_factory=dict)
    bears: dict[str, float] = field(default_factory=dict)  # what each site could take now
    whole: dict[str, float] = field(default_factory=dict)  # of what it takes when warm, no fault
    warm: dict[str, float] = field(default_factory=dict)
    spilled: dict[tuple[str, str], float] = field(default_factory=dict)
    words: dict[str, dict[State, int]] = field(default_factory=dict)  # acted on by how many live copies
    refused: list[tuple[Demand, float]] = field(default_factory=list)  # by copy in turn: line and rate let in
    by_copy: list[int] = field(default_factory=list)  # where each copy's lines begin
    worth: float = 0.0
    asked: float = 0.0
    lost_calls: dict[str, float] = field(default_factory=dict)
