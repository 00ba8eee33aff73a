"""The lean log: storms are bounded by real time, and what comes with each message has a larger bound."""

from __future__ import annotations

import io
import json

from brassweir.observe.json_log import MAX_FREQUENT_LINES, MAX_LINES, SPAN_SECONDS, JsonLog


def log(at: list[float], wall: list[float]) -> tuple[JsonLog, io.StringIO]:
    stream = io.StringIO()
    return JsonLog(stream, lambda: wall[0], frozenset({"often"}), lambda: at[0], name="n1"), stream


def events(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_storm_is_bounded_and_what_was_held_back_is_counted() -> None:
    at, wall = [0.0], [1e9]
    lines, stream = log(at, wall)
    for _ in range(MAX_LINES + 7):
        lines.warning("storm")
    for _ in range(MAX_FREQUENT_LINES + 3):
        lines.info("often")
    assert len(events(stream)) == MAX_LINES + MAX_FREQUENT_LINES
    at[0] = SPAN_SECONDS
    lines.warning("storm")
    assert events(stream)[-1] == {
        "event": "storm",
        "level": "warning",
        "at": 1e9,
        "name": "n1",
        "held_back": 7,
    }


def test_a_wall_clock_stepped_back_silences_nothing() -> None:
    at, wall = [0.0], [1e9]
    lines, stream = log(at, wall)
    for _ in range(MAX_LINES + 1):
        lines.warning("storm")
    at[0], wall[0] = SPAN_SECONDS, 1e9 - 3600.0
    lines.warning("storm")
    assert len(events(stream)) == MAX_LINES + 1 and events(stream)[-1]["at"] == 1e9 - 3600.0
