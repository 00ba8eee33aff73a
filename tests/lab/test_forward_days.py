"""Short days over both fronts, with faults put into the front on purpose: each is caught, and without it all is clean."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from brassweir.core.ports import Answer, FinalAnswer
from brassweir.forward import carrier
from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import Reply, ReplyAction
from brassweir.forward.message import Mode
from brassweir.lab.judges.verdict import Verdict
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.script import Day
from brassweir.lab.standins.shipper import Load
from brassweir.lab.standins.works import Trouble
from brassweir.service.process import SenderProcess
from tests.conftest import run
from tests.lab.runs import Tamper, ran, short_day
from tests.lab.side import side_by_side

EFFECT = {"status": "safe", "order": "keyed"}


def loads(
    count: int, gap: float, cls: str, home: str, key: str = "", left: float = 8.0, patience: float = 6.0
) -> list[tuple[int, Load]]:
    modes = list(Mode)
    return [
        (
            i % 2,
            Load(
                0.3 + i * gap,
                f"p-{i}",
                cls,
                EFFECT[cls],
                home,
                f"{cls}.{home}.{key or 'k'}.p-{i}",
                0,
                left,
                modes[i % 4],
                key=key,
                patience=patience,
            ),
        )
        for i in range(count)
    ]


def day(
    seconds: float,
    given: list[tuple[int, Load]],
    troubles: dict[str, list[Trouble]],
    manner: Manner | None = None,
) -> Day:
    made = short_day(seconds, [], troubles)
    made.plan.sinks, made.plan.shippers = {"store": manner or Manner()}, 2
    made.loads = given
    return made


def acks_refusals(process: SenderProcess) -> None:
    """A refusal is acked: the source forgets what nobody has."""
    right = answers.final

    def final(answer: FinalAnswer, ack_requested: bool) -> Reply:
        reply = right(answer, ack_requested)
        return Reply(ReplyAction.ACK) if answer.answer is Answer.REFUSED else reply

    answers.final = final


def says_nothing(process: SenderProcess) -> None:
    """Every third refusal is neither acked nor closed."""
    front = process.forward.front
    assert front is not None
    right, count = front._send_reply, [0]

    async def send_reply(connection: Any, received: Any, outcome: Any) -> None:
        count[0] += 1
        if count[0] % 3:
            await right(connection, received, outcome)

    front._send_reply = send_reply  # type: ignore[method-assign]


def fresh_ids(process: SenderProcess) -> None:
    """Each attempt goes out under an id of its own: a destination cannot see that it is a repeat."""
    count = [0]

    def onward(owner: str, identity: str) -> str:
        count[0] += 1
        return f"id-{count[0]}"

    carrier.delivery_id = onward  # type: ignore[attr-defined]


def no_turns(process: SenderProcess) -> None:
    """The module keeps no order by key."""
    sender = process.engine.sender
    sender._has_turn = lambda message: True  # type: ignore[method-assign]
    hold, admit = sender._enqueue, sender._admit

    def admit_all(event: Any) -> None:
        admit(event)
        message = sender.messages.get(event.id)
        if message is not None:
            hold(message)

    sender._admit = admit_all  # type: ignore[method-assign]


def scenes() -> dict[str, tuple[int, Day, Tamper]]:
    """What is played, the rule that the fault breaks, and the fault."""
    shut = {"store": [Trouble("refuse", 0.2, 2.5)]}
    lost = {"store": [Trouble("lost", 0.2, 2.0, 0.6)]}
    silent = day(5.0, loads(12, 0.08, "status", "store", left=2.0, patience=2.0), {})
    silent.plan.ack_timeout = 4.0  # longer than a chunk has: who waits in vain is told nothing in time
    return {
        "acked refusals": (1, day(6.0, loads(20, 0.08, "status", "store"), shut), acks_refusals),
        "no word": (1, silent, says_nothing),
        "fresh ids": (2, day(7.0, loads(16, 0.08, "order", "store"), lost), fresh_ids),
        "no turns": (
            5,
            day(6.0, loads(14, 0.08, "order", "store", key="k1"), {}, Manner(service=0.3)),
            no_turns,
        ),
    }


def verdict_of(name: str, broken: bool, folder: Path) -> Verdict:
    _, made, tamper = scenes()[name]
    return run(ran(made, folder, tamper if broken else None)).report.verdict


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, bool], Verdict]:
    """All scenes, each with its fault and without it."""
    names = [
        (name, broken)
        for name in ("no word", "acked refusals", "fresh ids", "no turns")
        for broken in (True, False)
    ]
    return side_by_side(verdict_of, names, tmp_path_factory)


@pytest.mark.parametrize("name", list(scenes()))
def test_the_fault_is_caught(verdicts: dict[tuple[str, bool], Verdict], name: str) -> None:
    rule = scenes()[name][0]
    assert verdicts[name, True].broken[rule], f"rule {rule} was broken on purpose and the checker saw nothing"


@pytest.mark.parametrize("name", list(scenes()))
def test_without_it_the_day_is_clean(verdicts: dict[tuple[str, bool], Verdict], name: str) -> None:
    rule = scenes()[name][0]
    assert verdicts[name, False].clean, verdicts[name, False].broken
    assert verdicts[name, False].tested[rule] > 0
