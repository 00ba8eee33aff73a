"""Crashes at every storage step, facts that are not waited for, and faulty disks."""

from __future__ import annotations

import errno
from random import Random

import pytest

from brassweir.core.ports import Fact
from brassweir.journal import durability, recover, store
from brassweir.journal.group import JournalBroken
from brassweir.journal.scan import scan
from brassweir.lab.simulated import crash
from brassweir.lab.simulated.crash import Run, sweep
from brassweir.lab.simulated.crash_world import Script
from brassweir.lab.simulated.disk import MODES, SimStorage
from tests.journal.samples import COUNT, SEED, TOTAL


@pytest.mark.parametrize("mode", MODES)
def test_a_crash_at_any_step_loses_repeats_and_changes_no_answer(mode: str) -> None:
    result = sweep(SEED, COUNT, [mode], range(1 + MODES.index(mode), TOTAL + 1, 5))
    assert not result.problems and result.points > 30 and result.crashes >= result.points - 1


def test_crashes_during_recovery_are_recovered_from() -> None:
    result = sweep(2, COUNT, MODES, range(3, TOTAL + 1, 23), loops=10)
    assert not result.problems and result.crashes > 3 * result.points


@pytest.mark.parametrize(
    ("fact", "text"),
    [
        (Fact.INTENT, "was sent again"),
        (Fact.FINAL, "was told"),
        (Fact.TAKEN, "was accepted and never had an answer"),
    ],
)
def test_the_sweep_detects_a_fact_that_is_not_waited_for(
    monkeypatch: pytest.MonkeyPatch, fact: Fact, text: str
) -> None:
    monkeypatch.setattr(
        store,
        "waits_for_commit",
        lambda other, effect: other is not fact and durability.waits_for_commit(other, effect),
    )
    problems: list[str] = []
    for seed in (1, 2):
        problems += sweep(seed, 30, ["lost"], range(1, TOTAL + 1, 2)).problems
    assert any(text in problem for problem in problems)


def test_the_sweep_detects_a_recovery_that_drops_open_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recover, "_plan_open", lambda *_: None)
    problems = sweep(1, 30, ["lost"], range(1, TOTAL + 1, 4)).problems
    assert any("was accepted and never had an answer" in problem for problem in problems)


def test_unconfirmed_receipts_are_delivered_again_at_most_once_per_restart(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also: the sweep detects a recovery that restores no receipts."""
    monkeypatch.setattr(crash, "CONFIRMED", 0.0)
    assert not sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 17)).problems
    monkeypatch.setattr(crash.Run, "_owing", lambda *_: lambda answer: None)
    assert any(
        "accepted" in problem for problem in sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 17)).problems
    )


def test_the_sweep_detects_a_disk_that_does_not_sync() -> None:
    def without_sync(journal: store.JournalStore) -> None:
        journal.writer.storage.skip_sync = True  # type: ignore[attr-defined]

    assert sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 9), tamper=without_sync).problems


def test_a_full_disk_refuses_new_messages_and_ends_open_ones() -> None:
    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, SimStorage())
    run.storage.room = (1 << 20) + 2600
    assert run.life(30_000.0) and not run.broken
    assert not run.check()
    answers = [run.world.answers[name][-1][1] for name in run.world.messages]
    refused = [answer for answer in answers if answer.reason == "there is no room to keep it"]
    assert refused and all(answer.retry_after > 0 for answer in refused)
    assert any(answer.answer.value == "delivered" for answer in answers)
    fresh = run.storage.after("lost", Random(1))
    fresh.room = None
    assert not scan(fresh).problems, "refused records left no gap"


@pytest.mark.parametrize("step", range(8, 40, 7))
def test_a_failed_sync_stops_the_store_and_recovery_is_consistent(step: int) -> None:
    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, SimStorage())
    run.storage.bad_sync = step
    try:
        run.life(30_000.0)
    except JournalBroken:
        pass
    assert run.broken or step < 4
    answered = {name for name, answers in run.world.answers.items() if answers}
    run.storage = run.storage.after("lost", Random(1))
    run.now += 200.0
    assert run.life(60_000.0)
    assert not run.check() and answered <= set(run.world.messages)


def test_an_io_error_is_not_treated_as_a_full_disk() -> None:
    class FailingStorage(SimStorage):
        def append(self, name: str, data: bytes) -> None:
            if self.step > 6:
                raise OSError(errno.EIO, "Input/output error")
            super().append(name, data)

    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, FailingStorage())
    try:
        run.life(10_000.0)
    except JournalBroken:
        pass
    assert run.broken and "Input/output error" in str(run.broken[0])
