"""A group founded anew with the first epoch of a lost one needs an operator, since ownership may have moved."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import pytest

from brassweir.agreed import reconciliation
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES
from brassweir.service import log_maintenance
from tests.conftest import run
from tests.service.group import ASSUMED, Copy, SharedLog, first_epoch, until


@pytest.mark.parametrize("guarded", [True, False])
def test_two_regions_hold_no_place_when_the_voters_machines_are_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, guarded: bool
) -> None:
    monkeypatch.setattr(log_maintenance, "CHECK_INTERVAL_SECONDS", 0.005)
    if not guarded:
        monkeypatch.setattr(reconciliation, "FIRST_EPOCH_MAX_AGE_MS", float("inf"))

    async def work() -> None:
        now = time.time() * 1000.0
        old = msgspec.structs.replace(
            planning.first_epoch({"east": "http://east", "west": "http://west"}, now - 7_200_000.0, 1_000.0),
            turn=1,
        )
        moved = planning.moved(old, 0, PLACES, "west", now - 7_190_000.0, 1_000.0, ASSUMED).epoch
        (tmp_path / "first.json").write_bytes(msgspec.json.encode(old))
        west = Copy("w", "west", SharedLog(), tmp_path)  # a copy of the lost group, with an unexpired lease
        west.region.applied(planning.renewed(moved, now, 60_000.0, ASSUMED))
        log = SharedLog(leader="a")
        east = Copy("a", "east", log, tmp_path)  # its directory and state were lost
        await until(
            lambda: any(east.accepts(f"m{n}") for n in range(9)) or bool(east.notes_of("wish_refused"))
        )
        both = [name for name in (f"m{n}" for n in range(20)) if east.accepts(name) and west.accepts(name)]
        assert bool(both) is not guarded
        if guarded:
            east.maintenance.desired.read(True)  # an operator confirms that the old group is gone
            await until(lambda: east.member.machine.state.epoch is not None)
        for task in east.tasks + west.tasks:
            task.cancel()

    run(work())


def test_a_recent_first_epoch_needs_no_operator() -> None:
    reconciliation.check_recent(first_epoch(), time.time() * 1000.0)
