"""Parts of a limit add up to no more than the whole, whatever each region has heard, and a returning one ramps."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.regions import planning, shares
from brassweir.regions.epochs import Epoch, EpochError
from brassweir.regions.ownership import Assumptions, Ownership
from brassweir.regions.shares import OWNED, RAMP, START, LimitShare, owned, part

ASSUMED = Assumptions(200.0, 8_000.0, 60_000.0)
LEASE = 30_000.0
REGIONS = {"east": "e", "west": "w", "south": "s"}


def test_parts_follow_ownership_and_leave_some_for_safe_messages() -> None:
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    assert part(epoch, "east", 1_000.0, ASSUMED) == 0.5 == part(epoch, "west", 1_000.0, ASSUMED)
    assert abs(part(epoch, "east", LEASE, ASSUMED) - (1.0 - OWNED) / 2) < 1e-9, (
        "without a lease only what safe ones need"
    )
    assert part(None, "east", 0.0, ASSUMED) == 0.0 == part(epoch, "north", 1_000.0, ASSUMED)
    moved = planning.drained(epoch, "east", 1_000.0, LEASE, ASSUMED).epoch
    late = max(one.begins for one in moved.grants) + 1_000.0
    moved = planning.renewed(moved, late, LEASE, ASSUMED)
    assert abs(part(moved, "west", late, ASSUMED) - (OWNED + (1.0 - OWNED) / 2)) < 1e-9


skew = st.floats(-200.0, 200.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["renew", "move", "drain", "deliver", "deliver", "wait"]),
            st.integers(0, 1 << 20),
            st.integers(0, 1 << 20),
        ),
        max_size=60,
    ),
    st.tuples(skew, skew, skew),
)
@settings(max_examples=400, deadline=None)
def test_the_sum_never_goes_over_the_whole(
    script: list[tuple[str, int, int]], skews: tuple[float, float, float]
) -> None:
    now, names = 0.0, list(REGIONS)
    epochs: list[Epoch] = [planning.first_epoch(REGIONS, 0.0, LEASE)]
    views = {name: Ownership(name, ASSUMED, epochs[0]) for name in names}
    for what, a, b in script:
        now += a % 9_000
        last, region = epochs[-1], names[b % 3]
        if what == "renew":
            epochs.append(planning.renewed(last, now, LEASE, ASSUMED))
        elif what == "move":
            low = a % (1 << 32)
            epochs.append(
                planning.moved(
                    last, low, min(1 << 32, low + 1 + (b << 11)), region, now, LEASE, ASSUMED
                ).epoch
            )
        elif what == "drain":
            epochs.append(planning.drained(last, region, now, LEASE, ASSUMED).epoch)
        elif what == "deliver":
            try:
                views[region].accept(epochs[max(0, len(epochs) - 1 - a % 4)])
            except EpochError:
                pass
        total = sum(
            part(views[name].epoch, name, now + off, ASSUMED) for name, off in zip(names, skews, strict=True)
        )
        assert total <= 1.0 + 1e-9


def test_without_the_clocks_errors_it_would() -> None:
    """The sum is put to the test: with errors left out of the grants' ends, two hold a place at once."""
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    loose = Assumptions(0.0, 0.0, 0.0)
    move = planning.renewed(
        planning.moved(epoch, 0, 1 << 31, "west", 1_000.0, LEASE, loose).epoch, 2_000.0, 2 * LEASE, loose
    )
    at = LEASE  # east's clock is 150 ms behind, west's 150 ms ahead
    assert owned(epoch, "east", at - 150.0, loose) + owned(move, "west", at + 150.0, loose) > 1.0
    assert owned(epoch, "east", at - 150.0, ASSUMED) + owned(move, "west", at + 150.0, ASSUMED) <= 1.0


def test_a_region_that_comes_back_ramps_and_falls_at_once() -> None:
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    mine = LimitShare("east", ASSUMED)
    first = mine.now(epoch, 1_000.0, 0.0)
    assert first == START * 0.5
    assert mine.now(epoch, 1_000.0, RAMP / 2) == (START * 0.5 + 0.5) / 2
    assert mine.now(epoch, 1_000.0, RAMP) == 0.5
    lapsed = mine.now(epoch, LEASE, RAMP + 1.0)
    assert abs(lapsed - (1.0 - OWNED) / 2) < 1e-9, "what is lost is not used any more"
    renewed = planning.renewed(epoch, LEASE + 5_000.0, LEASE, ASSUMED)
    back = mine.now(renewed, LEASE + 6_000.0, 2 * RAMP)
    assert lapsed <= back < 0.3, "a burst on return is held back"
    assert mine.now(renewed, LEASE + 6_000.0, 3 * RAMP) == 0.5
    assert mine.now(renewed, LEASE + 6_000.0, 3 * RAMP, trusted=False) == 0.0


def test_only_changes_that_matter_are_told() -> None:
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    mine = LimitShare("east", ASSUMED)
    told = [at for at in range(0, int(RAMP) + 3000, 250) if mine.changed(epoch, 1_000.0, float(at))]
    assert told[0] == 0 and RAMP in told and len(told) <= 1 + 0.375 / shares.STEP + 2
    assert mine.reported == 0.5 and not mine.changed(epoch, 1_000.0, RAMP * 2)
    assert mine.changed(epoch, LEASE, RAMP * 2 + 1.0) and mine.reported < 0.2
