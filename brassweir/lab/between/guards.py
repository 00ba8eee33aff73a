"""Guards that can be taken out of a copy, so that the rig is seen to catch what breaks then."""

from __future__ import annotations

from collections.abc import Callable

GUARDS: dict[str, Callable[[], None]] = {}


def take_out(name: str) -> None:
    """Take one out of this process. Raises ValueError for a name that is none."""
    if name not in GUARDS:
        raise ValueError(f"{name} is no guard: {', '.join(sorted(GUARDS))}")
    GUARDS[name]()
