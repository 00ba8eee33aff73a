"""What the platform's front has counted since it was made."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counts:
    """Totals by what became of commands and connections, in the order in which the log tells them."""

    taken: int = 0  # messages
    busy: int = 0  # hand-ins refused
    errors: int = 0  # commands that could not be used
    opened: int = 0  # connections
    dropped: int = 0  # connections closed for want of room
    silenced: int = 0  # connections closed since they said nothing
    idled: int = 0  # connections closed since they said no more
    withdrawn: int = 0  # messages whose client went before its answer
