"""A JSON line logger without a library, for processes with little memory."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Set
from typing import Any, TextIO

SPAN_SECONDS = 5.0
MAX_LINES = 50  # of one event per span; further ones are counted, and the count is logged with its next line
MAX_FREQUENT_LINES = 1000  # of one frequent event per span

_ENCODE = json.JSONEncoder(default=str).encode  # json.dumps would build an encoder for each line


class JsonLog:
    """A logger with the interface of structlog's, which limits the rate of each event.

    So a flood of one event can exhaust neither the disk nor the CPU. ``frequent`` names the events that occur
    with every message.
    """

    def __init__(
        self,
        stream: TextIO | None = None,
        now: Callable[[], float] = time.time,
        frequent: Set[str] = frozenset(),
        monotonic: Callable[[], float] = time.monotonic,
        **bound: Any,
    ) -> None:
        self.stream, self.now, self.bound, self.frequent = stream or sys.stderr, now, bound, frequent
        self.monotonic = monotonic  # spans do not depend on wall-clock changes
        self.spans: dict[str, tuple[float, int, int]] = {}  # event: start, lines written, lines suppressed

    def info(self, event: str, **details: Any) -> None:
        """Log an event that an operator may want to see."""
        self._line("info", event, details)

    def warning(self, event: str, **details: Any) -> None:
        """Log an event that an operator should look at."""
        self._line("warning", event, details)

    def error(self, event: str, **details: Any) -> None:
        """Log an event that an operator must look at."""
        self._line("error", event, details)

    def _line(self, level: str, event: str, details: dict[str, Any]) -> None:
        now = self.monotonic()
        start, count, suppressed = self.spans.get(event, (now, 0, 0))
        if now - start >= SPAN_SECONDS:
            start, count = now, 0
        if count >= (MAX_FREQUENT_LINES if event in self.frequent else MAX_LINES):
            self.spans[event] = (start, count, suppressed + 1)
            return
        self.spans[event] = (start, count + 1, 0)
        line = {"event": event, "level": level, "at": round(self.now(), 3), **self.bound, **details}
        if suppressed:
            line["held_back"] = suppressed
        self.stream.write(_ENCODE(line) + "\n")
        self.stream.flush()
