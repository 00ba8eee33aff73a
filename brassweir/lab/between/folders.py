"""Reads a copy of an agreed folder, and what a copy tells of itself, into what the judges read."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from brassweir.lab.between.seen import Folder, Told


def read_folder(folder: Path, at: float, copy: str, life: int) -> Folder | None:
    """What stands in the folder; None if nothing does yet. Raises ValueError where it cannot be read."""
    return None


def teller(at: float, copy: str, life: int, agreed: dict[str, Any], peers: dict[str, Any]) -> Told:
    """What ``/agreed`` and ``/peers`` said. Raises ValueError naming what is missing."""
    states = {one["name"]: one["state"] for one in peers["copies"]}
    return Told(at, copy, life, agreed["role"], int(agreed["term"]), agreed.get("leader") or "",
                int(agreed["commit"]), int(agreed["applied"]),
                frozenset(name for name, state in states.items() if state == "alive"),
                frozenset(name for name, state in states.items() if state == "dead"),
                bool(peers.get("self_suspected")), int(agreed.get("epoch") or 0))
