"""The random simulation of grants: no fault with all rules, and one with each rule removed, in a few runs."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir.agreed import machine
from brassweir.regions import ownership, planning, sources
from brassweir.regions.ownership import Ownership, OwnershipRefusal, Reason
from tests.agreed.drawn import run
from tests.agreed.drawn_copies import twice
from tests.regions.samples import without_wait

RUNS = 24  # seeds 0 to 23, for the rules as they are and for each that is broken
Patch = pytest.MonkeyPatch


def _no_check(*_: object) -> None:
    """Replaces a check."""


def _ignoring(reason: Reason) -> Callable[[Patch], None]:
    """A copy that ignores this reason for a refusal."""
    original = Ownership.refusal

    def refusal_but(self: Ownership, *args: object) -> OwnershipRefusal | None:
        refusal = original(self, *args)  # type: ignore[arg-type]
        return None if refusal is not None and refusal.reason is reason else refusal

    return lambda patch: patch.setattr(Ownership, "refusal", refusal_but)


def _without_turns(patch: Patch) -> None:
    """Removes both checks of the turn: each alone refuses what the other would."""
    patch.setattr(sources, "check_source", _no_check)
    patch.setattr(ownership, "check_follows", _no_check)


BROKEN: dict[str, Callable[[Patch], None]] = {
    "the log cuts leases short": lambda patch: patch.setattr(machine, "check_succeeds", _no_check),
    "the log hands over and moves in one": lambda patch: patch.setattr(machine, "check_source", _no_check),
    "a copy follows both sources": _without_turns,
    "a copy asks not who was before": lambda patch: patch.setattr(Ownership, "_previous_grant", _no_check),
    "a copy goes on after its lease": _ignoring(Reason.LAPSED),
    "a copy begins before its grant": _ignoring(Reason.MOVING),
    "a copy believes any clock": lambda patch: patch.setattr(Ownership, "clock_trusted", lambda *_: True),
    "a plan forgets who was before": lambda patch: patch.setattr(planning, "_retained_past", lambda *_: ()),
    "a move waits for nobody": lambda patch: patch.setattr(planning, "moved", without_wait(planning.moved)),
}


def test_no_message_is_taken_by_two_regions_in_any_run() -> None:
    tapes = [run(seed) for seed in range(RUNS)]
    assert not [(seed, sorted(twice(tape))) for seed, tape in enumerate(tapes) if twice(tape)]
    assert sum(len(tape) for tape in tapes) > 1_500, "the runs take messages"


@pytest.mark.parametrize("rule", BROKEN)
def test_a_rule_taken_out_is_seen_within_the_same_runs(monkeypatch: Patch, rule: str) -> None:
    BROKEN[rule](monkeypatch)
    assert any(twice(run(seed)) for seed in range(RUNS))
