"""Signs and verifies webhooks as in Standard Webhooks 1.0. No I/O."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

from brassweir.core.ports import Payload

SECRET_PREFIX = "whsec_"
TIMESTAMP_TOLERANCE_SECONDS = 300.0  # allowed clock difference, as in the specification's libraries


class WebhookError(ValueError):
    """A secret is malformed, or a received webhook is not authentic."""


def parse_secret(text: str) -> bytes:
    """Decodes a signing secret: base64 of 24 to 64 bytes, with or without prefix. Raises WebhookError."""
    try:
        key = base64.b64decode(text.removeprefix(SECRET_PREFIX), validate=True)
    except (binascii.Error, ValueError):
        raise WebhookError("a webhook secret must be base64, optionally prefixed with whsec_") from None
    if not 24 <= len(key) <= 64:
        raise WebhookError(f"a webhook secret must have 24 to 64 bytes, not {len(key)}")
    return key


def sign(key: bytes, webhook_id: str, timestamp: int, content: bytes) -> str:
    """Returns the signature of id, timestamp and content, joined by dots."""
    signed = f"{webhook_id}.{timestamp}.".encode() + content
    return "v1," + base64.b64encode(hmac.digest(key, signed, hashlib.sha256)).decode("ascii")


def headers(
    webhook_id: str, timestamp: int, payload: Payload, keys: tuple[bytes, ...]
) -> list[tuple[str, str]]:
    """Returns the header fields of a webhook, with one signature per key (several during a key rotation)."""
    fields = [
        ("Content-Type", payload.content_type),
        ("webhook-id", webhook_id),
        ("webhook-timestamp", str(timestamp)),
        ("Idempotency-Key", f'"{webhook_id}"'),
    ]
    if keys:
        signed = " ".join(sign(key, webhook_id, timestamp, payload.content) for key in keys)
        fields.append(("webhook-signature", signed))
    return fields


def verify(
    keys: tuple[bytes, ...], webhook_id: str, timestamp: str, signatures: str, content: bytes, now: float
) -> None:
    """Verifies a received webhook against any of ``keys``. Raises WebhookError with the reason."""
    if not timestamp.isascii() or not timestamp.isdigit() or len(timestamp) > 12:
        raise WebhookError("webhook-timestamp is not a number of seconds")
    if abs(now - int(timestamp)) > TIMESTAMP_TOLERANCE_SECONDS:
        raise WebhookError("webhook-timestamp is outside the allowed clock difference")
    expected = [sign(key, webhook_id, int(timestamp), content) for key in keys]
    for received in signatures.split(" "):
        if any(hmac.compare_digest(received.encode(), valid.encode()) for valid in expected):
            return
    raise WebhookError("no signature matches")
