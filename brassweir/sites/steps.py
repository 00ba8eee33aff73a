"""The steps of a copy's view of the sites.

Steps are facts for others: list entries whose rates and states are this copy's view (for the decision module,
which divides a rate by the listed copies), what share of each line has room (for the fronts), what this copy
says (for the agreed log).
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.interface import EndpointInfo
from brassweir.sites.facts import Demand, State


@dataclass(frozen=True, slots=True)
class SiteStateChanged:
    """The word on a site has changed; ``alone``: the agreed log was out of reach."""

    site: str
    state: State
    alone: bool


@dataclass(frozen=True, slots=True)
class OwnStateChanged:
    """What this copy says to the agreed log and to witnesses, by its own endings; None: nothing any more."""

    site: str
    state: State | None


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A list entry to tell the decision module."""

    info: EndpointInfo


@dataclass(frozen=True, slots=True)
class AdmissionLimit:
    """The rate of a line that has room from now on; the rest is refused at once, with ``retry_after`` (ms).
    Infinite: all."""

    line: Demand
    rate: float
    retry_after: float


Step = SiteStateChanged | OwnStateChanged | EndpointUpdate | AdmissionLimit
