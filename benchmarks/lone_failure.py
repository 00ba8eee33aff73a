"""What single failed calls at a healthy destination cost its messages, with the figures of site files.

python -m benchmarks.lone_failure SEEDS SITE.toml ...

Each site's senders, start capacity, cold time, tipping figures, connect timeout and rates are drawn from its
ranges. Each world is one destination with steady traffic and a burst; ``failing`` is the share of its calls
that fail, each by itself. Prints the share of messages delivered within a quarter of their deadline, the
share delivered at all, and the median and 99th percentile of their latency in ms.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from brassweir.lab.models.burstplan import BurstPlan, draw
from brassweir.lab.models.burstworld import BurstWorld

FAILING_SHARES = (0.0, 0.01, 0.03)


def site_plan(site: Mapping[str, Any], seed: int) -> BurstPlan:
    """Draw a plan from a site's ranges."""
    rng = Random(f"lone failure {seed}")
    tier, rules, family = site["tier"][0], site["rules"], site["fam"]
    kind = rng.choice(tier["kind"])
    senders = rng.randint(*map(int, site["scale"][rng.choice(["balancers", "big_balancers"])]))
    return replace(
        draw(seed),
        senders=senders,
        rate=rng.uniform(*family["rate"]) * rng.choice([0.5, 1.0, 2.0, 4.0]),
        limit_known=tier["weights"] != "none",
        reports=tier["report"]["how"] != "none",
        cold=1000.0 * rng.uniform(*kind["cold_s"]),
        start_capacity=rng.uniform(*kind["cold_from"]),
        tip_multiple=rules["fall_multiple"],
        tip_after=float(rules["fall_ms"]),
        connect_timeout=float(tier["conn"]["connect_timeout_ms"]),
        steady=rng.uniform(0.3, 0.8),
        burst_seconds=rng.uniform(*family["clump_s"]),
        deadline=5_000.0,
    )


def main() -> None:
    """Print a line for each site and share."""
    seeds = int(sys.argv[1])
    for path in map(Path, sys.argv[2:]):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        for failing in FAILING_SHARES:
            worlds = [BurstWorld(site_plan(site, seed), seed, failing).run() for seed in range(seeds)]
            submitted = sum(world.submitted for world in worlds)
            latencies = sorted(latency for world in worlds for latency in world.latencies)
            in_time = sum(
                latency <= world.plan.deadline / 4.0 for world in worlds for latency in world.latencies
            )
            print(
                f"{path.stem:24} failing {failing:.2f}: in time {in_time / submitted:.4f}, "
                f"delivered {len(latencies) / submitted:.4f}, p50 {latencies[len(latencies) // 2]:.0f}, "
                f"p99 {latencies[int(0.99 * len(latencies))]:.0f}, messages {submitted}"
            )


if __name__ == "__main__":
    main()
