"""A small simulated fleet through all cases of the configuration proof: judged, and within its times."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from brassweir.lab.models.configplan import CASES, REGION_CUT, play
from brassweir.lab.models.configreport import CaseReport, report
from tests.lab.models.configmade import COPIES, Compacting, small

AIM, CALM_AIM = 11_000.0, 2_000.0  # simulated ms


def played(name: str, seed: int = 1) -> CaseReport:
    return report(name, play(CASES[name], small(), seed), seed)


@pytest.mark.parametrize("name", sorted(CASES))
def test_every_case_is_clean_and_in_time(name: str) -> None:
    made = played(name)
    assert made.told.most < (CALM_AIM if name == "calm" else AIM)
    assert made.back.most < AIM
    assert len(made.changes) == 10 and made.changes[3].commands > 1
    assert made.longest_counted <= 18_000.0


def test_a_calm_fleet_is_told_and_known_to_be_within_two_seconds() -> None:
    made = played("calm", 2)
    assert made.told.count == 10 * COPIES
    assert all(0.0 <= one.everywhere < CALM_AIM for one in made.changes)
    assert made.longest_counted == 0.0


def test_copies_that_come_back_are_counted_apart() -> None:
    assert played("zone").back.count == played("zone_blank").back.count == 3
    cut = played("region")
    assert cut.back.count == 9 and cut.simulated > REGION_CUT / 1_000.0


def test_the_same_seed_plays_the_same() -> None:
    first, second = (msgspec.structs.replace(played("loss", 3), cpu=None) for _ in range(2))
    assert first == second


@pytest.mark.parametrize("name", ["region", "zone", "rolling"])
def test_with_a_log_compacted_every_few_entries(name: str) -> None:
    world = play(CASES[name], replace(small(), core=Compacting))
    made = report(name, world, 1)
    assert made.told.most < AIM and made.back.most < AIM
