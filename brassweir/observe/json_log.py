"""JSON log lines without a library, for senders that have no memory to spare for one."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Set
from typing import Any, TextIO

SPAN_SECONDS = 5.0  # seconds
MAX_LINES = 50  # lines of one event in such a span; the rest are counted and told in the next line of it
MAX_FREQUENT_LINES = 1000  # the same of an event that comes with each message

_ENCODE = json.JSONEncoder(default=str).encode  # made once: json.dumps makes an encoder for each line


class JsonLog:
    """A log with the face of the service's other one. A storm of one event cannot fill disk or CPU.

    ``frequent`` names the events that come with each message.
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
        self.monotonic = monotonic  # spans are of real time, whatever becomes of the wall clock
        self.spans: dict[str, tuple[float, int, int]] = {}  # event: start, lines, held back

    def info(self, event: str, **details: Any) -> None:
        """Something an operator may want to see."""
        self._line("info", event, details)

    def warning(self, event: str, **details: Any) -> None:
        """Something an operator should look at."""
        self._line("warning", event, details)

    def error(self, event: str, **details: Any) -> None:
        """Something an operator must look at."""
        self._line("error", event, details)

    def _line(self, level: str, event: str, details: dict[str, Any]) -> None:
        now = self.monotonic()
        start, count, held = self.spans.get(event, (now, 0, 0))
        if now - start >= SPAN_SECONDS:
            start, count = now, 0
        if count >= (MAX_FREQUENT_LINES if event in self.frequent else MAX_LINES):
            self.spans[event] = (start, count, held + 1)
            return
        self.spans[event] = (start, count + 1, 0)
        line = {"event": event, "level": level, "at": round(self.now(), 3), **self.bound, **details}
        if held:
            line["held_back"] = held
        self.stream.write(_ENCODE(line) + "\n")
        self.stream.flush()
