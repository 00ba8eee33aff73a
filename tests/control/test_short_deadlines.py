"""Deadlines that are shorter than the connect timeout."""

from __future__ import annotations

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from tests.control.samples import full_list, new_message, sent_ids


@pytest.mark.parametrize("connect", [300.0, 1000.0, 1500.0, 5000.0])
@pytest.mark.parametrize("deadlines", [(300.0,), (300.0, 20000.0), (1200.0, 300.0)])
@pytest.mark.parametrize("effect", list(api.Effect))
def test_the_first_call_is_made_however_short_the_deadline(
    effect: api.Effect, deadlines: tuple[float, ...], connect: float
) -> None:
    """Without this, no call time would ever be measured, and every message refused."""
    classes = tuple(
        api.MessageClass(f"c{i}", 0.7 * span, span, effect, window=5000.0) for i, span in enumerate(deadlines)
    )
    sender = Sender(api.Settings(classes=classes, slots=4, max_open=40, connect_timeout=connect), 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    for i, span in enumerate(deadlines):
        assert sent_ids(sender.handle(1000.0 * i, [new_message(i, 1, f"c{i}", span - 10.0)])) == [i]
        sender.handle(1000.0 * i + 1.0, [api.AttemptEnded(i, 0, "e1", api.Result.OK, 1.0, True)])
