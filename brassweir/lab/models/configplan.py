"""The cases of the configuration proof: ten changes in two minutes each, and what goes wrong meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from brassweir.agreed.core import Core
from brassweir.configstream.catalog_source import CachingCatalogSource
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.lab.models.configfleet import DRAINING, ENTRIES, Fleet, endpoint, first_list
from brassweir.lab.models.configfounding import Founding
from brassweir.lab.models.configjudge import List
from brassweir.lab.models.confignode import Weather
from brassweir.lab.models.configworld import World
from brassweir.lab.models.logjudge import Broken

SETTLED = 20_000.0  # ms: the feed tree stands; what is measured begins
EVERY = 12_000.0  # ms between two changes
CHANGES = 10
LARGE, DRAIN = 3, 6  # which of the changes is large, and which is a drain alone
LARGE_SHARE = 0.1  # of all entries: 7,000 of 70,000
SPAN = EVERY * CHANGES
MOST_WAIT = 90_000.0  # ms after the last change and fault until all must be told

ROLLED = 59  # copies of the rolling restart
ZONE = "zb2"  # a zone of senders alone
REGION = "rc"  # a region with one voter
ZONE_DOWN = 40_000.0  # ms
REGION_CUT = 180_000.0  # ms
STOPPED = 10_000.0  # ms of SIGSTOP
FAULT_AT = 15_000.0  # ms after the beginning of what is measured


def next_list(entries: List, number: int, rng: Random) -> dict[str, Entry]:
    """The operator's list after one more edit."""
    edited = dict(entries)
    names = sorted(entries)
    if number == DRAIN:
        name = rng.choice(names)
        edited[name] = replace_state(entries[name], DRAINING)
        return edited
    count = int(len(entries) * LARGE_SHARE) if number == LARGE else rng.randint(1, 20)
    for name in rng.sample(names, count):
        edited[name] = replace_rate(entries[name], round(rng.uniform(0.1, 9.0), 3))
    if count > 2 and number != LARGE:  # a drain, a second endpoint, and the removal of an earlier one
        name = rng.choice(names)
        edited[name] = replace_state(entries[name], DRAINING)
        added = endpoint(90_000 + number, rng.randrange(len(entries) // 2))
        edited[added.name] = added
        for old in [name for name in names if name >= "e90000"][:1]:
            del edited[old]
    return edited


def replace_state(entry: Entry, state: str) -> Entry:
    """The same endpoint in another state."""
    return Entry(entry.name, entry.url, entry.destination, zone=entry.zone, state=state, rate=entry.rate)


def replace_rate(entry: Entry, rate: float) -> Entry:
    """The same endpoint with another rate."""
    return Entry(entry.name, entry.url, entry.destination, zone=entry.zone, state=entry.state, rate=rate)


@dataclass(frozen=True)
class Case:
    """What goes wrong: ``trouble`` sets it up in the world at the beginning of what is measured."""

    name: str
    trouble: Callable[[World], None]
    weather: Weather = Weather()
    span: float = SPAN


def nothing(world: World) -> None:
    """No trouble."""


def rolling_restart(world: World) -> None:
    """One copy after the other, evenly over the time: voters, and senders of all zones."""
    copies = [*world.fleet.voters, *world.fleet.senders]
    step = max(1, len(copies) // ROLLED)
    chosen = [*world.fleet.voters, *world.fleet.senders[::step]][: min(ROLLED, len(copies))]
    world.rng.shuffle(chosen)
    for i, name in enumerate(chosen):
        world.at(world.now + 1_000.0 + i * (SPAN - 5_000.0) / len(chosen), world.leave, name, 1_000.0)


def zone_lost(world: World) -> None:
    """All copies of a zone stop at once and come back with their folders."""
    for name in world.fleet.in_zone(ZONE):
        world.at(world.now + FAULT_AT, world.crash, name, ZONE_DOWN)


def zone_replaced(world: World) -> None:
    """All copies of a zone stop at once and come back with blank folders."""
    for name in world.fleet.in_zone(ZONE):
        world.at(world.now + FAULT_AT, world.lose_folder, name, ZONE_DOWN)


def region_cut(world: World) -> None:
    """A region is cut off for three minutes."""
    world.at(world.now + FAULT_AT, world.cut_region, REGION)
    world.at(world.now + FAULT_AT + REGION_CUT, world.mend_region, REGION)


def leader_stopped(world: World) -> None:
    """Whoever leads is stopped, shortly before a change is submitted."""

    def stop() -> None:
        leader = world.leader()
        if leader is not None:
            world.stall(leader, STOPPED)

    world.at(world.now + 2 * EVERY + 5_500.0, stop)


def control_gone(world: World) -> None:
    """The control machine that leads is gone shortly before a change is submitted, and does not come back."""

    def end() -> None:
        leader = world.leader()
        if leader is not None:
            world.crash(leader, -1.0)

    world.at(world.now + EVERY + 5_500.0, end)


ROUGH = Weather(loss=0.2, late=200.0)
CASES = {
    case.name: case
    for case in (
        Case("calm", nothing),
        Case("loss", nothing, ROUGH),
        Case("rolling", rolling_restart),
        Case("zone", zone_lost),
        Case("zone_blank", zone_replaced),
        Case("region", region_cut, span=FAULT_AT + REGION_CUT + 10_000.0),
        Case("leader_stopped", leader_stopped),
        Case("control_gone", control_gone),
    )
}


@dataclass
class Setting:
    """What cases of one fleet share: the first list and the state that was agreed before."""

    fleet: Fleet
    entries: dict[str, Entry]
    founding: Founding
    machine: type[ConfiguredMachine] = ConfiguredMachine
    core: type[Core] = ConfiguredCore

    def world(self, seed: int) -> World:
        """A fleet that starts."""
        share = CachingCatalogSource()
        return World(self.fleet, self.founding, self.entries, seed, lambda: self.machine(share), self.core)


def setting(copies: int, entries: int = ENTRIES) -> Setting:
    """A fleet of that size."""
    fleet, first = Fleet(copies), first_list(entries)
    return Setting(fleet, first, Founding(fleet, first.values()))


def play(case: Case, given: Setting, seed: int = 1) -> World:
    """Play a case, and judge it. Raises Broken."""
    world = given.world(seed)
    world.network.weather = case.weather
    world.run(SETTLED)
    world.begin_measuring()
    case.trouble(world)
    rng = Random(f"changes {seed}")
    edited: List = given.entries

    def submit(number: int) -> None:
        nonlocal edited
        edited = next_list(edited, number, rng)
        world.submit(edited)

    for number in range(CHANGES):
        world.at(SETTLED + 6_000.0 + number * EVERY, submit, number)
    world.run(SETTLED + case.span)
    world.end_measuring()
    settle(world)
    return world


def settle(world: World) -> None:
    """Wait until all that are up have been told all, then judge."""
    end = world.now + MOST_WAIT
    while world.now < end and not world.all_told():
        world.run(world.now + 500.0)
    for submission in world.operator.submissions:
        if submission.accepted_at < 0.0:
            raise Broken(f"live: change {submission.number} was not agreed: {submission.refused or 'no end'}")
    up = {name for name, node in world.nodes.items() if node.core is not None}
    world.judge.finish(up, {submission.version for submission in world.operator.submissions})
