"""The id under which a message goes on: made from the client's identity, so that it outlives our memory."""

from __future__ import annotations

import hashlib


def delivery_id(owner: str, identity: str) -> str:
    """The same for every attempt, hand-in and restart; 40 hexadecimal digits."""
    return hashlib.sha256(f"{owner}\0{identity}".encode()).hexdigest()[:40]
