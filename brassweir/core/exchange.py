"""Which connection carried an attempt, and how soon it was answered."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Exchange:
    """The connection that carried an attempt, for the log.

    ``connection`` numbers the connections of this process. ``earlier_calls`` is how many calls it had carried
    before, and ``answer_ms`` the time from the request's last byte to the first byte of the answer.
    """

    connection: int
    earlier_calls: int
    answer_ms: float
