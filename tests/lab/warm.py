"""Imported once, by the process that days are forked from: all modules, and the keys that every day needs."""

from __future__ import annotations

from brassweir.lab.rigs import fleet, idle
from tests.conftest import identity

vars(fleet)["make"] = identity  # what is tested is never how keys are made
for _name in (fleet.HUB, "stranger", "office 1", "bank"):
    identity(_name)
__all__ = ["idle"]
