"""No message is taken in two regions, whatever is published late, twice or never, and with each guard left out."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.interface import Effect
from brassweir.regions import ownership, planning
from brassweir.regions.epochs import PLACES, Epoch, EpochError
from brassweir.regions.ownership import Ownership, Reason
from tests.regions.samples import (
    ASSUMED,
    EAST,
    LEASE,
    REGIONS,
    Mover,
    at_once,
    start,
    told,
)


@dataclass
class World:
    """Head office, three regions with skewed clocks, and files that come late, twice, or not at all."""

    skew: dict[str, float]
    epochs: list[Epoch] = field(default_factory=list)
    views: dict[str, Ownership] = field(default_factory=dict)
    took: dict[str, set[str]] = field(default_factory=dict)
    born: dict[str, float] = field(default_factory=dict)


steps = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "renew",
                "move",
                "drain",
                "deliver",
                "deliver",
                "hand",
                "hand",
                "hand",
                "again",
                "restart",
                "wait",
            ]
        ),
        st.integers(0, 1 << 20),
        st.integers(0, 1 << 20),
    ),
    max_size=80,
)


def play(script: list[tuple[str, int, int]], skews: tuple[float, float, float], dated: bool) -> World:
    now = 0.0
    world = World(dict(zip(REGIONS, skews, strict=True)), [planning.first_epoch(REGIONS, 0.0, LEASE)])
    world.views = {name: Ownership(name, ASSUMED, world.epochs[0]) for name in REGIONS}
    names = list(REGIONS)
    for what, a, b in script:
        now += a % 9_000
        region = names[b % 3]
        view = world.views[region]
        last = world.epochs[-1]
        if what == "renew":
            world.epochs.append(planning.renewed(last, now, LEASE, ASSUMED))
        elif what == "move":
            low = a % PLACES
            world.epochs.append(
                planning.moved(last, low, min(PLACES, low + 1 + (b << 11)), region, now, LEASE, ASSUMED).epoch
            )
        elif what == "drain":
            world.epochs.append(planning.drained(last, region, now, LEASE, ASSUMED).epoch)
        elif what == "deliver":  # any publication, old or new, to one region
            try:
                view.accept(world.epochs[max(0, len(world.epochs) - 1 - a % 4)])
            except EpochError:
                pass
        elif what == "restart":  # it remembers its epoch, and nothing else
            world.views[region] = Ownership(region, ASSUMED, view.epoch)
        elif what in ("hand", "again"):
            ident = f"m{b % 40}"
            if what == "hand" and ident not in world.born:
                world.born[ident] = now
            made = world.born.get(ident)
            if made is None or now > made + ASSUMED.answer_window_ms:
                continue  # clients ask on for that long and no longer
            # A client's date is as good as any clock; some clients have none.
            born = made + (b % 400 - 200) if dated else None
            if view.refusal(Effect.UNSAFE, "c", ident, now + world.skew[region], born) is None:
                world.took.setdefault(ident, set()).add(region)
    return world


skew = st.floats(-200.0, 200.0)


@given(steps, st.tuples(skew, skew, skew), st.booleans())
@settings(max_examples=500, deadline=None)
def test_no_message_is_taken_in_two_regions(
    script: list[tuple[str, int, int]], skews: tuple[float, float, float], dated: bool
) -> None:
    world = play(script, skews, dated)
    assert all(len(regions) == 1 for regions in world.took.values()), {
        one: found for one, found in world.took.items() if len(found) > 1
    }


def taken_twice(move: planning.Move) -> bool:
    """East has not heard of the move, west has; a client asks both for messages born early and late, at all times."""
    east, west = Ownership("east", ASSUMED, start()), Ownership("west", ASSUMED, move.epoch)
    for born in (10_000.0, 28_000.0, move.epoch.grants[0].begins + 500.0):
        times = [born + step * 500.0 for step in range(int(ASSUMED.answer_window_ms / 500.0))]
        if any(told(east, EAST, at, born) is None for at in times) and any(
            told(west, EAST, at, born) is None for at in times
        ):
            return True
    return False


@pytest.mark.parametrize("fault", ["", "no lease", "no birth", "at once"])
def test_each_guard_left_out_is_seen(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    make: Mover = planning.moved
    if fault == "no lease":
        right = Ownership.refusal

        def may(self: Ownership, *given: object) -> ownership.OwnershipRefusal | None:
            found = right(self, *given)  # type: ignore[arg-type]
            return None if found is not None and found.reason is Reason.LAPSED else found

        monkeypatch.setattr(Ownership, "refusal", may)
    elif fault == "no birth":
        monkeypatch.setattr(Ownership, "_previous_grant", lambda *_: None)
    elif fault == "at once":
        make = at_once(planning.moved)
    assert taken_twice(make(start(), 0, PLACES // 2, "west", 5_000.0, LEASE, ASSUMED)) is bool(fault)
