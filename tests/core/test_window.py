"""A repeat begins at its endpoint within the key's window, or not at all."""

from __future__ import annotations

import pytest

from brassweir import interface as api
from brassweir.core.ports import Answer, FinalAnswer, Outcome, Submission
from tests.core.engines import make_slow_engine

WINDOW = 1000.0
KEYED = api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, window=WINDOW)


@pytest.mark.parametrize(
    ("ends", "connects", "calls"),
    [
        (300.0, 50.0, 3),  # well within it
        (300.0, 680.0, 2),  # its connection comes just before the end
        (300.0, 750.0, 1),  # and just after it
        (900.0, 90.0, 2),  # decided near the end
        (900.0, 150.0, 1),
    ],
)
def test_a_repeat_decided_in_the_window_is_not_written_after_it(
    ends: float, connects: float, calls: int
) -> None:
    engine, clock, carrier = make_slow_engine(classes=(KEYED,))
    carrier.connects, carrier.takes = [1.0, connects], ends
    carrier.outcomes["m"] = Outcome(api.Result.RESET)
    got: list[tuple[float, FinalAnswer]] = []
    engine.submit(Submission("c", "m", "key", 1, 6000.0), lambda answer: got.append((clock.now(), answer)))
    clock.run(9000.0)
    first = engine.ledger.by_identity["c", "m"].attempts[0].sent_at
    assert [at for at, _ in carrier.written if at > first + WINDOW] == []
    assert len(carrier.written) == calls
    assert [answer.answer for _, answer in got] == [Answer.REFUSED], (
        "the platform's word for keyed ones that reach everywhere"
    )
    assert engine.sender.load.used_slots == 0 and not engine.unstarted.by_destination
