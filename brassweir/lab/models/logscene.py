"""A scene of the small model of the agreed log: three real cores, their disks, and the messages under way."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brassweir.agreed.core import Core
from brassweir.agreed.events import Write
from brassweir.agreed.messages import MEMBERS, Entry, Envelope, Membership
from brassweir.agreed.records import Ballot, Identity, Persisted
from brassweir.lab.models.toys import Pile

NAMES = ("a", "b", "c")


class Fixed:
    """Draws nothing: waits play no part here."""

    def random(self) -> float:
        """Half."""
        return 0.5

    def getrandbits(self, bits: int) -> int:
        """One."""
        return 1


@dataclass
class Bounds:
    """How much may happen in one history."""

    terms: int = 3
    proposals: int = 1
    crashes: int = 1
    in_flight: int = 4
    states: int = 200_000


@dataclass
class Place:
    """One member and its disk."""

    core: Core
    kept: Persisted
    writes: list[Write] = field(default_factory=list)


@dataclass
class Scene:
    """All there is at one moment, and what was seen on the way."""

    places: dict[str, Place]
    net: frozenset[tuple[str, str, Envelope]] = frozenset()
    leads: tuple[tuple[int, str], ...] = ()
    agreed: tuple[tuple[Entry, int], ...] = ()  # what a disk says is agreed, and in which term it came there
    proposals: int = 0
    crashes: int = 0
    steps: tuple[str, ...] = ()


def clone(thing: Any) -> Any:
    """A copy that shares only what never changes."""
    if isinstance(thing, list):
        return [clone(item) for item in thing]
    if isinstance(thing, dict):
        return {key: clone(item) for key, item in thing.items()}
    if isinstance(thing, set):
        return set(thing)
    if isinstance(thing, msgspec.Struct | Fixed) or not hasattr(thing, "__dict__"):
        return thing
    fresh = copy.copy(thing)
    for key, item in vars(thing).items():
        if not isinstance(item, int | float | str | bytes | tuple):
            setattr(fresh, key, clone(item))
    return fresh


def founded(core: type[Core] = Core) -> Scene:
    """A group of three that has just begun."""
    membership = Membership(tuple((name, name * 2) for name in NAMES))
    first = Entry(1, 1, MEMBERS, msgspec.msgpack.encode(membership))
    places = {}
    for name in NAMES:
        kept = Persisted(Identity(name * 2, "g", 1, 1), Ballot(1, ""), entries=[first], commit_index=1)
        places[name] = Place(start(core, name, kept), kept)
    return Scene(places)


def start(kind: type[Core], name: str, kept: Persisted) -> Core:
    """A run from a folder."""
    core = kind(name, clone(kept), Pile(), Fixed(), 0.0)  # type: ignore[arg-type]
    core.identity_confirmed = True
    core.election_deadline = core.pull_at = core.heartbeat_at = 1e18
    core.step(0.0)
    return core
