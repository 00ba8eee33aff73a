"""A window that reordered messages filled is confirmed at once, not at the next regular pull."""

from __future__ import annotations

import pytest

from brassweir.lab.models.logworld import Weather
from tests.agreed.feedworld import FeedWorld


@pytest.mark.parametrize("seed", range(1, 9))
def test_the_entry_after_a_burst_comes_at_once(seed: int) -> None:
    world = FeedWorld(seed, 8, Weather(low=0.2, high=4.0), link=1e6)
    world.version(35)
    world.until(lambda: world.have(35, world.founders), 3_000.0)
    world.command(200)
    assert world.until(lambda: world.have(36), 3_000.0) < 500.0
