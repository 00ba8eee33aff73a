"""The endpoint configuration's state for operators, as a dictionary and as metrics."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import Any

from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.fleet import FleetView
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.service.publisher import Edit
from brassweir.service.version_follower import Follower

NEVER_MS = 1e15  # an age this high means that nothing was ever known


def state_tree(
    machine: ConfiguredMachine, core: ConfiguredCore | None, follower: Follower | None, edit: Edit
) -> dict[str, Any]:
    """Return this copy's state and, at the leader, the fleet's."""
    current = machine.configuration
    view = core.fleet_view(_now()) if core is not None else None
    return {
        "level": machine.state.level,
        "version": current.version,
        "by": current.by,
        "endpoints": current.catalog.size,
        "digest": current.catalog.digest(),
        "source": "agreed" if follower is not None else "file",
        "in_force": follower.in_force if follower is not None else 0,
        "refused": follower.refused if follower is not None else "",
        "knowledge_age_ms": _age(core),
        "out_of_contact": core is None or core.exceeds_max_staleness(_now()),
        "leader": core.leader if core is not None else "",
        "edit": asdict(edit),
        "fleet": _fleet(view) if view is not None and view.leading else None,
    }


def counts(
    machine: ConfiguredMachine, core: ConfiguredCore | None, follower: Follower | None
) -> dict[str, float]:
    """Return the state as gauge values; the fleet's only at the leader."""
    age = _age(core)
    values = {
        "version": float(machine.configuration.version),
        "endpoints": float(machine.configuration.catalog.size),
        "in_force": float(follower.in_force if follower is not None else 0),
        "knowledge_age_ms": -1.0 if age is None else age,
        "out_of_contact": float(core is None or core.exceeds_max_staleness(_now())),
    }
    view = core.fleet_view(_now()) if core is not None else None
    if view is not None and view.leading:
        values |= {
            "fleet_newest": float(view.newest),
            "fleet_copies": float(view.copies),
            "fleet_in_force": float(view.in_force),
            "fleet_behind": float(len(view.behind)),
            "fleet_unheard": float(len(view.unreported)),
            "fleet_longest_behind_ms": max((copy.lag_ms for copy in view.behind), default=0.0),
        }
    return values


def _fleet(view: FleetView) -> dict[str, Any]:
    return {
        "newest": view.newest,
        "copies": view.copies,
        "in_force": view.in_force,
        "behind": [
            {"copy": copy.name, "version": copy.version, "for_ms": round(copy.lag_ms)} for copy in view.behind
        ],
        "unheard": list(view.unreported),
    }


def _age(core: ConfiguredCore | None) -> float | None:
    """Return the age (ms) of the newest knowledge of the group; None if nothing was ever known."""
    age = core.staleness_ms(_now()) if core is not None else NEVER_MS
    return round(age, 1) if age < NEVER_MS else None


def _now() -> float:
    """Return the member's clock: the loop's monotonic time in ms."""
    return asyncio.get_running_loop().time() * 1000.0
