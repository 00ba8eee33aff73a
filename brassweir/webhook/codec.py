"""Headers of a webhook (Standard Webhooks 1.0: webhook-id, webhook-timestamp, webhook-signature). No I/O."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

from brassweir.core.ports import Payload

PREFIX = "whsec_"
TOLERANCE = 300.0  # seconds by which a receiver's clock may differ, as the specification's libraries have it


class WebhookError(ValueError):
    """A secret cannot be read, or a received webhook does not hold."""


def parse_secret(text: str) -> bytes:
    """Read a signing secret: base64, with or without its prefix, 24 to 64 bytes. Raises WebhookError."""
    try:
        key = base64.b64decode(text.removeprefix(PREFIX), validate=True)
    except (binascii.Error, ValueError):
        raise WebhookError("a webhook secret is base64, perhaps behind whsec_") from None
    if not 24 <= len(key) <= 64:
        raise WebhookError(f"a webhook secret has 24 to 64 bytes, this one {len(key)}")
    return key


def signature(key: bytes, ident: str, timestamp: int, content: bytes) -> str:
    """One signature over id, time and content, joined by dots."""
    signed = f"{ident}.{timestamp}.".encode() + content
    return "v1," + base64.b64encode(hmac.digest(key, signed, hashlib.sha256)).decode("ascii")


def headers(ident: str, timestamp: int, payload: Payload, keys: tuple[bytes, ...]) -> list[tuple[str, str]]:
    """All fields of a post; several keys while one is being changed make several signatures."""
    fields = [
        ("Content-Type", payload.content_type),
        ("webhook-id", ident),
        ("webhook-timestamp", str(timestamp)),
        ("Idempotency-Key", f'"{ident}"'),
    ]
    if keys:
        signed = " ".join(signature(key, ident, timestamp, payload.content) for key in keys)
        fields.append(("webhook-signature", signed))
    return fields


def verify(
    keys: tuple[bytes, ...], ident: str, timestamp: str, signatures: str, content: bytes, now: float
) -> None:
    """Check a received webhook, as a receiver does. Raises WebhookError with the reason."""
    if not timestamp.isascii() or not timestamp.isdigit() or len(timestamp) > 12:
        raise WebhookError("webhook-timestamp is no number of seconds")
    if abs(now - int(timestamp)) > TOLERANCE:
        raise WebhookError("webhook-timestamp is too far from now")
    expected = [signature(key, ident, int(timestamp), content) for key in keys]
    for given in signatures.split(" "):
        if any(hmac.compare_digest(given.encode(), one.encode()) for one in expected):
            return
    raise WebhookError("no signature holds")
