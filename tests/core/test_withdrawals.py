"""A client that withdraws its message between any two steps: one final answer, and no attempt after it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import Answer, Fact, FinalAnswer, Outcome, Submission
from tests.core.engines import SlowCarrier, make_slow_engine


class HoldingStore:
    """A store that delays one kind of fact until the test releases it, and records final answers."""

    def __init__(self, delayed_fact: Fact | None) -> None:
        self.delayed_fact, self.delayed, self.finals = (
            delayed_fact,
            list[Callable[[], None]](),
            list[FinalAnswer](),
        )

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        if isinstance(detail, FinalAnswer):
            self.finals.append(detail)
        if fact is self.delayed_fact:
            self.delayed.append(on_durable)
        else:
            on_durable()

    def release(self) -> None:
        self.delayed_fact = None
        while self.delayed:
            self.delayed.pop(0)()


class Scenario:
    """One message of a client that withdraws it."""

    def __init__(self, cls: str, delayed_fact: Fact | None) -> None:
        self.store, self.answers, self.admitted = HoldingStore(delayed_fact), list[FinalAnswer](), list[int]()
        self.engine, self.clock, self.carrier = make_slow_engine(store=self.store)
        self.clock.run(1000.0)
        self.record = self.submit("m", cls)

    def submit(self, name: str, cls: str) -> MessageRecord:
        _, record = self.engine.submit(Submission("c", name, cls, 1, 4000.0), self.answers.append)
        self.engine.when_admitted(record, lambda: self.admitted.append(record.id))
        return record

    def finish(self) -> list[str]:
        """Run to the end, check that the engine is empty, and return the messages that were written."""
        self.clock.run(9000.0)
        assert (
            not self.engine.admission_callbacks
            and not self.engine.unstarted.by_destination
            and self.engine.sender.load.used_slots == 0
        )
        assert not self.engine.sender.messages
        return [name for _, name in self.carrier.written]


def in_first_turn(scenario: Scenario) -> None:
    """Withdraw the message in the turn in which it is submitted."""


def with_another_in_the_turn(scenario: Scenario) -> None:
    """Submit another message in the same turn: the module may send between the two events."""
    scenario.submit("n", "safe")


def while_connecting(scenario: Scenario) -> None:
    """Withdraw the message while its attempt waits for a connection."""
    scenario.clock.run(1050.0)


@pytest.mark.parametrize("cls", ["pay", "safe"])
@pytest.mark.parametrize(
    ("delayed_fact", "advance", "admissions"),
    [
        (Fact.TAKEN, in_first_turn, 0),
        (None, in_first_turn, 0),
        (None, with_another_in_the_turn, 0),
        (Fact.INTENT, while_connecting, 1),
        (None, while_connecting, 1),
    ],
)
def test_message_withdrawn_before_its_first_byte_is_never_written(
    cls: str, delayed_fact: Fact | None, advance: Callable[[Scenario], None], admissions: int
) -> None:
    scenario = Scenario(cls, delayed_fact)
    scenario.carrier.connect_times = [100.0, 100.0]
    advance(scenario)
    scenario.engine.withdraw(scenario.record)
    scenario.store.release()
    assert "m" not in scenario.finish()
    assert scenario.admitted.count(scenario.record.id) == admissions
    assert (
        len(scenario.store.finals)
        == len(scenario.answers)
        == (2 if advance is with_another_in_the_turn else 1)
    )


@pytest.mark.parametrize("delayed_fact", [None, Fact.OUTCOME, Fact.FINAL])
@pytest.mark.parametrize("result", [api.Result.OK, api.Result.RESET])
def test_withdrawal_during_the_call_or_the_answer_gives_one_answer(
    delayed_fact: Fact | None, result: api.Result
) -> None:
    scenario = Scenario("pay", delayed_fact)
    scenario.carrier.outcomes["m"] = Outcome(result)
    scenario.clock.run(1005.0 if delayed_fact is None else 1020.0)
    scenario.engine.withdraw(scenario.record)
    scenario.engine.withdraw(scenario.record)
    scenario.store.release()
    assert scenario.finish() == ["m"]
    assert len(scenario.store.finals) == len(scenario.answers) == 1
    delivered = result is api.Result.OK and delayed_fact is Fact.FINAL
    assert scenario.answers[0].answer is (Answer.DELIVERED if delivered else Answer.FAILED)


def test_withdrawals_do_not_count_as_failures_of_the_destination() -> None:
    engine: Engine
    scenario = Scenario("safe", None)
    engine, carrier, clock = scenario.engine, scenario.carrier, scenario.clock
    assert isinstance(carrier, SlowCarrier) and isinstance(clock, SimClock)
    carrier.connect_times = [100.0] * 3
    for record in (scenario.record, scenario.submit("n", "safe"), scenario.submit("o", "safe")):
        clock.run(clock.now() + 5.0)
        engine.withdraw(record)
    assert scenario.finish() == []
    assert not any(gate.failure_streak for gate in engine.sender.destinations[1].gates())


@pytest.mark.parametrize("delayed", [0.0, 700.0])
def test_time_left_decreases_while_the_message_is_persisted(delayed: float) -> None:
    scenario = Scenario("safe", Fact.TAKEN)
    scenario.carrier.connect_times = [1e9] * 20
    ended: list[float] = []
    scenario.record.waiters.append(lambda _: ended.append(scenario.clock.now()))
    scenario.clock.run(1000.0 + delayed)
    scenario.store.release()
    scenario.clock.run(9000.0)
    assert len(ended) == 1 and ended[0] <= 1000.0 + 4000.0 + 1.0
