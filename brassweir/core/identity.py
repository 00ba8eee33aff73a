"""Derives the id that a message carries to its destination, as its idempotency key."""

from __future__ import annotations

import hashlib


def delivery_id(owner: str, identity: str) -> str:
    """Return 40 hexadecimal digits that depend on owner and identity alone.

    They are the same for every attempt, submission and restart, even after the ledger has forgotten the
    message.
    """
    return hashlib.sha256(f"{owner}\0{identity}".encode()).hexdigest()[:40]
