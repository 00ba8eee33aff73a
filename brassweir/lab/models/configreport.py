"""What a case of the configuration proof measured: times, bytes, steps. Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

import msgspec

from brassweir.lab.models.configworld import Outage, World


class Spread(msgspec.Struct, frozen=True):
    """How figures spread: the middle, the 99th percentile, the highest; how many there are."""

    count: int = 0
    p50: float = 0.0
    p99: float = 0.0
    most: float = 0.0


class ChangeTimes(msgspec.Struct, frozen=True):
    """One change, in ms."""

    number: int
    commands: int
    accepted: float  # from SIGHUP until the proposer was told that it is agreed
    last_copy: float  # from then until the module of the last reachable copy was told all of it
    everywhere: float  # from then until the leader said so of all in contact; -1: the next came first


class Rates(msgspec.Struct, frozen=True):
    """Something a second: at the middle copy, the highest copy, the highest control machine."""

    median: float
    most: float
    control: float


class CaseReport(msgspec.Struct, frozen=True):
    """All of a case."""

    case: str
    copies: int
    entries: int
    seed: int
    told: Spread  # ms from accepted to told, over all pairs of a change and a copy reachable meanwhile
    agreed_told: Spread  # the same from when the first copy, a voter, applied it: before its proposer knew
    back: Spread  # ms from a copy's return until it was told what was newest then
    changes: list[ChangeTimes]
    sent: Rates  # bytes
    received: Rates  # bytes
    steps: Rates
    cpu: Rates  # ms
    longest_counted: float  # ms that a copy out of contact still counted as in force
    simulated: float  # s


def spread(values: list[float]) -> Spread:
    """Of these figures."""
    if not values:
        return Spread()
    ranked = sorted(values)
    at99 = min(len(ranked) - 1, int(len(ranked) * 0.99))
    return Spread(len(ranked), ranked[len(ranked) // 2], ranked[at99], ranked[-1])


class Tape:
    """When each copy's module was told which versions, for looking up."""

    def __init__(self, world: World) -> None:
        self.times: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for now, name, version in world.judge.tape:
            self.times[name].append((now, version))
        still_out = [Outage(name, since, float("inf"), 0) for name, since in world.out_since.items()]
        self.outages: dict[str, list[Outage]] = defaultdict(list)
        for outage in [*world.outages, *still_out]:
            self.outages[outage.name].append(outage)

    def first_told(self, name: str, version: int, after: float = 0.0) -> float | None:
        """When it was first told this version or a newer one, at ``after`` or later."""
        times = self.times[name]
        first = bisect_left(times, (after, 0))
        return next((at for at, told in times[first:] if told >= version), None)

    def reachable(self, name: str, first: float, last: float) -> bool:
        """Was it in contact all the while?"""
        return not any(one.begun < last and first < one.ended for one in self.outages[name])


def told_times(world: World, tape: Tape, version: int, since: float) -> list[float]:
    """Ms from a time to when a version was told, of all copies that were reachable meanwhile."""
    found = []
    for name in world.fleet.names:
        at = tape.first_told(name, version)
        last = world.now if at is None else at
        if tape.reachable(name, min(since, last), max(since, last)):
            found.append(max(0.0, last - since))
    return found


def back_times(tape: Tape) -> list[float]:
    """Ms from each return to the first time that what was newest then, or newer, had been told."""
    found = []
    for outages in tape.outages.values():
        for outage in outages:
            if outage.ended < float("inf"):
                at = tape.first_told(outage.name, outage.newest, outage.ended)
                found += [at - outage.ended] if at is not None else []
    return found


def rates(world: World, field: str, scale: float = 1.0) -> Rates:
    """Of one kind of figure."""
    seconds = (world.measured_to - world.measured_from) / 1_000.0
    by_name = {name: getattr(one, field) * scale / seconds for name, one in world.measured.items()}
    ranked = sorted(by_name.values())
    return Rates(ranked[len(ranked) // 2], ranked[-1], max(by_name[name] for name in world.fleet.controls))


def report(case: str, world: World, seed: int) -> CaseReport:
    """What came of a world that was played to its end."""
    tape = Tape(world)
    told: list[float] = []
    agreed_told: list[float] = []
    changes = []
    for submission in world.operator.submissions:
        times = told_times(world, tape, submission.version, submission.accepted_at)
        told += times
        agreed_at = world.judge.effective_at[submission.version]
        agreed_told += told_times(world, tape, submission.version, agreed_at)
        seen = world.views.everywhere_at.get(submission.version)
        changes.append(
            ChangeTimes(
                submission.number,
                submission.commands,
                submission.accepted_at - submission.submitted_at,
                max(times, default=0.0),
                -1.0 if seen is None else seen - submission.accepted_at,
            )
        )
    return CaseReport(
        case,
        len(world.fleet.names),
        len(world.list),
        seed,
        spread(told),
        spread(agreed_told),
        spread(back_times(tape)),
        changes,
        rates(world, "sent_bytes"),
        rates(world, "received_bytes"),
        rates(world, "steps"),
        rates(world, "cpu", 1_000.0),
        world.views.longest_counted,
        world.now / 1_000.0,
    )
