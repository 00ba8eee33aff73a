"""Real ``serve`` processes with an endpoint list from the agreed configuration: memory, time, bytes, delays.

python -m benchmarks.configuration_serve [--endpoints N] [--seconds S] [--json]

Three control machines and two senders on loopback; all is seen from outside. Budgets of a sender for control:
64 MB, 2.6% of a core, 27 KB/s; a delay of a voter's loop near ``timing.STALL_MS`` is a fault.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.serve_fleet import EndpointList, Fleet, Serving, alone

EACH = 72.0  # seconds between two changes on an ordinary day: 1,200 a day
PROBE = 0.02  # seconds between two probes of a loop
STALL_SHOWN = 10.0  # seconds after which a process's own metric shows its longest delay
SETTLE = 3.0  # seconds of rest before a figure of memory
Figures = dict[str, float]


class Probe:
    """Asks each copy's operations endpoint every 20 ms: the longest answer is the loop's longest delay, and the
    answer says which version is in force there."""

    def __init__(self, copies: dict[str, Serving], after: int) -> None:
        self.copies, self.after = copies, after
        self.longest = dict.fromkeys(copies, 0.0)  # ms
        self.in_force: dict[str, float] = {}  # when (s) a newer version was
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._ask, args=(name,)) for name in copies]

    def __enter__(self) -> Probe:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _ask(self, name: str) -> None:
        copy = self.copies[name]
        while not self._stop.wait(PROBE):
            begun = time.monotonic()
            shown = copy.tree("/configuration")
            now = time.monotonic()
            if shown:
                self.longest[name] = max(self.longest[name], (now - begun) * 1000.0)
            if shown.get("in_force", 0) > self.after:
                self.in_force.setdefault(name, now)


def watched(fleet: Fleet, what: str, after: int, names: tuple[str, ...], act: Callable[[], float]) -> Figures:
    """Do something after which a newer version comes into force at these; all delays meanwhile, and the time."""
    term = max(int(copy.tree("/agreed").get("term", 0)) for copy in fleet.copies.values())
    with Probe(fleet.copies, after) as probe:
        begun = act()
        fleet.until(lambda: set(names) <= probe.in_force.keys(), f"{what}: in force")
        time.sleep(1.5)
    figures = {f"{what}: longest answer of {name}, ms": ms for name, ms in probe.longest.items()}
    time.sleep(STALL_SHOWN)
    for name, copy in fleet.copies.items():
        stall = copy.metric("brassweir_loop_stall_seconds") * 1000.0
        figures[f"{what}: longest delay of {name} by its metric, ms"] = stall
    for name in names:
        figures[f"{what}: in force at {name} after, ms"] = (probe.in_force[name] - begun) * 1000.0
    now = max(int(copy.tree("/agreed").get("term", 0)) for copy in fleet.copies.values())
    return figures | {f"{what}: elections meanwhile": float(now - term)}


def sent(fleet: Fleet, what: str, text: str) -> Figures:
    """An edited list, until it is in force at the senders."""
    sender, version = fleet.copies[fleet.senders[0]], int(fleet.shown(fleet.senders[0])["version"])
    before = sender.traffic()
    figures = watched(fleet, what, version, fleet.senders, lambda: fleet.publish(text))
    return figures | {f"{what}: bytes at a sender": sender.traffic() - before}


def rested(copy: Serving) -> float:
    """MB, once nothing has happened for a while."""
    time.sleep(SETTLE)
    return copy.memory()


def without(text: str, seconds: float) -> tuple[float, float]:
    """MB, and share of a core at rest, of a sender without peers and log."""
    with tempfile.TemporaryDirectory() as home:
        one = alone(Path(home), text)
        one.start()
        try:
            end = time.monotonic() + 60.0
            while not one.logged("started") and time.monotonic() < end:
                time.sleep(0.1)
            memory, cpu = rested(one), one.cpu()
            time.sleep(seconds)
            return memory, (one.cpu() - cpu) / seconds
        finally:
            one.kill()


def spent(copy: Serving, seconds: float, act: Callable[[], None]) -> tuple[float, float]:
    """Share of a core and bytes a second of a copy while something is done again and again, once a second."""
    cpu, traffic, begun = copy.cpu(), copy.traffic(), time.monotonic()
    while (past := time.monotonic() - begun) < seconds:
        act()
        time.sleep(max(0.0, 1.0 - (time.monotonic() - begun - past)))
    past = time.monotonic() - begun
    return (copy.cpu() - cpu) / past, (copy.traffic() - traffic) / past


def rates(fleet: Fleet, edited: EndpointList, seconds: float) -> Figures:
    """Processor time and bytes of a sender at rest, and at one change a second; one each 72 s derived."""
    sender, version, number = fleet.copies[fleet.senders[0]], fleet.shown(fleet.senders[0])["version"], 0
    idle, idle_bytes = spent(sender, seconds / 2.0, lambda: None)

    def change() -> None:
        nonlocal number
        number += 1
        fleet.publish(edited.change([number], float(number)))

    taken = len(sender.logged("configuration_taken"))
    busy, busy_bytes = spent(sender, seconds, change)
    time.sleep(5.0)
    changes = len({one["version"] for one in sender.logged("configuration_taken")[taken:]})
    assert fleet.shown(sender.name)["version"] > version
    pace = max(1, changes) / seconds
    one, one_bytes = (busy - idle) / pace, (busy_bytes - idle_bytes) / pace
    return {
        "at rest: % of a core": idle * 100.0,
        "at rest: bytes/s": idle_bytes,
        "one a second: changes asked for": float(number),
        "one a second: changes in force": float(changes),
        "one a second: % of a core": busy * 100.0,
        "one a second: bytes/s": busy_bytes,
        "one change: ms of CPU (derived)": one * 1000.0,
        "one change: bytes (derived)": one_bytes,
        "one each 72 s: % of a core (derived)": (idle + one / EACH) * 100.0,
        "one each 72 s: bytes/s (derived)": idle_bytes + one_bytes / EACH,
    }


def returned(fleet: Fleet, what: str, edited: EndpointList, rate: float, with_folder: bool) -> Figures:
    """A sender is away during one change, and comes back."""
    name = fleet.senders[-1]
    sender, version = fleet.copies[name], fleet.shown(name)["version"]
    sender.kill()
    fleet.publish(edited.change([1], rate))
    newest = fleet.wait_in_force(version, fleet.senders[:-1])
    if not with_folder:
        fleet.lose_folder(name)

    def start() -> float:
        begun = time.monotonic()
        sender.start()
        return begun

    figures = watched(fleet, what, newest - 1, (name,), start)
    return figures | {f"{what}: bytes": sender.traffic(), f"{what}: seconds of CPU": sender.cpu()}


def measure(count: int, seconds: float) -> Figures:
    """All of it."""
    edited = EndpointList(count)
    (empty, _), (filed, at_rest) = without("", 0.1), without(edited.text(), seconds / 2.0)
    figures: Figures = {"alone, empty list: MB": empty, "alone, list from a file: MB": filed}
    figures["alone, at rest: % of a core"] = at_rest * 100.0
    with tempfile.TemporaryDirectory() as home, Fleet(Path(home), ("c1", "c2", "c3"), ("s1", "s2")) as fleet:
        sender = fleet.copies["s1"]
        figures |= sent(fleet, "first version", edited.text())
        figures["sender: MB after the first version"] = rested(sender)
        figures |= sent(fleet, "a tenth changed", edited.change(range(count // 10), 5.0))
        figures |= rates(fleet, edited, seconds)
        figures |= returned(fleet, "back with its folder", edited, 11.0, True)
        figures |= returned(fleet, "back without its folder", edited, 12.0, False)
        figures["sender: MB in the end"] = rested(sender)
        figures["sender: MB at the most"] = sender.memory("VmHWM")
        figures["control machine: MB in the end"] = fleet.copies["c1"].memory()
    figures["control: MB over the list from a file"] = figures["sender: MB in the end"] - filed
    figures["control: MB over the empty list"] = figures["sender: MB in the end"] - empty
    return figures


def main() -> None:
    """Print a line a figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, default=70_000)
    parser.add_argument("--seconds", type=float, default=60.0, help="of one change a second")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    figures = {name: round(value, 2) for name, value in measure(given.endpoints, given.seconds).items()}
    if given.json:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        print(f"{name:58} {value:12,.2f}")


if __name__ == "__main__":
    main()
