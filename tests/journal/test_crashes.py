"""Crashes at storage steps, barriers left out, and bad disks."""

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
from tests.journal.made import COUNT, SEED, TOTAL


@pytest.mark.parametrize("mode", MODES)
def test_a_crash_at_any_step_loses_doubles_and_retells_nothing(mode: str) -> None:
    found = sweep(SEED, COUNT, [mode], range(1 + MODES.index(mode), TOTAL + 1, 5))
    assert not found.problems and found.points > 30 and found.crashes >= found.points - 1


def test_a_crash_loop_that_falls_into_its_own_recoveries() -> None:
    found = sweep(2, COUNT, MODES, range(3, TOTAL + 1, 23), loops=10)
    assert not found.problems and found.crashes > 3 * found.points


@pytest.mark.parametrize(
    ("fact", "words"),
    [
        (Fact.INTENT, "was sent again"),
        (Fact.FINAL, "was told"),
        (Fact.TAKEN, "was accepted and never had an answer"),
    ],
)
def test_a_barrier_left_out_is_caught(monkeypatch: pytest.MonkeyPatch, fact: Fact, words: str) -> None:
    monkeypatch.setattr(
        store,
        "waits_for_commit",
        lambda one, effect: one is not fact and durability.waits_for_commit(one, effect),
    )
    problems: list[str] = []
    for seed in (1, 2):
        problems += sweep(seed, 30, ["lost"], range(1, TOTAL + 1, 2)).problems
    assert any(words in one for one in problems)


def test_a_recovery_that_forgets_open_messages_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recover, "_plan_open", lambda *_: None)
    problems = sweep(1, 30, ["lost"], range(1, TOTAL + 1, 4)).problems
    assert any("was accepted and never had an answer" in one for one in problems)


def test_receipts_that_are_never_confirmed_are_brought_again_and_not_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """And a recovery that owes nothing leaves those who wait without their answer."""
    monkeypatch.setattr(crash, "CONFIRMED", 0.0)
    assert not sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 17)).problems
    monkeypatch.setattr(crash.Run, "_owing", lambda *_: lambda answer: None)
    assert any("accepted" in one for one in sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 17)).problems)


def test_a_disk_that_only_says_it_synced_is_caught() -> None:
    def lie(keeper: store.JournalStore) -> None:
        keeper.writer.storage.skip_sync = True  # type: ignore[attr-defined]

    assert sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 9), tamper=lie).problems


def test_a_full_disk_refuses_the_new_and_ends_the_open() -> None:
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
    assert not scan(fresh).problems, "what was refused left no gap"


@pytest.mark.parametrize("step", range(8, 40, 7))
def test_a_failed_sync_stops_everything_and_nothing_goes_on_as_if_written(step: int) -> None:
    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, SimStorage())
    run.storage.bad_sync = step
    try:
        run.life(30_000.0)
    except JournalBroken:
        pass
    assert run.broken or step < 4
    told = {name for name, got in run.world.answers.items() if got}
    run.storage = run.storage.after("lost", Random(1))
    run.now += 200.0
    assert run.life(60_000.0)
    assert not run.check() and told <= set(run.world.messages)


def test_other_errors_of_the_disk_are_not_taken_for_a_full_one() -> None:
    class Sick(SimStorage):
        def append(self, name: str, data: bytes) -> None:
            if self.step > 6:
                raise OSError(errno.EIO, "Input/output error")
            super().append(name, data)

    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, Sick())
    try:
        run.life(10_000.0)
    except JournalBroken:
        pass
    assert run.broken and "Input/output error" in str(run.broken[0])
