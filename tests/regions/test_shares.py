"""Shares of a limit add up to at most 1, whatever epochs each region knows, and a returning region ramps up."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.regions import planning, shares
from brassweir.regions.epochs import Epoch, EpochError
from brassweir.regions.ownership import Assumptions, Ownership
from brassweir.regions.shares import OWNED, RAMP_MS, RAMP_START, LimitShare, owned, part

ASSUMED = Assumptions(200.0, 8_000.0, 60_000.0)
LEASE = 30_000.0
REGIONS = {"east": "e", "west": "w", "south": "s"}


def test_shares_follow_ownership_and_leave_some_for_safe_messages() -> None:
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    assert part(epoch, "east", 1_000.0, ASSUMED) == 0.5 == part(epoch, "west", 1_000.0, ASSUMED)
    assert abs(part(epoch, "east", LEASE, ASSUMED) - (1.0 - OWNED) / 2) < 1e-9, (
        "without a lease only the part for safe messages is left"
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
def test_the_sum_of_shares_is_at_most_the_whole(
    script: list[tuple[str, int, int]], skews: tuple[float, float, float]
) -> None:
    now, names = 0.0, list(REGIONS)
    epochs: list[Epoch] = [planning.first_epoch(REGIONS, 0.0, LEASE)]
    views = {name: Ownership(name, ASSUMED, epochs[0]) for name in names}
    for action, a, b in script:
        now += a % 9_000
        last, region = epochs[-1], names[b % 3]
        if action == "renew":
            epochs.append(planning.renewed(last, now, LEASE, ASSUMED))
        elif action == "move":
            low = a % (1 << 32)
            epochs.append(
                planning.moved(
                    last, low, min(1 << 32, low + 1 + (b << 11)), region, now, LEASE, ASSUMED
                ).epoch
            )
        elif action == "drain":
            epochs.append(planning.drained(last, region, now, LEASE, ASSUMED).epoch)
        elif action == "deliver":
            try:
                views[region].accept(epochs[max(0, len(epochs) - 1 - a % 4)])
            except EpochError:
                pass
        total = sum(
            part(views[name].epoch, name, now + off, ASSUMED) for name, off in zip(names, skews, strict=True)
        )
        assert total <= 1.0 + 1e-9


def test_the_clock_error_is_needed_for_that() -> None:
    """With a clock error of 0 in the computation, two regions count one place at the same time."""
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    loose = Assumptions(0.0, 0.0, 0.0)
    move = planning.renewed(
        planning.moved(epoch, 0, 1 << 31, "west", 1_000.0, LEASE, loose).epoch, 2_000.0, 2 * LEASE, loose
    )
    at = LEASE  # east's clock is 150 ms behind, west's 150 ms ahead
    assert owned(epoch, "east", at - 150.0, loose) + owned(move, "west", at + 150.0, loose) > 1.0
    assert owned(epoch, "east", at - 150.0, ASSUMED) + owned(move, "west", at + 150.0, ASSUMED) <= 1.0


def test_a_returning_region_ramps_up_and_falls_at_once() -> None:
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    share = LimitShare("east", ASSUMED)
    first = share.now(epoch, 1_000.0, 0.0)
    assert first == RAMP_START * 0.5
    assert share.now(epoch, 1_000.0, RAMP_MS / 2) == (RAMP_START * 0.5 + 0.5) / 2
    assert share.now(epoch, 1_000.0, RAMP_MS) == 0.5
    lapsed = share.now(epoch, LEASE, RAMP_MS + 1.0)
    assert abs(lapsed - (1.0 - OWNED) / 2) < 1e-9, "a lost part is given up at once"
    renewed = planning.renewed(epoch, LEASE + 5_000.0, LEASE, ASSUMED)
    back = share.now(renewed, LEASE + 6_000.0, 2 * RAMP_MS)
    assert lapsed <= back < 0.3, "no burst on return"
    assert share.now(renewed, LEASE + 6_000.0, 3 * RAMP_MS) == 0.5
    assert share.now(renewed, LEASE + 6_000.0, 3 * RAMP_MS, trusted=False) == 0.0


def test_only_changes_that_matter_are_reported() -> None:
    epoch = planning.first_epoch({"east": "e", "west": "w"}, 0.0, LEASE)
    share = LimitShare("east", ASSUMED)
    reported_at = [
        at for at in range(0, int(RAMP_MS) + 3000, 250) if share.changed(epoch, 1_000.0, float(at))
    ]
    assert (
        reported_at[0] == 0 and RAMP_MS in reported_at and len(reported_at) <= 1 + 0.375 / shares.MIN_RISE + 2
    )
    assert share.reported == 0.5 and not share.changed(epoch, 1_000.0, RAMP_MS * 2)
    assert share.changed(epoch, LEASE, RAMP_MS * 2 + 1.0) and share.reported < 0.2
