"""JSON log lines without a library, for senders that have no memory to spare for one."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

SPAN = 5.0  # seconds
MOST = 50  # lines of one event in such a span; the rest are counted and told in the next line of it


class Lines:
    """A log with the face of the service's other one. A storm of one event cannot fill disk or CPU."""

    def __init__(
        self, stream: TextIO | None = None, now: Callable[[], float] = time.time, **bound: Any
    ) -> None:
        self.stream, self.now, self.bound = stream or sys.stderr, now, bound
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
        now = self.now()
        start, count, held = self.spans.get(event, (now, 0, 0))
        if now - start >= SPAN:
            start, count = now, 0
        if count >= MOST:
            self.spans[event] = (start, count, held + 1)
            return
        self.spans[event] = (start, count + 1, 0)
        line = {"event": event, "level": level, "at": round(now, 3), **self.bound, **details}
        if held:
            line["held_back"] = held
        self.stream.write(json.dumps(line, default=str) + "\n")
        self.stream.flush()
