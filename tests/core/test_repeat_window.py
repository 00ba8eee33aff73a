"""A repeat of a keyed message begins within the idempotency window of its key, or not at all."""

from __future__ import annotations

import pytest

from brassweir import interface as api
from brassweir.core.ports import Answer, FinalAnswer, Outcome, Submission
from tests.core.engines import make_slow_engine

WINDOW = 1000.0
KEYED = api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, window=WINDOW)


@pytest.mark.parametrize(
    ("ends_after", "connect_time", "calls"),
    [
        (300.0, 50.0, 3),  # well within the window
        (300.0, 680.0, 2),  # its connection is ready just before the window ends
        (300.0, 750.0, 1),  # just after
        (900.0, 90.0, 2),  # decided just before the window ends
        (900.0, 150.0, 1),
    ],
)
def test_a_repeat_decided_within_the_window_is_not_written_after_it(
    ends_after: float, connect_time: float, calls: int
) -> None:
    engine, clock, carrier = make_slow_engine(classes=(KEYED,))
    carrier.connect_times, carrier.response_time = [1.0, connect_time], ends_after
    carrier.outcomes["m"] = Outcome(api.Result.RESET)
    answers: list[tuple[float, FinalAnswer]] = []
    engine.submit(
        Submission("c", "m", "key", 1, 6000.0), lambda answer: answers.append((clock.now(), answer))
    )
    clock.run(9000.0)
    first_sent_at = engine.ledger.by_identity["c", "m"].attempts[0].sent_at
    assert [at for at, _ in carrier.written if at > first_sent_at + WINDOW] == []
    assert len(carrier.written) == calls
    assert [answer.answer for _, answer in answers] == [Answer.REFUSED], (
        "a keyed message of group all is refused, not failed"
    )
    assert engine.sender.load.used_slots == 0 and not engine.unstarted.by_destination
