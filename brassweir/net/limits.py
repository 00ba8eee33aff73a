"""Limits on sizes and times, which bound the resources that a peer can occupy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a server or of the responses that a client reads."""

    head_bytes: int = 32_768  # start line and all header fields together
    max_headers: int = 100  # fields
    body_bytes: int = 50_000_000  # of one message, after chunked decoding
    buffered_bytes: int = 400_000_000  # request bodies in memory, over all connections of a server
    connections: int = 4096  # open at one server
    head_ms: float = 10_000.0  # from the first byte of a head to its end
    body_ms: float = 60_000.0  # from the end of the head to the end of the body
    idle_ms: float = 60_000.0  # between two requests on one connection
    write_ms: float = 30_000.0  # for a slow peer to read a response
