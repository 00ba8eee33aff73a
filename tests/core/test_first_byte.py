"""The one check before a first byte, by itself and in the engine."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.core.first_byte import FirstByteCheck
from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import Answer, Attempt, BlockReason, FinalAnswer, Outcome, Submission
from tests.core.engines import make_engine

READY = api.EndpointInfo("e", 1, "")
NEVER = float("inf")


def check(*entries: api.EndpointInfo) -> FirstByteCheck:
    made = FirstByteCheck()
    made.update(api.ListUpdate(api.ListKind.FULL, entries))
    return made


def record() -> MessageRecord:
    return MessageRecord(1, Submission("o", "m", "safe", 1, 4000.0), 0.0, 4000.0)


def test_what_bars_a_first_byte() -> None:
    assert check(READY).block(record(), "e", 10.0, NEVER) is None
    over = record()
    over.answer = FinalAnswer(Answer.DELIVERED)
    assert check(READY).block(over, "e", 10.0, NEVER) is BlockReason.MESSAGE_OVER
    assert check(READY).block(record(), "e", 10.0, 9.0) is BlockReason.WINDOW_OVER
    assert check().block(record(), "e", 10.0, NEVER) is BlockReason.ENDPOINT_NOT_READY
    for state in (api.EntryState.DRAINING, api.EntryState.GONE):
        told = api.EndpointInfo("e", 1, "", state=state)
        assert check(told).block(record(), "e", 10.0, NEVER) is BlockReason.ENDPOINT_NOT_READY
    moved = api.EndpointInfo("e", 2, "")
    assert check(moved).block(record(), "e", 10.0, NEVER) is BlockReason.ENDPOINT_NOT_READY


def test_nobody_vouches_for_the_list_and_then_somebody_does() -> None:
    made = check(READY)
    made.update(api.ListUpdate(api.ListKind.UNCONFIRMED))
    assert made.block(record(), "e", 10.0, NEVER) is BlockReason.LIST_UNCONFIRMED
    made.update(api.ListUpdate(api.ListKind.DELTA, (READY,)))
    assert made.block(record(), "e", 10.0, NEVER) is BlockReason.LIST_UNCONFIRMED, (
        "a change alone confirms nothing"
    )
    made.update(api.ListUpdate(api.ListKind.USABLE))
    assert made.block(record(), "e", 10.0, NEVER) is None


class Late:
    """A carrier whose connection comes up after 50 ms."""

    def __init__(self, engine_clock: object) -> None:
        self.clock = engine_clock
        self.begun: list[str] = []
        self.barred: list[BlockReason | None] = []

    def start(self, attempt: Attempt, done: object) -> None:
        def up() -> None:
            if attempt.start_guard.begin():
                self.begun.append(attempt.submission.identity)
                done(Outcome(api.Result.OK))  # type: ignore[operator]
            elif not attempt.start_guard.cancelled:
                self.barred.append(attempt.start_guard.block)
                done(Outcome(api.Result.NO_CONNECTION, "barred"))  # type: ignore[operator]

        self.clock.call_at(self.clock.now() + 50.0, up)  # type: ignore[attr-defined]

    def close_idle(self, endpoint: str) -> None:
        pass


def test_a_connection_that_comes_up_while_the_list_is_in_doubt_carries_nothing_until_it_is_not() -> None:
    engine, clock, _ = make_engine(good=1.0)
    late = Late(clock)
    engine.carrier_for = lambda _: late
    clock.run(1100.0)
    engine.submit(Submission("o", "m", "safe", 1, 4000.0), lambda _: None)
    clock.run(1110.0)
    engine.update_list(api.ListUpdate(api.ListKind.UNCONFIRMED))
    clock.run(1700.0)
    assert late.begun == [] and late.barred == [BlockReason.LIST_UNCONFIRMED]
    assert len(engine.ledger.open_messages()) == 1
    engine.update_list(api.ListUpdate(api.ListKind.USABLE))
    clock.run(2000.0)
    assert late.begun == ["m"] and engine.ledger.open_messages() == []
