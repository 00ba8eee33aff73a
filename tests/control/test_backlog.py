"""The backlog bound and its PI controller, by figures worked out by hand, and the mean call times."""

from __future__ import annotations

import pytest

from brassweir.control.aggregates import CallTimes
from brassweir.control.backlog import BacklogBound


def test_the_bound_follows_the_paper() -> None:
    bound = BacklogBound(10, 100)
    assert bound.value == 20
    bound.record_answer(0.4)
    bound.record_answer(0.6)
    bound.step()  # e = 0.4; step 2.36 * 4.62 * 0.4 = 4.36128
    assert bound.delta == pytest.approx(4.36128)
    assert bound.value == 24
    bound.record_answer(1.9)
    bound.step()  # e = -1; step 4.36128 + 2.36 * (-4.62 - 0.4) = -7.48592
    assert bound.delta == pytest.approx(-7.48592)
    assert bound.value == 16


def test_the_bound_stays_without_answers() -> None:
    bound = BacklogBound(10, 100)
    bound.record_answer(0.4)
    bound.step()
    before = (bound.value, bound.delta, bound.last_error)
    bound.step()
    assert (bound.value, bound.delta, bound.last_error) == before


@pytest.mark.parametrize(("ratio", "end"), [(0.0, 100.0), (5.0, 10.0)])
def test_the_controller_does_not_wind_up_at_a_limit(ratio: float, end: float) -> None:
    bound = BacklogBound(10, 100)
    for _ in range(30):
        bound.record_answer(ratio)
        bound.step()
    assert (bound.value, bound.delta) == (end, 0.0)


def test_the_baseline_outlasts_a_slow_phase() -> None:
    mean = CallTimes()
    for _ in range(20):
        mean.add(100.0)
    for _ in range(20):
        mean.add(2000.0)
    assert mean.mean > 4 * mean.baseline
