"""The order in which demand is rejected, and what becomes of queued messages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brassweir.interface import Effect, MessageClass
from brassweir.sites.admission import Held, admitted_rates, fill, held, order
from brassweir.sites.facts import Demand

PINNED = Demand("kept", "p", "a", 10.0, 9.0, window=1000.0, pinned=True)
DEAR, CHEAP = Demand("pay", "x", "a", 10.0, 3.0), Demand("news", "x", "a", 30.0, 1.0)
HOG, BULKY = Demand("pay", "hog", "a", 100.0, 3.0), Demand("pay", "y", "a", 10.0, 3.0, calls_per_message=4.0)


def test_the_order_of_rejection() -> None:
    found = order([DEAR, CHEAP, PINNED, HOG, BULKY], 5000.0)
    assert found == [[PINNED], [BULKY], [CHEAP], [DEAR, HOG]], (
        "worth per call: a message that needs four calls is worth less"
    )
    assert order([PINNED, CHEAP], 500.0) == [[CHEAP], [PINNED]], (
        "it can be delivered in time at its own site, so its worth decides"
    )


def test_demand_of_equal_worth_shares_fairly() -> None:
    assert admitted_rates([CHEAP, DEAR, HOG], 0.0, 30.0, 5000.0) == [0.0, 10.0, 20.0]
    assert admitted_rates([CHEAP, DEAR, HOG], 0.0, 6.0, 5000.0) == [0.0, 3.0, 3.0]
    assert admitted_rates([CHEAP, DEAR, PINNED], 5.0, 20.0, 5000.0) == [15.0, 10.0, 0.0], (
        "pinned and too late: capacity would be wasted on it"
    )
    assert admitted_rates([CHEAP, DEAR, PINNED], 5.0, 20.0, 500.0) == [10.0, 10.0, 5.0], (
        "pinned: only what its own site can serve"
    )


lines = st.lists(
    st.builds(
        Demand,
        st.sampled_from(["pay", "news"]),
        st.sampled_from(["x", "y"]),
        st.just("a"),
        st.floats(0.1, 100.0),
        st.sampled_from([1.0, 2.0, 3.0]),
        st.sampled_from([1.0, 2.0]),
        st.sampled_from([1000.0, 9000.0]),
        st.booleans(),
    ),
    max_size=8,
)


@given(lines, st.floats(0, 150.0), st.floats(0, 150.0))
def test_capacity_is_used_but_not_exceeded_and_lower_worth_is_rejected_first(
    found: list[Demand], home: float, away: float
) -> None:
    rates = admitted_rates(found, home, away, 5000.0)
    used = [rate * line.calls_per_message for rate, line in zip(rates, found, strict=True)]
    late = [line.pinned and line.window < 5000.0 for line in found]
    assert all(-1e-9 <= rate <= line.rate + 1e-9 for rate, line in zip(rates, found, strict=True))
    assert (
        sum(used) <= home + away + 1e-6
        and sum(use for use, line in zip(used, found, strict=True) if line.pinned) <= home + 1e-6
    )
    assert not any(rate for rate, gone in zip(rates, late, strict=True) if gone)
    short = [
        line
        for line, rate, gone in zip(found, rates, late, strict=True)
        if rate < line.rate - 1e-6 and not line.pinned
    ]
    if short:
        assert sum(used) >= home + away - 1e-6, "capacity is unused although demand was rejected"
        for line, rate in zip(found, rates, strict=True):
            for cut in short:
                assert (
                    rate <= 1e-9
                    or line.worth / line.calls_per_message >= 0.98 * cut.worth / cut.calls_per_message
                )


@given(st.lists(st.floats(0.0, 100.0), max_size=9), st.floats(0.0, 300.0))
def test_fill_is_max_min_fair(asked: list[float], capacity: float) -> None:
    granted = fill(asked, capacity)
    assert abs(sum(granted) - min(capacity, sum(asked))) < 1e-6
    cut = [got for got, ask in zip(granted, asked, strict=True) if got < ask - 1e-9]
    assert not cut or max(granted) <= min(cut) + 1e-6


def test_queued_messages() -> None:
    def cls(effect: Effect, group: str = "all") -> MessageClass:
        return MessageClass("m", 100.0, 1000.0, effect, group=group)

    assert held(cls(Effect.UNSAFE), True, False, 500.0, 9000.0) is Held.MOVE
    assert held(cls(Effect.UNSAFE), False, False, 500.0, 9000.0) is Held.END, (
        "it may have run: elsewhere it could run twice"
    )
    assert held(cls(Effect.SAFE), False, False, 500.0, 9000.0) is Held.MOVE
    assert held(cls(Effect.KEYED), False, False, 500.0, 9000.0) is Held.MOVE
    assert held(cls(Effect.KEYED, "zone"), False, False, 500.0, 9000.0) is Held.END, (
        "the record of keys was lost with the site"
    )
    assert (
        held(cls(Effect.SAFE), True, True, 500.0, 9000.0) is Held.END
        and held(cls(Effect.SAFE), True, True, 9500.0, 9000.0) is Held.WAIT
    )
