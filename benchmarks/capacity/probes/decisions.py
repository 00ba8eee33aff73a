"""The decision module (``brassweir.control.Sender``): memory and processor time by the number of destinations."""

from __future__ import annotations

import statistics
from functools import partial
from random import Random

from benchmarks.capacity.measurement import TARGET, Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.processor import slowness
from benchmarks.capacity.probes.resources import allocated, cpu_of
from benchmarks.capacity.probes.simulated import Fleet, endpoints, settings
from benchmarks.capacity.target import CONSTANTS, CPU, MEMORY
from brassweir import interface as api
from brassweir.control import Sender
from brassweir.destinations.list_updates import MAX_ENTRIES_PER_UPDATE, ListUpdateQueue

PAIR_RATE = (
    CONSTANTS["events_per_second"] / TARGET.senders / TARGET.destinations
)  # of one sender to one destination
ROUNDS, REPEATS = 3, 5  # of which the quickest counts: all else that ran on the machine only adds
WARM_SECONDS = 15.0  # until destinations fall asleep as often as they wake
MOST_SECONDS = 5.0  # of simulated time in each repeat at the target's destinations
ONE, MANY = 1, 7_000  # entries of a difference
MECHANISM = "decision module"


def _figure(
    name: str,
    unit: str,
    what: str,
    terms: tuple[str, ...] = ("1", "D"),
    budget: float | None = None,
    kind: Kind = Kind.MEASURED,
    axes: tuple[Axis, ...] = (Axis.DESTINATIONS,),
) -> Figure:
    return Figure(name, unit, Role.SENDER, what, axes, terms, kind, budget, mechanism=MECHANISM)


SERVING = (Axis.DESTINATIONS, Axis.DOWN)
IDLE_MEMORY = _figure(
    "module_memory", "MB", "idle destinations, without the list's own entries", ("1", "D", "table D"), MEMORY
)
WHOLE = _figure("module_whole_list", "ms", "a whole list told for the first time, in one turn")
LESS_ONE = _figure("module_list_less_one", "ms", "a whole list told again, with one entry missing")
DIFFERENCE_ONE = _figure("module_difference_one", "ms", "a difference of 1 entry")
DIFFERENCE_MANY = _figure("module_difference_many", "ms", f"a difference of {MANY:,} entries in one turn")
LONGEST_STEP = _figure(
    "module_longest_step", "ms", f"the longest of the turns in which a list is told, {MAX_ENTRIES_PER_UPDATE} entries each",
    ("1", "table D"),
)  # fmt: skip
TURNS = _figure(
    "module_serving", "cores", "all turns, at the target's rate of messages to each destination",
    ("1", "D", "D*P"), None, Kind.SIMULATED, SERVING,
)  # fmt: skip
SWEEP = _figure(
    "module_sweep", "cores", "the decision module's sweep of each second, part of all its turns", ("1", "D", "D*P"), CPU,
    Kind.SIMULATED, SERVING,
)  # fmt: skip
FIGURES: tuple[Figure, ...] = (
    IDLE_MEMORY,
    WHOLE,
    LESS_ONE,
    DIFFERENCE_ONE,
    DIFFERENCE_MANY,
    LONGEST_STEP,
    TURNS,
    SWEEP,
)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """What serving costs, and where no destination is down also what idle destinations and lists cost."""
    turns, sweep = serving_cores(point.destinations, point.down, min(seconds, MOST_SECONDS))
    method = (
        f"one module under simulated time, CPU time beside a fixed piece of work, median of {REPEATS} spans"
    )
    found = [
        Measurement(TURNS.name, point, turns, method),
        Measurement(SWEEP.name, point, sweep, method),
    ]
    return found if point.down else [*found, *_lists(point)]


def _lists(point: Point) -> list[Measurement]:
    rounds = [_list_times(point.destinations) for _ in range(ROUNDS)]
    method = f"one module, CPU time, least of {ROUNDS} rounds of {REPEATS} spans"
    memory = idle_bytes(point.destinations) / 1e6
    return [
        Measurement(IDLE_MEMORY.name, point, memory, "tracemalloc"),
        *(
            Measurement(figure.name, point, min(values[figure] for values in rounds), method)
            for figure in rounds[0]
        ),
    ]


def _list_times(destinations: int) -> dict[Figure, float]:
    """One round of all that takes processor time."""
    first, again = list_times(destinations)
    found = {WHOLE: first, LESS_ONE: again}
    found[DIFFERENCE_ONE] = difference_time(destinations, ONE)
    found[LONGEST_STEP] = longest_step(destinations)
    if destinations >= MANY:
        found[DIFFERENCE_MANY] = difference_time(destinations, MANY)
    return found


def _told(infos: tuple[api.EndpointInfo, ...]) -> Sender:
    sender = Sender(settings(TARGET.senders), 1, 0.0)
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, infos)])
    return sender


def idle_bytes(destinations: int) -> int:
    """Bytes a module holds for its destinations, the list's own entries not counted: the intake has them too."""
    infos = endpoints(destinations)
    return allocated(partial(_told, infos))[1]


def list_times(destinations: int) -> tuple[float, float]:
    """CPU ms to take a whole list for the first time, and to take it again with one entry missing."""
    infos = endpoints(destinations)
    shorter = api.ListUpdate(api.ListKind.FULL, infos[:-1])
    first = min(cpu_of(partial(_told, infos)) for _ in range(REPEATS))
    again = min(cpu_of(partial(_told(infos).handle, 1.0, [shorter])) for _ in range(REPEATS))
    return first, again


def difference_time(destinations: int, changed: int) -> float:
    """CPU ms to take a difference of so many entries that are told to drain."""
    infos = endpoints(destinations)
    chosen = Random(1).sample(infos, changed)
    drained = tuple(
        api.EndpointInfo(one.name, one.destination, one.kind, state=api.EntryState.DRAINING) for one in chosen
    )
    news = api.ListUpdate(api.ListKind.DELTA, drained)
    return min(cpu_of(partial(_told(infos).handle, 1.0, [news])) for _ in range(REPEATS))


def longest_step(destinations: int) -> float:
    """CPU ms of the longest turn in which a list is told by the intake's steps, to a module that knows none."""
    infos = endpoints(destinations)
    return min(_longest_step(infos) for _ in range(REPEATS))


def _longest_step(infos: tuple[api.EndpointInfo, ...]) -> float:
    intake, sender = ListUpdateQueue(), Sender(settings(TARGET.senders), 1, 0.0)
    intake.replace_all(infos)
    longest = 0.0
    while (news := intake.next_update()) is not None:
        longest = max(longest, cpu_of(partial(sender.handle, 0.0, [news]), collect=False))
    return longest


def serving_cores(destinations: int, down: float, seconds: float) -> tuple[float, float]:
    """Cores for all turns, and for the sweeps in them; spans have as many messages at each number of destinations."""
    turns: list[float] = []
    sweeps: list[float] = []
    fleet = Fleet(1, destinations, down, PAIR_RATE * destinations, 1)
    sender = fleet.senders[0]
    span = seconds * TARGET.destinations / destinations
    fleet.run(WARM_SECONDS)
    for _ in range(REPEATS):
        before, slow = (sender.turns_ms, sender.sweeps_ms), slowness()
        fleet.run(span)
        scale = span * 1000.0 * (slow + slowness()) / 2.0
        turns.append((sender.turns_ms - before[0]) / scale)
        sweeps.append((sender.sweeps_ms - before[1]) / scale)
    return statistics.median(turns), statistics.median(sweeps)
