"""The usual configuration with fields of its settings changed, or gone."""

from __future__ import annotations

import copy
import json
from typing import Any

from tests.relay import world

GONE = object()


def told(**changes: Any) -> bytes:
    """The configuration with fields of its settings changed, or gone; a path's dots are written ``__``."""
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
    """A class for each change of the first one."""
    return [{**world.CLASSES[0], **change} for change in changes]
