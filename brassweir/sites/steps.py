"""The steps of a copy's view of the sites, for other parts of the program.

The decision module gets list entries with this copy's rates and states (it divides a rate by the number of
listed copies), the fronts get the admitted rate of each demand, and the agreed log gets this copy's reports.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.interface import EndpointInfo
from brassweir.sites.facts import Demand, State


@dataclass(frozen=True, slots=True)
class SiteStateChanged:
    """The state of a site that this copy acts on changed; ``alone``: the agreed log was out of reach."""

    site: str
    state: State
    alone: bool


@dataclass(frozen=True, slots=True)
class OwnStateChanged:
    """This copy's report to the agreed log and to other copies changed, by its own calls; None: nothing to
    report."""

    site: str
    state: State | None


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A list entry for the decision module."""

    info: EndpointInfo


@dataclass(frozen=True, slots=True)
class AdmissionLimit:
    """The rate of a demand that is admitted from now on, infinite for all; what exceeds it is rejected at
    once, with ``retry_after`` (ms)."""

    line: Demand
    rate: float
    retry_after: float


Step = SiteStateChanged | OwnStateChanged | EndpointUpdate | AdmissionLimit
