"""No message is accepted in two regions, whatever epochs arrive late, twice or never; each guard is needed."""

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
    refusal_reason,
    sample_epoch,
    without_wait,
)


@dataclass
class World:
    """A publisher, three regions with skewed clocks, and epochs that arrive late, twice or not at all."""

    skew: dict[str, float]
    epochs: list[Epoch] = field(default_factory=list)
    views: dict[str, Ownership] = field(default_factory=dict)
    accepted_in: dict[str, set[str]] = field(default_factory=dict)
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
    for action, a, b in script:
        now += a % 9_000
        region = names[b % 3]
        view = world.views[region]
        last = world.epochs[-1]
        if action == "renew":
            world.epochs.append(planning.renewed(last, now, LEASE, ASSUMED))
        elif action == "move":
            low = a % PLACES
            world.epochs.append(
                planning.moved(last, low, min(PLACES, low + 1 + (b << 11)), region, now, LEASE, ASSUMED).epoch
            )
        elif action == "drain":
            world.epochs.append(planning.drained(last, region, now, LEASE, ASSUMED).epoch)
        elif action == "deliver":  # any epoch, old or new, to one region
            try:
                view.accept(world.epochs[max(0, len(world.epochs) - 1 - a % 4)])
            except EpochError:
                pass
        elif action == "restart":  # only its epoch is stored
            world.views[region] = Ownership(region, ASSUMED, view.epoch)
        elif action in ("hand", "again"):
            ident = f"m{b % 40}"
            if action == "hand" and ident not in world.born:
                world.born[ident] = now
            created = world.born.get(ident)
            if created is None or now > created + ASSUMED.answer_window_ms:
                continue  # its client has stopped retrying
            # A client's date is within the clock error; some clients send none.
            born = created + (b % 400 - 200) if dated else None
            if view.refusal(Effect.UNSAFE, "c", ident, now + world.skew[region], born) is None:
                world.accepted_in.setdefault(ident, set()).add(region)
    return world


skew = st.floats(-200.0, 200.0)


@given(steps, st.tuples(skew, skew, skew), st.booleans())
@settings(max_examples=500, deadline=None)
def test_no_message_is_accepted_in_two_regions(
    script: list[tuple[str, int, int]], skews: tuple[float, float, float], dated: bool
) -> None:
    world = play(script, skews, dated)
    assert all(len(regions) == 1 for regions in world.accepted_in.values()), {
        name: regions for name, regions in world.accepted_in.items() if len(regions) > 1
    }


def accepted_twice(move: planning.Move) -> bool:
    """East does not know of the move, west does: whether a client that retries at both is accepted by both."""
    east, west = Ownership("east", ASSUMED, sample_epoch()), Ownership("west", ASSUMED, move.epoch)
    for born in (10_000.0, 28_000.0, move.epoch.grants[0].begins + 500.0):
        times = [born + step * 500.0 for step in range(int(ASSUMED.answer_window_ms / 500.0))]
        if any(refusal_reason(east, EAST, at, born) is None for at in times) and any(
            refusal_reason(west, EAST, at, born) is None for at in times
        ):
            return True
    return False


@pytest.mark.parametrize("fault", ["", "no lease", "no birth", "at once"])
def test_each_guard_is_needed(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    planner: Mover = planning.moved
    if fault == "no lease":
        original = Ownership.refusal

        def refusal(self: Ownership, *given: object) -> ownership.OwnershipRefusal | None:
            refused = original(self, *given)  # type: ignore[arg-type]
            return None if refused is not None and refused.reason is Reason.LAPSED else refused

        monkeypatch.setattr(Ownership, "refusal", refusal)
    elif fault == "no birth":
        monkeypatch.setattr(Ownership, "_previous_grant", lambda *_: None)
    elif fault == "at once":
        planner = without_wait(planning.moved)
    assert accepted_twice(planner(sample_epoch(), 0, PLACES // 2, "west", 5_000.0, LEASE, ASSUMED)) is bool(
        fault
    )
