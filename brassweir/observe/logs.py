"""Structured logs: one event per line, as JSON or as plain text for a terminal."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog


def configure_logging(
    level: str = "info", plain: bool = False, stream: TextIO | None = None
) -> structlog.BoundLogger:
    """Configure structlog for this process and return its logger. Raises ValueError for an unknown level."""
    number = logging.getLevelNamesMapping().get(level.upper())
    if number is None:
        raise ValueError(f"unknown log level {level!r}")
    renderer = structlog.dev.ConsoleRenderer(colors=False) if plain else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    log: structlog.BoundLogger = structlog.get_logger()
    return log
