"""What clients and destinations do to a bounded journal, and what was promised of each message."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Traffic:
    """What clients and destinations do; ``refused`` is the share of messages refused at once."""

    body: int
    a_tick: int
    refused: float
    attempts: int
    open_ticks: int


@dataclass(slots=True)
class Message:
    """What was promised of one message."""

    body: int
    class_name: str
    accepted: bool = False
    attempts: int = 0
    in_flight: bool = False
    ending: bool = False  # its answer is with the store
    answered_at: float | None = None
    told: bool = False
