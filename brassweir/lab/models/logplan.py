"""Schedules of faults for the agreed log's world: drawn from a seed, played, judged, shrunk, kept as JSON."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from brassweir.agreed.core import Core
from brassweir.agreed.events import OutcomeKind
from brassweir.lab.models.logjudge import Broken
from brassweir.lab.models.logworld import Weather, World

FOUNDED = 4_000.0  # ms: the group stands; faults begin
CALM = 12_000.0  # ms from the end of the faults until all must stand again: starts, memory asked, an election


class Event(msgspec.Struct, frozen=True):
    """Something happens: a method of the world with arguments."""

    at: float
    what: str
    who: str = ""
    span: float = 0.0
    how: str = ""


class Plan(msgspec.Struct):
    """All that a run is made of."""

    seed: int
    voters: int
    learners: int
    weather: dict[str, float]
    end: float
    events: list[Event]


def draw(seed: int, voters: int = 3, learners: int = 1, span: float = 12_000.0, faults: int = 10) -> Plan:
    """A plan with faults of all kinds, and clients all the while."""
    rng = Random(f"plan {seed}")
    names = [f"v{i + 1}" for i in range(voters)] + [f"l{i + 1}" for i in range(learners)]
    end = FOUNDED + span
    events: list[Event] = []
    kinds = (
        "crash",
        "crash",
        "step",
        "step",
        "stall",
        "isolate",
        "deaf",
        "cut",
        "full",
        "all",
        "leave",
        "trouble",
        "change",
    )
    for _ in range(faults):
        at, who = rng.uniform(FOUNDED, end), rng.choice(names)
        events.append(
            Event(
                round(at),
                rng.choice(kinds),
                who,
                round(rng.uniform(300.0, 4_000.0)),
                rng.choice(("lost", "kept", "torn", "reordered")),
            )
        )
    if rng.random() < 0.6:  # folders are lost or restored no faster than a group can bear
        who = rng.choice(names)
        at = rng.uniform(FOUNDED, end)
        what = rng.choice(("lose", "restore"))
        events.append(Event(round(rng.uniform(FOUNDED - 1_000.0, at)), "save", who))
        events.append(Event(round(at), what, who, round(rng.uniform(200.0, 2_000.0))))
    elif rng.random() < 0.8:
        how = rng.choice(("lose", "restore", "lost", "lost"))
        at, wait = rng.uniform(FOUNDED, end), rng.uniform(60.0, 700.0)
        events.append(Event(round(at), "pinch", "", round(wait), how))
    for at in range(int(FOUNDED), int(end), 90):
        events.append(Event(at, rng.choice(("propose", "propose", "propose", "read")), rng.choice(names)))
    weather = {
        "loss": rng.choice((0.0, 0.05, 0.2)),
        "double": rng.choice((0.0, 0.1)),
        "high": rng.choice((3.0, 30.0, 200.0)),
        "disk": rng.choice((4.0, 4.0, 300.0)),
        "snap": rng.choice((12.0, 4_096.0)),
    }
    return Plan(seed, voters, learners, weather, end, sorted(events, key=lambda event: event.at))


def happen(world: World, event: Event) -> None:
    """One event."""
    who, span = event.who, event.span
    node = world.nodes.get(who)
    match event.what:
        case "crash":
            world.crash(who, event.how, span)
        case "step" if node is not None:
            node.disk.crash_at = node.disk.step + 1 + int(span) % 7
        case "full" if node is not None:
            node.disk.room = 200 + sum(map(len, node.disk.synced.values()))
            world.at(world.now + span, lambda: setattr(world.nodes[who].disk, "room", None))
        case "trouble" if node is not None:
            node.disk.bad_sync = node.disk.step + int(span) % 5
        case "cut":
            others = [name for name in world.names if name != who]
            other = others[int(span) % len(others)]
            world.cut([(who, other)], span)
        case "all":
            for name in world.names:
                world.crash(name, event.how, span / 4.0)
        case "lose" | "restore":  # whoever remembers is within reach meanwhile
            world.heal()
            world.quiet = world.now + span + 6_000.0
            (world.lose if event.what == "lose" else world.restore)(who, span)
        case "change" if (core := world.nodes[world.leader() or who].core) is not None:
            names = core.log.membership.names()
            if who not in names or len(names) > 3:
                world.change(who, who not in names)
        case "pinch":
            world.pinch(event.how, span)
        case "propose":
            world.propose(who)
        case "read":
            world.read(who)
        case "save" | "leave":
            getattr(world, event.what)(who)
        case "stall" | "isolate" | "deaf":
            getattr(world, event.what)(who, span)


def wait(world: World, span: float, done: Callable[[], bool]) -> None:
    """Let time pass until it is so, at most ``span`` ms."""
    end = world.now + span
    while world.now < end and not done():
        world.run(world.now + 200.0)


def play(plan: Plan, core: type[Core] = Core) -> World:
    """Play and judge. Raises Broken."""
    world = World(plan.seed, plan.voters, plan.learners, Weather(**plan.weather), core)
    for event in plan.events:
        world.run(event.at)
        if world.now >= world.quiet or event.what in ("propose", "read", "save", "lose", "restore"):
            happen(world, event)
    world.run(plan.end + 800.0)  # a pinch ends within 700 ms, and makes it quiet
    world.run(max(world.now, world.quiet))
    world.weather = Weather(snap=world.weather.snap)
    world.heal()
    world.run(world.now + 300.0)  # who was told to stop stops
    wait(
        world,
        CALM,
        lambda: (
            world.leader() is not None
            and all(
                node.core is not None and (node.core.identity_confirmed or not node.core.is_voter)
                for node in world.nodes.values()
            )
        ),
    )
    asked = [world.propose(name) for name in world.names]
    wait(world, 9_000.0, lambda: all(ask.outcome is not None for ask in world.judge.asks.values()))
    for ticket in asked:
        ask = world.judge.asks.get(ticket)
        if ask is None or ask.outcome is None or ask.outcome.how is not OutcomeKind.AGREED:
            raise Broken(f"live: {ask} did not succeed, {world.leader()} leads")
    piles = {name: node.machine.taken for name, node in world.nodes.items() if node.core is not None}
    wait(world, 4_000.0, lambda: len({len(node.machine.taken) for node in world.nodes.values()}) == 1)
    world.run(world.now + 200.0)
    world.judge.finish({name: node.disk for name, node in world.nodes.items()}, piles)
    return world


def verdict(plan: Plan, core: type[Core] = Core) -> str:
    """What broke; "" if all held. Other errors of the code under test count too."""
    try:
        play(plan, core)
    except Broken as error:
        return str(error)
    except (AssertionError, LookupError) as error:
        return f"core: {error}"
    return ""


def shrink(plan: Plan, breaks: Callable[[Plan], bool]) -> Plan:
    """Leave out events, halves first, as long as it still breaks."""
    size = max(1, len(plan.events) // 2)
    while True:
        at = 0
        while at < len(plan.events):
            less = msgspec.structs.replace(plan, events=plan.events[:at] + plan.events[at + size :])
            if breaks(less):
                plan = less
            else:
                at += size
        if size == 1:
            return plan
        size = max(1, size // 2)


def save(plan: Plan) -> bytes:
    """A small file."""
    return msgspec.json.format(msgspec.json.encode(plan))


def load(data: bytes) -> Plan:
    """Raises msgspec.MsgspecError, naming the field."""
    return msgspec.json.decode(data, type=Plan)
