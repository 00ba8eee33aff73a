"""The sender keeps the six rules under generated sequences of events."""

from __future__ import annotations

import pytest

from tests.rules_driver import drive


@pytest.mark.parametrize("seed", range(60))
def test_rules_hold_on_any_sequence(seed: int) -> None:
    drive(seed)
