"""The one check before a first byte, by itself and in the engine."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.core.first_byte import FirstByteCheck
from brassweir.core.ledger import Record
from brassweir.core.ports import Answer, Attempt, Bar, FinalAnswer, Outcome, Submission
from tests.core.made import make

READY = api.EndpointInfo("e", 1, "")
NEVER = float("inf")


def check(*entries: api.EndpointInfo) -> FirstByteCheck:
    made = FirstByteCheck()
    made.learn(api.ListNews(api.ListKind.FULL, entries))
    return made


def record() -> Record:
    return Record(1, Submission("o", "m", "safe", 1, 4000.0), 0.0, 4000.0)


def test_what_bars_a_first_byte() -> None:
    assert check(READY).bar(record(), "e", 10.0, NEVER) is None
    over = record()
    over.answer = FinalAnswer(Answer.DELIVERED)
    assert check(READY).bar(over, "e", 10.0, NEVER) is Bar.MESSAGE_OVER
    assert check(READY).bar(record(), "e", 10.0, 9.0) is Bar.WINDOW_OVER
    assert check().bar(record(), "e", 10.0, NEVER) is Bar.ENDPOINT_NOT_READY
    for state in (api.State.DRAINING, api.State.GONE):
        told = api.EndpointInfo("e", 1, "", state=state)
        assert check(told).bar(record(), "e", 10.0, NEVER) is Bar.ENDPOINT_NOT_READY
    moved = api.EndpointInfo("e", 2, "")
    assert check(moved).bar(record(), "e", 10.0, NEVER) is Bar.ENDPOINT_NOT_READY


def test_nobody_vouches_for_the_list_and_then_somebody_does() -> None:
    made = check(READY)
    made.learn(api.ListNews(api.ListKind.UNCONFIRMED))
    assert made.bar(record(), "e", 10.0, NEVER) is Bar.LIST_UNCONFIRMED
    made.learn(api.ListNews(api.ListKind.DELTA, (READY,)))
    assert made.bar(record(), "e", 10.0, NEVER) is Bar.LIST_UNCONFIRMED, "a change alone confirms nothing"
    made.learn(api.ListNews(api.ListKind.USABLE))
    assert made.bar(record(), "e", 10.0, NEVER) is None


class Late:
    """A carrier whose connection comes up after 50 ms."""

    def __init__(self, engine_clock: object) -> None:
        self.clock = engine_clock
        self.begun: list[str] = []
        self.barred: list[Bar | None] = []

    def start(self, attempt: Attempt, done: object) -> None:
        def up() -> None:
            if attempt.going.go():
                self.begun.append(attempt.submission.identity)
                done(Outcome(api.Result.OK))  # type: ignore[operator]
            elif not attempt.going.recalled:
                self.barred.append(attempt.going.bar)
                done(Outcome(api.Result.NO_CONNECTION, "barred"))  # type: ignore[operator]

        self.clock.call_at(self.clock.now() + 50.0, up)  # type: ignore[attr-defined]

    def close_idle(self, endpoint: str) -> None:
        pass


def test_a_connection_that_comes_up_while_the_list_is_in_doubt_carries_nothing_until_it_is_not() -> None:
    engine, clock, _ = make(good=1.0)
    late = Late(clock)
    engine.carrier_for = lambda _: late
    clock.run(1100.0)
    engine.submit(Submission("o", "m", "safe", 1, 4000.0), lambda _: None)
    clock.run(1110.0)
    engine.news(api.ListNews(api.ListKind.UNCONFIRMED))
    clock.run(1700.0)
    assert late.begun == [] and late.barred == [Bar.LIST_UNCONFIRMED]
    assert len(engine.ledger.open()) == 1
    engine.news(api.ListNews(api.ListKind.USABLE))
    clock.run(2000.0)
    assert late.begun == ["m"] and engine.ledger.open() == []
