"""Loss of a site, plan beside no plan, in the fluid site world: worth of the best possible, peaks, times; one run.

python -m benchmarks.sites [SEEDS] [COPIES]     # seeds a deployment, copies a site
"""

from __future__ import annotations

import json
import sys
from random import Random
from statistics import fmean

from brassweir.lab.models import sitejudges as judges
from brassweir.lab.models.siteplain import Plain
from brassweir.lab.models.sitetypes import Fault, World
from brassweir.lab.models.siteworld import SiteWorld
from brassweir.sites.view import SitesView

SECONDS, DOUBT = 60, 4_000.0


def deployment(number: int, copies: int) -> World:
    """One of three: room to spare, the daily peak with takers at 90%, sites that differ."""
    rng = Random(f"deployment {number}")
    capacity = {site: rng.choice([600.0, 1000.0, 1600.0]) if number == 2 else 1000.0 for site in "abc"}
    low, high = ((0.5, 0.7), (0.9, 0.9), (0.4, 0.8))[number]
    return World(
        capacity,
        {site: rng.uniform(low, high) for site in capacity},
        copies=copies,
        cold=rng.choice([6_000.0, 10_000.0, 15_000.0]),
        start_capacity=rng.choice([0.2, 0.25, 0.4]),
    )


def day(seed: int) -> tuple[Fault, ...]:
    """A site is lost and comes back; and one further thing in turn."""
    rng = Random(seed)
    site, second = rng.sample("abc", 2)
    start, end = 6_000.0, 6_000.0 + rng.uniform(6_000.0, 14_000.0)
    more = (
        (),
        (Fault("half", start + 5_000.0, 60_000.0, second),),
        (Fault("lost", end + 5_000.0, end + 11_000.0, site),),
        (Fault("late", 0.0, 60_000.0, "", 0.5), Fault("restart", end + 2_000.0, end + 3_000.0, "", 0.5)),
        (Fault("log", 3_000.0, 60_000.0),),
        (Fault("answers", 30_000.0, 40_000.0, second, 0.7),),
    )[seed % 6]
    return (Fault("lost", start, end, site), *more)


def main() -> None:
    """Print JSON."""
    seeds, copies = (
        (int(arg) for arg in [*sys.argv[1:], "6", "4"][:2]) if len(sys.argv) != 2 else (int(sys.argv[1]), 4)
    )
    for number in range(3):
        rows: dict[str, list[dict[str, float]]] = {"plan": [], "plain": []}
        for seed in range(seeds):
            world, faults = deployment(number, copies), day(seed)
            for name, make in (("plan", SitesView), ("plain", Plain)):
                tape = SiteWorld(world, faults, seed, make).run(SECONDS)
                # The best for either is that of the day with the plan: without it more falls, which no fault asked for.
                rows[name].append(
                    {
                        "worth": judges.worth(tape),
                        "best": judges.best(tape, world),
                        "taker": judges.peak_at_takers(tape, faults),
                        "cold": judges.peak_returning(tape, DOUBT),
                        "spilled": judges.most_spilled(tape, world),
                        "verdict": judges.verdict_after(tape, faults[0]) or 0.0,
                        "whole": judges.whole_after(tape, faults[0]) or 60_000.0,
                        "disorder": float(len(judges.refused_wrongly(tape))),
                    }
                )
        best = fmean(row["best"] for row in rows["plan"])
        worths = {name: fmean(row["worth"] for row in found) / best for name, found in rows.items()}
        print(
            json.dumps(
                {
                    "deployment": number,
                    "seeds": seeds,
                    "copies": copies * 3,
                    "of the best": {name: round(value, 4) for name, value in worths.items()},
                    "gap closed": round((worths["plan"] - worths["plain"]) / (1.0 - worths["plain"]), 3),
                    **{
                        name: {
                            **{
                                key: round(max(row[key] for row in found), 3)
                                for key in ("taker", "cold", "spilled", "disorder")
                            },
                            **{key: round(fmean(row[key] for row in found)) for key in ("verdict", "whole")},
                        }
                        for name, found in rows.items()
                    },
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
