"""Input of the handling of site loss. Times are ms, rates are calls a second."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from brassweir.interface import EndpointInfo


class State(Enum):
    """State of a site's endpoints, in order of severity."""

    WELL = "well"
    SUSPECTED = "suspected"
    RETURNING = "returning"
    LOST = "lost"


SEVERITY = {state: number for number, state in enumerate(State)}


class PeerState(Enum):
    """State of a copy by the failure detector."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Copy:
    """A listed copy and its site."""

    name: str
    site: str


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Outcomes of this copy's calls to an endpoint since the last step; time-outs are not counted as
    failures."""

    endpoint: str
    passes: float
    failures: float = 0.0
    timeouts: float = 0.0


@dataclass(frozen=True, slots=True)
class Witness:
    """Another copy's report on a site, from its own calls alone: reports based on reports would confirm
    themselves.

    ``passes`` and ``failures`` are its counts of the window (``evidence.WINDOW_MS``), ``age`` the time since
    it reported.
    """

    copy: str
    about: str
    state: State | None  # None: too few calls for a state, but the counts hold
    age: float
    passes: float = 0.0
    failures: float = 0.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one class and customer for one home site, as submitted at this copy.

    ``worth`` is the value of one message, ``calls_per_message`` the calls that one needs, ``window`` the ms
    in which it may still be delivered; ``pinned``: it may be delivered at its home site only.
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
    """Where load is transferred, computed in advance.

    ``cases`` gives, by case (what is left of which sites, see ``planning.case_of``), the rate from each home
    site to each taker, over all copies.
    """

    version: int
    cases: Mapping[frozenset[tuple[str, float]], Mapping[tuple[str, str], float]]


@dataclass(frozen=True, slots=True)
class LogState:
    """The agreed log's state. ``as_of``: when, on this copy's clock, it **asked** for the state; never
    when the answer came. ``silent``: sites whose copies are agreed to be gone."""

    version: int
    as_of: float
    states: Mapping[str, State]
    silent: frozenset[str] = frozenset()
    plan: Plan | None = None
    led_since: float = (
        math.inf
    )  # on this copy's clock: since when the log has had a leader without interruption


@dataclass(frozen=True, slots=True)
class Facts:
    """Everything reported since the last step. ``late``: this copy's event loop or process stood still."""

    outcomes: tuple[Outcomes, ...] = ()
    witnesses: tuple[Witness, ...] = ()
    peers: Mapping[str, PeerState] = field(default_factory=dict)
    late: bool = False
    agreed: LogState | None = None
    demand: tuple[Demand, ...] = ()


@dataclass(frozen=True, slots=True)
class Setup:
    """Settings of a copy. ``start_capacity``: share of its capacity that a cold site can serve; ``cold``: ms
    until it can serve all; ``spill``: the configured share of a site's load that may be transferred.

    Raises ValueError naming the field.
    """

    own: Copy
    copies: tuple[Copy, ...]
    endpoints: tuple[EndpointInfo, ...]
    cold: float = 10_000.0
    start_capacity: float = 0.25
    spill: float = 0.8

    def __post_init__(self) -> None:
        """Reject invalid settings."""
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
        """All sites that have endpoints, sorted."""
        return tuple(sorted({one.zone for one in self.endpoints}))

    def capacity(self, site: str) -> float:
        """The sum of the listed rates of a site's endpoints."""
        return sum(one.rate for one in self.endpoints if one.zone == site)
