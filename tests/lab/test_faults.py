"""Each rule broken on purpose in a sender over real sockets, and caught by the checker; unbroken, it is clean."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from brassweir import interface as api
from brassweir.control.gate import Gate
from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import FinalAnswer
from brassweir.lab.judges.verdict import Verdict
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.script import Day
from brassweir.lab.standins.works import Trouble
from brassweir.service.process import SenderProcess
from tests.conftest import run
from tests.lab.runs import Tamper, order, ran, short_day
from tests.lab.side import side_by_side


def no_answers(process: SenderProcess) -> None:
    """Every fourth answer is lost on its way to the front."""
    right = process.engine._finish

    def finish(record: MessageRecord, answer: FinalAnswer) -> None:
        if record.id % 4:
            right(record, answer)
        else:
            process.engine.ledger.finish(record.id, answer, process.clock.now())

    process.engine._finish = finish  # type: ignore[method-assign]


def sends_again(process: SenderProcess) -> None:
    """The module forgets that an unsafe message may have run."""
    sender = process.engine.sender
    sender._may_retry = lambda message: not message.ended and message.attempts < 4 and not message.in_flight  # type: ignore[method-assign]


def hears_no_drain(process: SenderProcess) -> None:
    """The list's word that an endpoint drains or is gone is not passed on."""
    right = process.engine.update_list

    def news(told: api.ListUpdate) -> None:
        entries = tuple(
            api.EndpointInfo(one.name, one.destination, one.kind, one.zone) for one in told.entries
        )
        right(api.ListUpdate(api.ListKind.DELTA, entries))

    process.engine.update_list = news  # type: ignore[method-assign,assignment]


def each_gate(process: SenderProcess, careless: type[Gate]) -> None:
    """Make every gate of the module a careless one."""
    sender = process.engine.sender
    right = sender._destination

    def dest(ident: int) -> Any:
        made = right(ident)
        made.gate.__class__ = careless
        return made

    sender._destination = dest  # type: ignore[method-assign]


class NeverShut(Gate):
    """No outage is seen: no trials, no ramp, no patience."""

    __slots__ = ()

    def open_circuit(self, now: float, wait: float = 0.0) -> None:
        """Stay open."""

    def allowed_rate(self, now: float) -> float:
        """Everything."""
        return float("inf")

    def next_call_at(self, now: float, last: bool = False) -> float:
        """Now."""
        return now


class Impatient(Gate):
    """Told waits are not heeded."""

    __slots__ = ()

    def on_requested_wait(self, now: float, wait: float) -> None:
        """Hear nothing."""

    def on_busy(self, now: float, wait: float, trial: bool, sent: float) -> None:
        """Learn nothing."""


def never_shuts(process: SenderProcess) -> None:
    """No outage is seen by gates or judge."""
    each_gate(process, NeverShut)
    process.engine.sender._is_silent = lambda dest: False  # type: ignore[method-assign]
    process.engine.sender._update_degraded = lambda dest: False  # type: ignore[method-assign]


def no_turns(process: SenderProcess) -> None:
    """Messages of one key go as they come."""
    process.engine.sender._has_turn = lambda message: True  # type: ignore[method-assign]
    right = process.engine.sender._enqueue
    admit = process.engine.sender._admit

    def admit_all(event: api.NewMessage) -> None:
        admit(event)
        message = process.engine.sender.messages.get(event.id)
        if message is not None:
            right(message)

    process.engine.sender._admit = admit_all  # type: ignore[method-assign]


def no_patience(process: SenderProcess) -> None:
    """Told waits are not heeded."""
    each_gate(process, Impatient)


def steady(count: int, gap: float, cls: str = "status", **more: Any) -> list[Any]:
    return [order(0.3 + i * gap, f"p-{i}", cls, **more) for i in range(count)]


def days() -> dict[int, tuple[Day, Tamper]]:
    """For each rule a day that puts it to the test, and the fault that breaks it."""
    answers = short_day(3.0, steady(20, 0.05, left=1.0))
    twice = short_day(4.0, steady(12, 0.1, "payment"), {"bank": [Trouble("lost", 0.2, 2.0, 0.7)]})
    # Calls outlast the gap between two messages three to nine times, so that both endpoints are always in use:
    # where they do not overlap, all go to the one used last, and a drain of the other breaks nothing.
    drains = short_day(4.0, steady(60, 0.05), partners={"bank": Manner(service=0.3)})
    drains.lists = [(0.8, {"bank-a": "draining"})]
    weak = Manner(
        workers=1, service=0.05, cold=4.0, start_capacity=0.2, tip_multiple=1.5, tip_span=1.0, queue=400
    )
    returns = short_day(
        7.0, steady(150, 0.03, left=4.0), {"bank": [Trouble("hang", 0.6, 2.6)]}, {"bank": weak}
    )
    order_kept = short_day(
        3.5,
        [order(0.3 + i * 0.08, f"p-{i}", "order", key=f"k{i % 2}") for i in range(12)],
        partners={"bank": Manner(service=0.3)},
    )
    waits = short_day(4.5, steady(60, 0.05, left=4.0), {"bank": [Trouble("shut", 0.6, 2.6, factor=1.0)]})
    return {
        1: (answers, no_answers),
        2: (twice, sends_again),
        3: (drains, hears_no_drain),
        4: (returns, never_shuts),
        5: (order_kept, no_turns),
        6: (waits, no_patience),
    }


def verdict_of(rule: int, broken: bool, folder: Path) -> Verdict:
    """Play one day."""
    day, tamper = days()[rule]
    return run(ran(day, folder, tamper if broken else None)).report.verdict


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[int, bool], Verdict]:
    """All days, each as it should be and with its fault."""
    longest = [4, 6, 2, 3, 1, 5]  # first those that take longest
    return side_by_side(
        verdict_of, [(rule, broken) for rule in longest for broken in (True, False)], tmp_path_factory
    )


@pytest.mark.parametrize("rule", range(1, 7))
def test_the_fault_is_caught(verdicts: dict[tuple[int, bool], Verdict], rule: int) -> None:
    assert verdicts[rule, True].broken[rule], f"rule {rule} was broken on purpose and the checker saw nothing"


@pytest.mark.parametrize("rule", range(1, 7))
def test_the_same_day_without_the_fault_is_clean_and_puts_the_rule_to_the_test(
    verdicts: dict[tuple[int, bool], Verdict], rule: int
) -> None:
    verdict = verdicts[rule, False]
    assert verdict.clean, verdict.broken
    assert verdict.tested[rule] > 0
