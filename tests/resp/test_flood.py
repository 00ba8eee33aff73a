"""Many clients that each keep a part of a command here: what they fill is bounded, and others are served beside."""

from __future__ import annotations

import pytest

from brassweir.resp.codec import OK
from brassweir.resp.crowd import Crowd
from tests.resp.desk import Desk, put
from tests.resp.test_closing import play


@pytest.mark.parametrize("part", [60_000, 30])
def test_halves_of_commands_fill_no_more_than_their_room(part: int) -> None:
    async def day(desk: Desk) -> None:
        crowd, usual = desk.front.crowd, await desk.client()
        for i in range(40):
            half = await desk.client()
            half.send(put(f"h{i}", body=b"x" * 60_000)[:part])
            await desk.until(lambda: crowd.standing[desk.front.last].weight)
            if not i:
                crowd.room = 5.5 * crowd.held
            assert crowd.held <= crowd.room
            if i % 10 == 0:
                usual.send(put(f"u{i}", "note"))
                assert await desk.loop.sock_recv(usual, 100) == OK
        assert len(desk.front.connections) == 6 and desk.front.dropped == 35

    play(day)


def test_the_weight_of_those_that_are_gone_or_whole_counts_no_more() -> None:
    crowd = Crowd(10, 10, 100.0)
    ones = []
    for ident in range(4):
        crowd.enter(ident, float(ident))
        ones.append(crowd.standing[ident])
    crowd.proved(0)
    assert crowd.weigh(ones[0], 90) is None
    assert crowd.weigh(ones[1], 10) is None
    assert crowd.weigh(ones[2], 10) == 1, "who has handed nothing in goes first, the longest unheard"
    crowd.leave(1)
    assert crowd.held == 100
    crowd.leave(2)
    assert crowd.weigh(ones[3], 0) is None and crowd.weigh(ones[0], 101) == 0
    assert crowd.weigh(ones[0], 0) is None
    for ident in (0, 3):
        crowd.leave(ident)
    crowd.leave(0)
    assert crowd.held == 0
