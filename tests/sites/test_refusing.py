"""What is refused first, and what becomes of held messages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brassweir.interface import Effect, MessageClass
from brassweir.sites.admission import Held, admitted_rates, fill, held, order
from brassweir.sites.facts import Demand

PINNED = Demand("kept", "p", "a", 10.0, 9.0, window=1000.0, pinned=True)
DEAR, CHEAP = Demand("pay", "x", "a", 10.0, 3.0), Demand("news", "x", "a", 30.0, 1.0)
HOG, BULKY = Demand("pay", "hog", "a", 100.0, 3.0), Demand("pay", "y", "a", 10.0, 3.0, calls_per_message=4.0)


def test_the_order() -> None:
    found = order([DEAR, CHEAP, PINNED, HOG, BULKY], 5000.0)
    assert found == [[PINNED], [BULKY], [CHEAP], [DEAR, HOG]], (
        "worth by room: one that needs four times the room is worth less"
    )
    assert order([PINNED, CHEAP], 500.0) == [[CHEAP], [PINNED]], (
        "in time at its own site: it stands by its worth"
    )


def test_none_is_starved_beside_its_equal_and_a_hog_takes_nothing_from_others() -> None:
    assert admitted_rates([CHEAP, DEAR, HOG], 0.0, 30.0, 5000.0) == [0.0, 10.0, 20.0]
    assert admitted_rates([CHEAP, DEAR, HOG], 0.0, 6.0, 5000.0) == [0.0, 3.0, 3.0]
    assert admitted_rates([CHEAP, DEAR, PINNED], 5.0, 20.0, 5000.0) == [15.0, 10.0, 0.0], (
        "pinned and late: its room is of no use"
    )
    assert admitted_rates([CHEAP, DEAR, PINNED], 5.0, 20.0, 500.0) == [10.0, 10.0, 5.0], (
        "pinned: only what its own site bears"
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
def test_room_is_kept_and_used_and_no_lower_line_is_let_in_before_a_higher(
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
        assert sum(used) >= home + away - 1e-6, "room is left, and one is refused"
        for line, rate in zip(found, rates, strict=True):
            for cut in short:
                assert (
                    rate <= 1e-9
                    or line.worth / line.calls_per_message >= 0.98 * cut.worth / cut.calls_per_message
                )


@given(st.lists(st.floats(0.0, 100.0), max_size=9), st.floats(0.0, 300.0))
def test_filling_gives_the_least_served_the_most_possible(asked: list[float], room: float) -> None:
    given_ = fill(asked, room)
    assert abs(sum(given_) - min(room, sum(asked))) < 1e-6
    cut = [got for got, ask in zip(given_, asked, strict=True) if got < ask - 1e-9]
    assert not cut or max(given_) <= min(cut) + 1e-6


def test_held_messages() -> None:
    def cls(effect: Effect, group: str = "all") -> MessageClass:
        return MessageClass("m", 100.0, 1000.0, effect, group=group)

    assert held(cls(Effect.UNSAFE), True, False, 500.0, 9000.0) is Held.MOVE
    assert held(cls(Effect.UNSAFE), False, False, 500.0, 9000.0) is Held.END, (
        "it may have run: elsewhere it could run twice"
    )
    assert held(cls(Effect.SAFE), False, False, 500.0, 9000.0) is Held.MOVE
    assert held(cls(Effect.KEYED), False, False, 500.0, 9000.0) is Held.MOVE
    assert held(cls(Effect.KEYED, "zone"), False, False, 500.0, 9000.0) is Held.END, (
        "the key's memory went with the site"
    )
    assert (
        held(cls(Effect.SAFE), True, True, 500.0, 9000.0) is Held.END
        and held(cls(Effect.SAFE), True, True, 9500.0, 9000.0) is Held.WAIT
    )
