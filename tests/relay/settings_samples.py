"""Variants of the default configuration."""

from __future__ import annotations

import copy
import json
from typing import Any

from tests.relay import world

ABSENT = object()


def changed_config(**changes: Any) -> bytes:
    """Return the configuration with settings replaced, or removed if ABSENT. Dots in a path are written ``__``."""
    config = copy.deepcopy(world.configuration())
    for path, value in changes.items():
        *path_parts, last = [int(part) if part.isdecimal() else part for part in path.split("__")]
        parent: Any = config["settings"]
        for part in path_parts:
            parent = parent[part]
        if value is ABSENT:
            del parent[last]
        else:
            parent[last] = value
    return json.dumps(config).encode()


def classes(*changes: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a copy of the first class for each set of changes."""
    return [{**world.CLASSES[0], **change} for change in changes]
