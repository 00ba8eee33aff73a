"""A destination's cold return under fleets: highest ratio of calls to what it bears, falls, served; exact, by seed.

python -m benchmarks.cold [SEEDS] [COPIES ...]
"""

from __future__ import annotations

import sys
from statistics import fmean, median

from brassweir.lab.models.coldjudge import played
from brassweir.lab.models.coldplan import draw


def main() -> None:
    """Print a line a world and one a fleet."""
    seeds, *fleets = [int(arg) for arg in sys.argv[1:]] or [20]
    for copies in fleets or (5, 30, 200):
        rows = []
        for seed in range(seeds):
            row, plan = played(copies, seed), draw(copies, seed)
            rows.append(row)
            print(
                f"{copies:4} {seed:3} {plan.trouble:8} reports={plan.reports:d} load={plan.load:.2f} rate={plan.rate:.0f} "
                f"out={(plan.back - plan.out) / 1000:.0f}s cold={row.cold:.2f} warm={row.warm:.2f} falls={row.cold_falls}+{row.warm_falls} "
                f"told={row.told_falls} served={row.served}"
            )
        print(
            f"{copies:4} senders, {seeds} seeds: cold {max(row.cold for row in rows):.2f} (median {median(row.cold for row in rows):.2f}), "
            f"warm {max(row.warm for row in rows):.2f} (median {median(row.warm for row in rows):.2f}), falls cold "
            f"{sum(row.cold_falls for row in rows)} warm {sum(row.warm_falls for row in rows)}, of those told "
            f"{sum(row.told_falls for row in rows)}, worlds with a fall {sum(row.cold_falls + row.warm_falls > 0 for row in rows)}, "
            f"served {fmean(row.served for row in rows):.0f}"
        )


if __name__ == "__main__":
    main()
