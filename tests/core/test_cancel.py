"""Unwritten attempts are cancelled by a requested wait, or when their endpoint becomes unusable."""

from __future__ import annotations

import pytest

from brassweir import interface as api
from brassweir.core import cancel
from brassweir.core.ports import Attempt, FinalAnswer, Outcome, Submission
from tests.core.engines import CLASSES, make_slow_engine


def test_requested_wait_cancels_attempts_not_yet_written() -> None:
    """Guards against an attempt that is written during a requested wait because its connection took long."""
    engine, clock, carrier = make_slow_engine()
    carrier.connect_times = [200.0, 1.0]
    carrier.outcomes["told"] = Outcome(api.Result.BUSY, wait=500.0)
    answers: list[FinalAnswer] = []
    for name in ("early", "told"):
        engine.submit(Submission("c", name, CLASSES[0].name, 1, 4000.0), answers.append)
        clock.run(clock.now() + 5.0)
    clock.run(5000.0)
    early = [at for at, name in carrier.written if name == "early"]
    requested_at = next(at for at, name in carrier.written if name == "told")
    assert len(early) == 1 and early[0] >= requested_at + 10.0 + 500.0 and answers
    assert not engine.unstarted.by_destination


def test_without_the_cancellation_the_attempt_would_be_written(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("brassweir.core.cancel.cancelled_by_wait", lambda *_: [])
    engine, clock, carrier = make_slow_engine()
    carrier.connect_times = [200.0, 1.0]
    carrier.outcomes["told"] = Outcome(api.Result.BUSY, wait=500.0)
    for name in ("early", "told"):
        engine.submit(Submission("c", name, CLASSES[0].name, 1, 4000.0), lambda _: None)
        clock.run(clock.now() + 5.0)
    clock.run(5000.0)
    assert [at for at, name in carrier.written if name == "early"][0] < 1300.0


def test_draining_cancels_attempts_except_those_written() -> None:
    engine, clock, carrier = make_slow_engine()
    carrier.connect_times = [100.0]
    engine.submit(Submission("c", "late", CLASSES[0].name, 1, 4000.0), lambda _: None)
    clock.run(1050.0)
    (attempt,) = [attempt for attempt, _ in engine.unstarted.by_destination[1].values()]
    other = next(name for name in ("d1-0", "d1-1") if name != attempt.endpoint.name)
    engine.update_list(
        api.ListUpdate(
            api.ListKind.DELTA,
            (api.EndpointInfo(attempt.endpoint.name, 1, "", state=api.EntryState.DRAINING),),
        )
    )
    assert attempt.start_guard.cancelled and not attempt.start_guard.begin()
    clock.run(1060.0)
    sent = [note.endpoint for note in engine.ledger.by_identity["c", "late"].attempts]
    assert sent == [attempt.endpoint.name, other], "the message goes to the other endpoint at once"
    (retry,) = [attempt for attempt, _ in engine.unstarted.by_destination[1].values()]
    assert retry.start_guard.begun
    engine.update_list(
        api.ListUpdate(api.ListKind.DELTA, (api.EndpointInfo(other, 1, "", state=api.EntryState.GONE),))
    )
    assert not retry.start_guard.cancelled, "its first byte is written"


def test_endpoints_with_their_own_limits_wait_separately() -> None:
    attempts = [
        Attempt(i, 0, Submission("c", f"m{i}", "x", 1, 1.0), api.EndpointInfo(f"e{i}", 1, "k"), 5.0, False)
        for i in range(3)
    ]
    outcome = Outcome(api.Result.BUSY, wait=5.0)
    assert cancel.cancelled_by_wait(attempts[0], outcome, attempts, frozenset()) == attempts
    assert cancel.cancelled_by_wait(attempts[0], outcome, attempts, frozenset({"k"})) == [attempts[0]]
    assert cancel.cancelled_by_wait(attempts[0], Outcome(api.Result.BUSY), attempts, frozenset()) == []
