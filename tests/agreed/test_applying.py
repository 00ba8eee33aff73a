"""Much that is agreed is carried out in several steps: none holds up a process for long."""

from __future__ import annotations

from random import Random

import pytest

from brassweir.agreed import timing
from brassweir.agreed.core import Core
from brassweir.agreed.events import Action, Applied, WakeAt, Write, Written
from brassweir.agreed.messages import COMMAND, Entry, Membership
from brassweir.agreed.records import Ballot, Base, Identity, Persisted
from brassweir.lab.models.toys import Pile

ALONE = Membership((("a", "ma"),))


def restarted(sizes: list[int]) -> Core:
    """A member whose folder holds agreed commands of these sizes."""
    log = [Entry(at, 1, COMMAND, b"%04d" % at + b"x" * (size - 4)) for at, size in enumerate(sizes, 1)]
    kept = Persisted(Identity("ma", "g", 2, 7), Ballot(1, ""), Base(0, 0, ALONE, 0), log, len(log))
    return Core("a", kept, Pile(), Random(1), 0.0, ("a",))


def carried_out(steps: list[Action]) -> list[Applied]:
    return [step for step in steps if isinstance(step, Applied)]


@pytest.mark.parametrize("size", [50, 5_600, 6_000])
def test_a_long_log_is_carried_out_in_bounded_steps(size: int) -> None:
    core, now, found = restarted([size] * 40), 0.0, list[Applied]()
    for _ in range(60):
        steps = core.step(now, ())
        some = carried_out(steps)
        found += some
        spent = sum(len(one.command) + timing.ENTRY_HEAD_BYTES for one in some[:-1])
        assert spent < timing.MAX_APPLIED_BYTES, "the last one may go beyond"
        (wake,) = (step for step in steps if isinstance(step, WakeAt))
        assert core.recovered == (core.applied_index >= 40)
        if len(found) < 40:
            assert some and wake.at == now + 1.0, "at once again, after what else there is to do"
        for step in steps:
            if isinstance(step, Write):
                core.step(now, [Written(step.token)])
        now = wake.at
    assert [one.index for one in found] == list(
        range(1, 41)
    ) and core.applied_index == core.durable_commit >= 40


def test_small_commands_take_no_longer_than_before() -> None:
    assert len(carried_out(restarted([50] * 100).step(0.0, ()))) == 100
