"""What an endpoint list says, checked against the settings, and the numbers of destinations."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from brassweir import interface as api
from brassweir.config.load import ConfigError
from brassweir.config.model import Config


class DestinationNumbers:
    """The number that the decisions know a destination by: partners in the order of the settings, others as
    they are first listed. A number is never given to another."""

    def __init__(self, config: Config) -> None:
        self.partners = {partner.as2_id: number for number, partner in enumerate(config.partners, 1)}
        self.listed: dict[str, int] = {}
        self.names: list[str] = []

    def give(self, name: str) -> int:
        """The number of a destination that the list names."""
        number = self.listed.get(name)
        if number is None:
            number = self.listed[name] = len(self.partners) + len(self.listed) + 1
        return number

    def number(self, name: str) -> int | None:
        """The number of a destination that there is; None if it is in no settings and no list."""
        return self.partners.get(name) or self.listed.get(name)

    def name(self, number: int) -> str:
        """The name behind a number."""
        while len(self.names) < len(self.partners) + len(self.listed):
            # Both maps only grow, in the order of their numbers.
            self.names = [*self.partners, *self.listed]
        return self.names[number - 1] if 0 < number <= len(self.names) else ""


class ListEntry(Protocol):
    """What both forms of the list say of an endpoint."""

    @property
    def name(self) -> str: ...
    @property
    def url(self) -> str: ...
    @property
    def partner(self) -> str | None: ...
    @property
    def destination(self) -> str | None: ...
    @property
    def kind(self) -> str: ...
    @property
    def zone(self) -> str: ...
    @property
    def state(self) -> str: ...
    @property
    def rate(self) -> float: ...


@dataclass(frozen=True, slots=True)
class ResolvedList:
    """A list as the module is told it, and the URL of each endpoint."""

    infos: list[api.EndpointInfo]
    urls: dict[str, str]


def scale_rates(infos: Iterable[api.EndpointInfo], scale: float) -> list[api.EndpointInfo]:
    """Endpoints with this part of their rates."""
    return [replace(info, rate=info.rate * scale) if info.rate else info for info in infos]


def resolve_list(
    entries: Sequence[ListEntry], config: Config, numbers: DestinationNumbers, name: str
) -> ResolvedList:
    """Check a list against the settings. Raises ConfigError, and then numbers nothing."""
    carriers = {kind.name: kind.carrier for kind in config.kinds}
    problems: list[str] = []
    for one in entries:
        carrier = carriers.get(one.kind, "as2" if not one.kind else "")
        if not carrier:
            problems.append(f"{name}: endpoint {one.name}: kind {one.kind!r} is not in the settings")
        elif one.partner is not None and one.partner not in numbers.partners:
            problems.append(f"{name}: endpoint {one.name}: partner {one.partner!r} is not in the settings")
        elif (one.partner is None) != (carrier != "as2"):
            problems.append(f"{name}: endpoint {one.name}: kind {one.kind!r} carries by {carrier}")
        elif one.destination in numbers.partners:
            problems.append(f"{name}: endpoint {one.name}: {one.destination!r} is an AS2 partner")
        if one.url.startswith("https:"):
            problems.append(f"{name}: endpoint {one.name}: https is not served by this version")
        elif carrier and one.url.startswith("forward:") != (carrier == "forward"):
            problems.append(
                f"{name}: endpoint {one.name}: kind {one.kind!r} carries by {carrier}, and its "
                f"URL is {one.url.partition(':')[0]}"
            )
        if len(problems) >= 20:
            break
    if problems:
        raise ConfigError(problems)
    states = {state.value: state for state in api.EntryState}
    infos = [
        api.EndpointInfo(
            one.name,
            numbers.partners[one.partner] if one.partner is not None else numbers.give(one.destination or ""),
            sys.intern(one.kind),
            sys.intern(one.zone),
            states[one.state],
            one.rate,
        )
        for one in entries
    ]
    return ResolvedList(infos, {info.name: one.url for info, one in zip(infos, entries, strict=True)})
