"""Endpoint configuration reaching a simulated fleet: cases with faults, judged, beside the baseline of whole lists.

``python -m benchmarks.configuration [--case NAME]... [--copies N] [--entries N] [--seed N] [--json]``; exits with
1 if a property is broken. Times are simulated ms, bytes are those of real messages, CPU is this machine's.
"""

from __future__ import annotations

import argparse
import resource
import sys
import time
from collections.abc import Sequence
from random import Random

import msgspec

from brassweir.lab.models import configbaseline
from brassweir.lab.models.configbaseline import Way
from brassweir.lab.models.configfleet import COPIES, ENTRIES
from brassweir.lab.models.configjudge import List
from brassweir.lab.models.configplan import CASES, CHANGES, LARGE, Setting, next_list, play, setting
from brassweir.lab.models.configreport import CaseReport, Spread, report
from brassweir.lab.models.logjudge import Broken

AIM, CALM_AIM = 11_000.0, 2_000.0  # ms from accepted to the last reachable copy


class Played(msgspec.Struct):
    """A case, or why it broke; and what playing it took."""

    case: str
    report: CaseReport | None
    broken: str
    seconds: float
    memory_mb: float


class Run(msgspec.Struct):
    """All that was played, and the baseline over the same changes."""

    cases: list[Played]
    baseline: list[Way]
    baseline_small: list[Way]  # without the large change


def played(name: str, given: Setting, seed: int) -> Played:
    """Play one."""
    begun = time.perf_counter()
    made, broken = None, ""
    try:
        made = report(name, play(CASES[name], given, seed), seed)
    except Broken as error:
        broken = str(error)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024.0
    return Played(name, made, broken, time.perf_counter() - begun, memory)


def baseline(given: Setting, seed: int, numbers: Sequence[int]) -> list[Way]:
    """The same changes, by whole lists and by differences."""
    rng, edited, lists = Random(f"changes {seed}"), given.entries, list[List]()
    for number in numbers:
        edited = next_list(edited, number, rng)
        lists.append(edited)
    return configbaseline.compare(given.founding, lists)


def spread_line(what: str, one: Spread) -> str:
    """In words."""
    return f"  {what}: p50 {one.p50:.0f}, p99 {one.p99:.0f}, most {one.most:.0f} ms ({one.count})"


def print_case(one: Played) -> None:
    """A case in a few lines."""
    made = one.report
    print(f"{one.case}: played in {one.seconds:.0f} s, {one.memory_mb:.0f} MB so far")
    if made is None:
        print(f"  BROKEN: {one.broken}")
        return
    aim = CALM_AIM if one.case == "calm" else AIM
    print(
        spread_line("accepted to told", made.told) + ("" if made.told.most < aim else f"  OVER {aim:.0f} ms")
    )
    print(spread_line("agreed at the first copy to told", made.agreed_told))
    if made.back.count:
        print(spread_line("return to told", made.back))
    for what, values in (
        ("commands", [change.commands for change in made.changes]),
        ("SIGHUP to accepted, ms", [round(change.accepted) for change in made.changes]),
        ("accepted to the last copy, ms", [round(change.last_copy) for change in made.changes]),
        ("accepted to in force everywhere, ms", [round(change.everywhere) for change in made.changes]),
    ):
        print(f"  {what}: {' '.join(map(str, values))}")
    for what, rate in (
        ("sent, B/s", made.sent),
        ("received, B/s", made.received),
        ("steps/s", made.steps),
        ("CPU, ms/s", made.cpu),
    ):
        print(f"  {what}: median {rate.median:.4g}, most {rate.most:.4g}, control {rate.control:.4g}")
    print(f"  longest that a copy out of contact was counted: {made.longest_counted:.0f} ms")


def print_way(one: Way) -> None:
    """A line."""
    print(f"{one.name}: {one.bytes:.0f} B and {one.cpu:.1f} ms CPU a change and sender,", end=" ")
    print(f"at 1,200 a day {one.bytes_s:.0f} B/s and {one.core:.2%} of a core")


def main() -> None:
    """Play the cases that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", action="append", choices=sorted(CASES))
    parser.add_argument("--copies", type=int, default=COPIES)
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    given = setting(options.copies, options.entries)
    run = Run([], [], [])
    for name in options.case or CASES:
        run.cases.append(played(name, given, options.seed))
        if not options.json:
            print_case(run.cases[-1])
            sys.stdout.flush()
    run.baseline = baseline(given, options.seed, range(CHANGES))
    run.baseline_small = baseline(given, options.seed, [one for one in range(CHANGES) if one != LARGE])
    if options.json:
        print(msgspec.json.format(msgspec.json.encode(run), indent=1).decode())
    else:
        for one in run.baseline:
            print_way(one)
        print("without the large change")
        for one in run.baseline_small:
            print_way(one)
    sys.exit(1 if any(one.broken for one in run.cases) else 0)


if __name__ == "__main__":
    main()
