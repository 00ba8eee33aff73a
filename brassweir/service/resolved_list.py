"""Checks an endpoint list against the settings, and assigns numbers to destinations."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from brassweir import interface as api
from brassweir.config.load import ConfigError
from brassweir.config.model import Config


class DestinationNumbers:
    """The numbers that the decision module identifies destinations by.

    Partners are numbered in the order of the settings, other destinations as they are first listed. A number
    is never reused.
    """

    def __init__(self, config: Config) -> None:
        self.partners = {partner.as2_id: number for number, partner in enumerate(config.partners, 1)}
        self.listed: dict[str, int] = {}
        self.names: list[str] = []

    def assign(self, name: str) -> int:
        """Return the number of a listed destination; assign the next one if it is new."""
        number = self.listed.get(name)
        if number is None:
            number = self.listed[name] = len(self.partners) + len(self.listed) + 1
        return number

    def number(self, name: str) -> int | None:
        """Return the number of a destination; None if no settings and no list have named it."""
        return self.partners.get(name) or self.listed.get(name)

    def name(self, number: int) -> str:
        """Return the name of the destination with this number; empty if there is none."""
        while len(self.names) < len(self.partners) + len(self.listed):
            # Both maps only grow, in the order of their numbers.
            self.names = [*self.partners, *self.listed]
        return self.names[number - 1] if 0 < number <= len(self.names) else ""


class ListEntry(Protocol):
    """An entry of an endpoint list, from a file or from the agreed log."""

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
    """The entries as the decision module takes them, and the URL of each endpoint by name."""

    infos: list[api.EndpointInfo]
    urls: dict[str, str]


def scale_rates(infos: Iterable[api.EndpointInfo], scale: float) -> list[api.EndpointInfo]:
    """Return the endpoints with their rate limits multiplied by ``scale``; no limit stays none."""
    return [replace(info, rate=info.rate * scale) if info.rate else info for info in infos]


def resolve_list(
    entries: Sequence[ListEntry], config: Config, numbers: DestinationNumbers, name: str
) -> ResolvedList:
    """Check a list against the settings and number its destinations.

    Raises ConfigError, which names up to 20 problems, and then numbers nothing. ``name`` stands for the list
    in the problems.
    """
    carriers = {kind.name: kind.carrier for kind in config.kinds}
    problems: list[str] = []
    for entry in entries:
        carrier = carriers.get(entry.kind, "as2" if not entry.kind else "")
        if not carrier:
            problems.append(f"{name}: endpoint {entry.name}: kind {entry.kind!r} is not in the settings")
        elif entry.partner is not None and entry.partner not in numbers.partners:
            problems.append(
                f"{name}: endpoint {entry.name}: partner {entry.partner!r} is not in the settings"
            )
        elif (entry.partner is None) != (carrier != "as2"):
            problems.append(f"{name}: endpoint {entry.name}: kind {entry.kind!r} carries by {carrier}")
        elif entry.destination in numbers.partners:
            problems.append(f"{name}: endpoint {entry.name}: {entry.destination!r} is an AS2 partner")
        if entry.url.startswith("https:"):
            problems.append(f"{name}: endpoint {entry.name}: https is not served by this version")
        elif carrier and entry.url.startswith("forward:") != (carrier == "forward"):
            problems.append(
                f"{name}: endpoint {entry.name}: kind {entry.kind!r} carries by {carrier}, and its "
                f"URL is {entry.url.partition(':')[0]}"
            )
        if len(problems) >= 20:
            break
    if problems:
        raise ConfigError(problems)
    states = {state.value: state for state in api.EntryState}
    infos = [
        api.EndpointInfo(
            entry.name,
            numbers.partners[entry.partner]
            if entry.partner is not None
            else numbers.assign(entry.destination or ""),
            sys.intern(entry.kind),
            sys.intern(entry.zone),
            states[entry.state],
            entry.rate,
        )
        for entry in entries
    ]
    return ResolvedList(infos, {info.name: entry.url for info, entry in zip(infos, entries, strict=True)})
