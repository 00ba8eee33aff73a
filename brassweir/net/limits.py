"""Limits of sizes and times in one place; every one of them bounds what a stranger can make us hold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in milliseconds."""

    head_bytes: int = 32_768  # request or response line and all headers together
    max_headers: int = 100  # how many of them
    body_bytes: int = 50_000_000  # of one message, after chunked decoding
    buffered_bytes: int = 400_000_000  # bodies held by one server over all its connections
    connections: int = 4096  # open at one server
    head_ms: float = 10_000.0  # from the first byte of a head to its end
    body_ms: float = 60_000.0  # from the end of the head to the end of the body
    idle_ms: float = 60_000.0  # between two requests of one connection
    write_ms: float = 30_000.0  # for a peer that does not read to take what is written
