"""Where the copies of a run stand: sites, regions, voters. Pure."""

from __future__ import annotations

from dataclasses import dataclass

SITES = ("site-a", "site-b", "site-c", "site-d", "site-e")
REGION_OF = {"site-a": "east", "site-b": "east", "site-c": "east", "site-d": "west", "site-e": "west"}
LEAST, MOST = 5, 9  # copies: five voters on different sites, and as many processes as a small machine bears


@dataclass(frozen=True, slots=True)
class Stand:
    """One copy."""

    name: str
    site: str
    region: str
    voter: bool


def stands(count: int) -> list[Stand]:
    """So many copies over the sites in turn; the first of each site votes. Raises ValueError."""
    if not LEAST <= count <= MOST:
        raise ValueError(f"{count} copies: {LEAST} to {MOST} are possible")
    return [
        Stand(f"s{i + 1}", site, REGION_OF[site], i < len(SITES))
        for i in range(count)
        for site in [SITES[i % len(SITES)]]
    ]
