"""Many clients that each keep a part of a command here: what they fill is bounded, and others are served beside."""

from __future__ import annotations

import pytest

from brassweir.resp.admission import Admission
from brassweir.resp.codec import OK
from tests.resp.desk import Desk, put
from tests.resp.test_closing import play


@pytest.mark.parametrize("part", [60_000, 30])
def test_halves_of_commands_fill_no_more_than_their_room(part: int) -> None:
    async def day(desk: Desk) -> None:
        admission, usual = desk.front.admission, await desk.client()
        for i in range(40):
            half = await desk.client()
            half.send(put(f"h{i}", body=b"x" * 60_000)[:part])
            await desk.until(lambda: admission.clients[desk.front.last].weight)
            if not i:
                admission.room = 5.5 * admission.held
            assert admission.held <= admission.room
            if i % 10 == 0:
                usual.send(put(f"u{i}", "note"))
                assert await desk.loop.sock_recv(usual, 100) == OK
        assert len(desk.front.connections) == 6 and desk.front.counts.dropped == 35

    play(day)


def test_the_weight_of_those_that_are_gone_or_whole_counts_no_more() -> None:
    admission = Admission(10, 10, 100.0)
    ones = []
    for ident in range(4):
        admission.admit(ident, float(ident))
        ones.append(admission.clients[ident])
    admission.proved(0)
    assert admission.weigh(ones[0], 90) is None
    assert admission.weigh(ones[1], 10) is None
    assert admission.weigh(ones[2], 10) == 1, "who has handed nothing in goes first, the longest unheard"
    admission.leave(1)
    assert admission.held == 100
    admission.leave(2)
    assert admission.weigh(ones[3], 0) is None and admission.weigh(ones[0], 101) == 0
    assert admission.weigh(ones[0], 0) is None
    for ident in (0, 3):
        admission.leave(ident)
    admission.leave(0)
    assert admission.held == 0
