"""Counters of the RESP front."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counts:
    """Totals since the front was created; the log writes the fields by name, in this order."""

    taken: int = 0  # messages accepted
    busy: int = 0  # submissions refused
    discarded: int = 0  # commands refused, as the unprocessed input of all clients was over its limit
    errors: int = 0  # invalid commands
    opened: int = 0  # connections opened
    dropped: int = 0  # connections closed or rejected for lack of capacity
    silenced: int = 0  # connections closed for inactivity without a submission
    idled: int = 0  # connections closed for inactivity after a submission
    withdrawn: int = 0  # messages whose client disconnected before the reply
