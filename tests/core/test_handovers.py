"""The client leaves between two steps of its message: it ends once, and what nobody waits for does not go out."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import Answer, Fact, FinalAnswer, Outcome, Submission
from tests.core.engines import SlowCarrier, make_slow_engine


class Held:
    """A store that holds up one kind of fact until it is let go, and counts final answers."""

    def __init__(self, what: Fact | None) -> None:
        self.what, self.held, self.finals = what, list[Callable[[], None]](), list[FinalAnswer]()

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        if isinstance(detail, FinalAnswer):
            self.finals.append(detail)
        if fact is self.what:
            self.held.append(then)
        else:
            then()

    def let_go(self) -> None:
        self.what = None
        while self.held:
            self.held.pop(0)()


class Play:
    """One message of a client that leaves."""

    def __init__(self, cls: str, holds: Fact | None) -> None:
        self.store, self.got, self.promised = Held(holds), list[FinalAnswer](), list[int]()
        self.engine, self.clock, self.carrier = make_slow_engine(store=self.store)
        self.clock.run(1000.0)
        self.record = self.hand_in("m", cls)

    def hand_in(self, name: str, cls: str) -> MessageRecord:
        _, record = self.engine.submit(Submission("c", name, cls, 1, 4000.0), self.got.append)
        self.engine.when_admitted(record, lambda: self.promised.append(record.id))
        return record

    def end(self) -> list[str]:
        """Whose attempts were written."""
        self.clock.run(9000.0)
        assert (
            not self.engine.admission_callbacks
            and not self.engine.unstarted.by_destination
            and self.engine.sender.load.used_slots == 0
        )
        assert not self.engine.sender.messages
        return [name for _, name in self.carrier.written]


def first_turn(play: Play) -> None:
    """In the turn in which it is handed in."""


def turn_with_another(play: Play) -> None:
    """And another is handed in behind it in that turn: the module looks at what it may send between the two."""
    play.hand_in("n", "safe")


def connecting(play: Play) -> None:
    """Its attempt waits for a connection."""
    play.clock.run(1050.0)


@pytest.mark.parametrize("cls", ["pay", "safe"])
@pytest.mark.parametrize(
    ("holds", "until", "promises"),
    [
        (Fact.TAKEN, first_turn, 0),
        (None, first_turn, 0),
        (None, turn_with_another, 0),
        (Fact.INTENT, connecting, 1),
        (None, connecting, 1),
    ],
)
def test_what_was_withdrawn_before_its_first_byte_is_never_written(
    cls: str, holds: Fact | None, until: Callable[[Play], None], promises: int
) -> None:
    play = Play(cls, holds)
    play.carrier.connects = [100.0, 100.0]
    until(play)
    play.engine.withdraw(play.record)
    play.store.let_go()
    assert "m" not in play.end()
    assert play.promised.count(play.record.id) == promises
    assert len(play.store.finals) == len(play.got) == (2 if until is turn_with_another else 1)


@pytest.mark.parametrize("holds", [None, Fact.OUTCOME, Fact.FINAL])
@pytest.mark.parametrize("result", [api.Result.OK, api.Result.RESET])
def test_one_that_leaves_under_its_call_or_its_answer_has_one_end(
    holds: Fact | None, result: api.Result
) -> None:
    play = Play("pay", holds)
    play.carrier.outcomes["m"] = Outcome(result)
    play.clock.run(1005.0 if holds is None else 1020.0)
    play.engine.withdraw(play.record)
    play.engine.withdraw(play.record)
    play.store.let_go()
    assert play.end() == ["m"]
    assert len(play.store.finals) == len(play.got) == 1
    delivered = result is api.Result.OK and holds is Fact.FINAL
    assert play.got[0].answer is (Answer.DELIVERED if delivered else Answer.FAILED)


def test_a_withdrawal_is_no_evidence_against_its_destination() -> None:
    engine: Engine
    play = Play("safe", None)
    engine, carrier, clock = play.engine, play.carrier, play.clock
    assert isinstance(carrier, SlowCarrier) and isinstance(clock, SimClock)
    carrier.connects = [100.0] * 3
    for record in (play.record, play.hand_in("n", "safe"), play.hand_in("o", "safe")):
        clock.run(clock.now() + 5.0)
        engine.withdraw(record)
    assert play.end() == []
    assert not any(gate.failure_streak for gate in engine.sender.destinations[1].gates())


@pytest.mark.parametrize("held", [0.0, 700.0])
def test_the_time_of_a_message_runs_on_while_it_is_written_down(held: float) -> None:
    play = Play("safe", Fact.TAKEN)
    play.carrier.connects = [1e9] * 20
    ended: list[float] = []
    play.record.waiters.append(lambda _: ended.append(play.clock.now()))
    play.clock.run(1000.0 + held)
    play.store.let_go()
    play.clock.run(9000.0)
    assert len(ended) == 1 and ended[0] <= 1000.0 + 4000.0 + 1.0
