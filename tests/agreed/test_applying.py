"""Many committed entries are applied in several bounded steps, so that the loop is not blocked."""

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
    """A member whose directory holds committed commands of these sizes."""
    log = [Entry(at, 1, COMMAND, b"%04d" % at + b"x" * (size - 4)) for at, size in enumerate(sizes, 1)]
    kept = Persisted(Identity("ma", "g", 2, 7), Ballot(1, ""), Base(0, 0, ALONE, 0), log, len(log))
    return Core("a", kept, Pile(), Random(1), 0.0, ("a",))


def applied_by(actions: list[Action]) -> list[Applied]:
    return [action for action in actions if isinstance(action, Applied)]


@pytest.mark.parametrize("size", [50, 5_600, 6_000])
def test_a_long_log_is_carried_out_in_bounded_steps(size: int) -> None:
    core, now, all_applied = restarted([size] * 40), 0.0, list[Applied]()
    for _ in range(60):
        actions = core.step(now, ())
        applied = applied_by(actions)
        all_applied += applied
        spent = sum(len(action.command) + timing.ENTRY_HEAD_BYTES for action in applied[:-1])
        assert spent < timing.MAX_APPLIED_BYTES, "the last one may go beyond"
        (wake,) = (action for action in actions if isinstance(action, WakeAt))
        assert core.recovered == (core.applied_index >= 40)
        if len(all_applied) < 40:
            assert applied and wake.at == now + 1.0, "at once again, after what else there is to do"
        for action in actions:
            if isinstance(action, Write):
                core.step(now, [Written(action.token)])
        now = wake.at
    assert [action.index for action in all_applied] == list(
        range(1, 41)
    ) and core.applied_index == core.durable_commit >= 40


def test_small_commands_take_no_longer_than_before() -> None:
    assert len(applied_by(restarted([50] * 100).step(0.0, ()))) == 100
