"""The simulated fleet of the configuration proof: its copies, where they stand, and the operator's list."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from brassweir.configstream.entries import Entry

REGIONS = ("ra", "rb", "rc")
ZONES = {"ra": ("za1", "za2", "za3", "za4"), "rb": ("zb1", "zb2", "zb3"), "rc": ("zc1", "zc2", "zc3")}
CONTROL_ZONES = ("za1", "zb1", "zc1", "za2")  # the first three vote, one in each region
VOTERS = 3
COPIES = 490
ENTRIES = 70_000
DRAINING = "draining"

# One-way delays in ms
IN_ZONE = 0.3
IN_REGION = 1.0
BETWEEN_REGIONS = 40.0


@dataclass(frozen=True)
class Place:
    """Where a copy stands."""

    zone: str
    region: str


@dataclass(frozen=True)
class Fleet:
    """Names and places of all copies: four control machines, and senders evenly over the zones."""

    copies: int = COPIES
    places: dict[str, Place] = field(init=False)

    def __post_init__(self) -> None:
        region_of = {zone: region for region, zones in ZONES.items() for zone in zones}
        places = {f"c{i + 1}": Place(zone, region_of[zone]) for i, zone in enumerate(CONTROL_ZONES)}
        room = {zone: self.copies // len(region_of) - (zone in CONTROL_ZONES) for zone in region_of}
        zones = [zone for zone in region_of for _ in range(room[zone])]
        zones += list(region_of)[: self.copies - len(CONTROL_ZONES) - len(zones)]
        for i, zone in enumerate(zones):
            places[f"s{i + 1:03d}"] = Place(zone, region_of[zone])
        object.__setattr__(self, "places", places)

    @property
    def names(self) -> tuple[str, ...]:
        """All copies."""
        return tuple(self.places)

    @property
    def controls(self) -> tuple[str, ...]:
        """The control machines."""
        return self.names[: len(CONTROL_ZONES)]

    @property
    def voters(self) -> tuple[str, ...]:
        """Those control machines that vote."""
        return self.names[:VOTERS]

    @property
    def senders(self) -> tuple[str, ...]:
        """All but the control machines."""
        return self.names[len(CONTROL_ZONES) :]

    def in_zone(self, zone: str) -> tuple[str, ...]:
        """Copies of a zone."""
        return tuple(name for name, place in self.places.items() if place.zone == zone)

    def in_region(self, region: str) -> tuple[str, ...]:
        """Copies of a region."""
        return tuple(name for name, place in self.places.items() if place.region == region)

    def delay(self, sender: str, receiver: str) -> float:
        """Ms that a message takes one way between two copies."""
        here, there = self.places[sender], self.places[receiver]
        if here.zone == there.zone:
            return IN_ZONE
        return IN_REGION if here.region == there.region else BETWEEN_REGIONS


def endpoint(i: int, destination: int) -> Entry:
    """An endpoint with an address of its own: its random part is what does not compress."""
    token = hashlib.sha256(f"endpoint {i}".encode()).hexdigest()
    url = f"https://{token[:8]}.example.net/as2/{token[8:20]}"
    return Entry(f"e{i:05d}", url, f"d{destination:05d}", zone=f"z{i % 10}", rate=1.6)


def first_list(entries: int = ENTRIES) -> dict[str, Entry]:
    """The operator's list at the beginning: one endpoint for each destination, by the entry's name."""
    made = (endpoint(i, i) for i in range(entries))
    return {entry.name: entry for entry in made}
