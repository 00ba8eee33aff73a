"""What the cores of a site's loss are told, and the words for it. Times are ms, rates are calls a second."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from brassweir.interface import EndpointInfo


class State(Enum):
    """What is thought of a site's endpoints; in order of severity."""

    WELL = "well"
    SUSPECTED = "suspected"
    RETURNING = "returning"
    LOST = "lost"


SEVERITY = {state: number for number, state in enumerate(State)}


class PeerState(Enum):
    """What liveness says of a copy."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Copy:
    """A listed copy and the site where it stands."""

    name: str
    site: str


@dataclass(frozen=True, slots=True)
class Outcomes:
    """How own calls to an endpoint ended since the last step; time-outs are not among the failures."""

    endpoint: str
    passes: float
    failures: float = 0.0
    timeouts: float = 0.0


@dataclass(frozen=True, slots=True)
class Witness:
    """What another copy says of a site by **its own endings alone**: words made of others' words would echo.
    ``passes`` and ``failures`` are its counts of the window (``evidence.WINDOW``), ``age`` is since it
    said it."""

    copy: str
    about: str
    state: State | None  # None: too few calls to say anything, but the counts are there
    age: float
    passes: float = 0.0
    failures: float = 0.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one class and customer for one home site, as handed in at this copy.

    ``worth`` is of one message, ``room`` the calls that one needs, ``window`` the ms in which it may still be
    delivered; ``pinned``: it may be delivered at its home site only.
    """

    class_name: str
    customer: str
    home: str
    rate: float
    worth: float = 1.0
    calls_per_message: float = 1.0
    window: float = 30_000.0
    pinned: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Where load goes, worked out beforehand: by case (what is left of which sites, ``plan.case_of``) the
    rate from each home site to each taker, over all copies."""

    version: int
    cases: Mapping[frozenset[tuple[str, float]], Mapping[tuple[str, str], float]]


@dataclass(frozen=True, slots=True)
class LogState:
    """The agreed log's state. ``as_of``: when, on the own clock, the question was **asked** to which this is
    the answer; never when it came. ``silent``: sites whose copies are agreed to be gone."""

    version: int
    as_of: float
    states: Mapping[str, State]
    silent: frozenset[str] = frozenset()
    plan: Plan | None = None
    led_since: float = math.inf  # on the own clock: since when the log has had a leader without a break


@dataclass(frozen=True, slots=True)
class Facts:
    """All that has come since the last step. ``late``: the own loop or process was late (it stalled)."""

    endings: tuple[Outcomes, ...] = ()
    witnesses: tuple[Witness, ...] = ()
    peers: Mapping[str, PeerState] = field(default_factory=dict)
    late: bool = False
    agreed: LogState | None = None
    demand: tuple[Demand, ...] = ()


@dataclass(frozen=True, slots=True)
class Setup:
    """What a copy is told at start. ``start_capacity``: share of its capacity that a cold site bears;
    ``cold``: ms until it bears all; ``spill``: the stated share of a site's load that may go elsewhere.

    Raises ValueError naming the field.
    """

    own: Copy
    copies: tuple[Copy, ...]
    endpoints: tuple[EndpointInfo, ...]
    cold: float = 10_000.0
    start_capacity: float = 0.25
    spill: float = 0.8

    def __post_init__(self) -> None:
        """Refuse what makes no sense."""
        if self.own not in self.copies:
            raise ValueError(f"own: {self.own.name} is not among the copies")
        if len({copy.name for copy in self.copies}) != len(self.copies):
            raise ValueError("copies: a name stands more than once")
        for name, low, high in (("cold", 0.0, 1e9), ("start_capacity", 0.0, 1.0), ("spill", 0.0, 1.0)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not within {low} to {high}")
        if self.start_capacity == 0.0:
            raise ValueError("start_capacity: 0 would never let a site return")

    @property
    def sites(self) -> tuple[str, ...]:
        """All sites where endpoints stand, in order."""
        return tuple(sorted({one.zone for one in self.endpoints}))

    def capacity(self, site: str) -> float:
        """The listed rate of a site."""
        return sum(one.rate for one in self.endpoints if one.zone == site)
