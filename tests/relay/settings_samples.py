"""Variants of the default configuration."""

from __future__ import annotations

import copy
import json
from typing import Any

from tests.relay import world

GONE = object()


def told(**changes: Any) -> bytes:
    """Return the configuration with settings replaced, or removed if GONE. Dots in a path are written ``__``."""
    found = copy.deepcopy(world.configuration())
    for path, value in changes.items():
        *above, last = [int(one) if one.isdecimal() else one for one in path.split("__")]
        at: Any = found["settings"]
        for one in above:
            at = at[one]
        if value is GONE:
            del at[last]
        else:
            at[last] = value
    return json.dumps(found).encode()


def classes(*changes: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a copy of the first class for each set of changes."""
    return [{**world.CLASSES[0], **change} for change in changes]
