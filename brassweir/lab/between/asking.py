"""Asks copies over HTTP what they say of themselves, by plain connections of their own."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from brassweir.lab.between.seen import Told

LARGEST = 2_000_000  # bytes of an answer


async def ask(port: int, path: str, within: float) -> dict[str, Any] | None:
    """The JSON object that a copy answers; None if there is none in so many seconds."""
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n".encode())
                data = await reader.read(LARGEST)
                while more := await reader.read(LARGEST):
                    data += more
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return None
    try:
        tree = json.loads(body)
    except ValueError:
        return None
    return tree if isinstance(tree, dict) else None


def told_of(at: float, copy: str, life: int, run: int, agreed: dict[str, Any], peers: dict[str, Any]) -> Told:
    """What ``/agreed`` and ``/peers`` said. Raises KeyError naming what is missing."""
    views = peers["copies"]
    return Told(
        at,
        copy,
        life,
        agreed["role"],
        int(agreed["term"]),
        agreed["leader"] or "",
        int(agreed["agreed"]),
        int(agreed["applied"]),
        frozenset(name for name, state in views.items() if state == "alive"),
        frozenset(name for name, state in views.items() if state == "dead"),
        bool(peers["self_suspected"]),
        int(agreed["granted"]),
        int(agreed["index"]),
        agreed["digest"],
        agreed["trouble"],
        run,
        frozenset(agreed["voters"]),
    )
