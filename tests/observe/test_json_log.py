"""Each event of the JSON log is rate-limited in monotonic time; frequent events have a larger limit."""

from __future__ import annotations

import io
import json

from brassweir.observe.json_log import MAX_FREQUENT_LINES, MAX_LINES, SPAN_SECONDS, JsonLog


def make_log(monotonic: list[float], wall: list[float]) -> tuple[JsonLog, io.StringIO]:
    stream = io.StringIO()
    return JsonLog(stream, lambda: wall[0], frozenset({"often"}), lambda: monotonic[0], name="n1"), stream


def events(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_flood_is_limited_and_suppressed_lines_are_counted() -> None:
    monotonic, wall = [0.0], [1e9]
    logger, stream = make_log(monotonic, wall)
    for _ in range(MAX_LINES + 7):
        logger.warning("storm")
    for _ in range(MAX_FREQUENT_LINES + 3):
        logger.info("often")
    assert len(events(stream)) == MAX_LINES + MAX_FREQUENT_LINES
    monotonic[0] = SPAN_SECONDS
    logger.warning("storm")
    assert events(stream)[-1] == {
        "event": "storm",
        "level": "warning",
        "at": 1e9,
        "name": "n1",
        "held_back": 7,
    }


def test_a_wall_clock_step_back_suppresses_nothing() -> None:
    monotonic, wall = [0.0], [1e9]
    logger, stream = make_log(monotonic, wall)
    for _ in range(MAX_LINES + 1):
        logger.warning("storm")
    monotonic[0], wall[0] = SPAN_SECONDS, 1e9 - 3600.0
    logger.warning("storm")
    assert len(events(stream)) == MAX_LINES + 1 and events(stream)[-1]["at"] == 1e9 - 3600.0
