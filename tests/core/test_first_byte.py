"""The check before the first byte, by itself and in the engine."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.core.first_byte import FirstByteCheck
from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import Answer, Attempt, BlockReason, FinalAnswer, Outcome, Submission
from tests.core.engines import make_engine

READY = api.EndpointInfo("e", 1, "")
NEVER = float("inf")


def check(*entries: api.EndpointInfo) -> FirstByteCheck:
    first_byte = FirstByteCheck()
    first_byte.update(api.ListUpdate(api.ListKind.FULL, entries))
    return first_byte


def record() -> MessageRecord:
    return MessageRecord(1, Submission("o", "m", "safe", 1, 4000.0), 0.0, 4000.0)


def test_reasons_that_block_a_first_byte() -> None:
    assert check(READY).block(record(), "e", 10.0, NEVER) is None
    ended = record()
    ended.answer = FinalAnswer(Answer.DELIVERED)
    assert check(READY).block(ended, "e", 10.0, NEVER) is BlockReason.MESSAGE_OVER
    assert check(READY).block(record(), "e", 10.0, 9.0) is BlockReason.WINDOW_OVER
    assert check().block(record(), "e", 10.0, NEVER) is BlockReason.ENDPOINT_NOT_READY
    for state in (api.EntryState.DRAINING, api.EntryState.GONE):
        unusable = api.EndpointInfo("e", 1, "", state=state)
        assert check(unusable).block(record(), "e", 10.0, NEVER) is BlockReason.ENDPOINT_NOT_READY
    moved = api.EndpointInfo("e", 2, "")
    assert check(moved).block(record(), "e", 10.0, NEVER) is BlockReason.ENDPOINT_NOT_READY


def test_unconfirmed_list_blocks_until_it_is_confirmed() -> None:
    first_byte = check(READY)
    first_byte.update(api.ListUpdate(api.ListKind.UNCONFIRMED))
    assert first_byte.block(record(), "e", 10.0, NEVER) is BlockReason.LIST_UNCONFIRMED
    first_byte.update(api.ListUpdate(api.ListKind.DELTA, (READY,)))
    assert first_byte.block(record(), "e", 10.0, NEVER) is BlockReason.LIST_UNCONFIRMED, (
        "a change does not confirm the list"
    )
    first_byte.update(api.ListUpdate(api.ListKind.USABLE))
    assert first_byte.block(record(), "e", 10.0, NEVER) is None


class DelayedCarrier:
    """A carrier whose connection comes up after 50 ms."""

    def __init__(self, engine_clock: object) -> None:
        self.clock = engine_clock
        self.begun: list[str] = []
        self.blocked: list[BlockReason | None] = []

    def start(self, attempt: Attempt, done: object) -> None:
        def connected() -> None:
            if attempt.start_guard.begin():
                self.begun.append(attempt.submission.identity)
                done(Outcome(api.Result.OK))  # type: ignore[operator]
            elif not attempt.start_guard.cancelled:
                self.blocked.append(attempt.start_guard.block)
                done(Outcome(api.Result.NO_CONNECTION, "barred"))  # type: ignore[operator]

        self.clock.call_at(self.clock.now() + 50.0, connected)  # type: ignore[attr-defined]

    def close_idle(self, endpoint: str) -> None:
        pass


def test_nothing_is_written_on_a_new_connection_while_the_list_is_unconfirmed() -> None:
    engine, clock, _ = make_engine(success_rate=1.0)
    carrier = DelayedCarrier(clock)
    engine.carrier_for = lambda _: carrier
    clock.run(1100.0)
    engine.submit(Submission("o", "m", "safe", 1, 4000.0), lambda _: None)
    clock.run(1110.0)
    engine.update_list(api.ListUpdate(api.ListKind.UNCONFIRMED))
    clock.run(1700.0)
    assert carrier.begun == [] and carrier.blocked == [BlockReason.LIST_UNCONFIRMED]
    assert len(engine.ledger.open_messages()) == 1
    engine.update_list(api.ListUpdate(api.ListKind.USABLE))
    clock.run(2000.0)
    assert carrier.begun == ["m"] and engine.ledger.open_messages() == []
