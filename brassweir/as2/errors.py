"""The only exception that parsing raises, whatever the input bytes."""

from __future__ import annotations

from enum import Enum


class Modifier(Enum):
    """Disposition modifiers (RFC 4130, section 7.5.3 and the registry of RFC 8098)."""

    AUTHENTICATION = "authentication-failed"
    DECOMPRESSION = "decompression-failed"
    DECRYPTION = "decryption-failed"
    DUPLICATE = "duplicate-document"
    INTEGRITY = "integrity-check-failed"
    SECURITY = "insufficient-message-security"
    UNEXPECTED = "unexpected-processing-error"
    FORMAT = "unsupported format"
    MIC = "unsupported MIC-algorithms"
    SELF = "sender-equals-receiver"


class As2Error(ValueError):
    """A message or receipt is invalid or not accepted; ``modifier`` is what its receipt reports."""

    def __init__(self, modifier: Modifier, reason: str) -> None:
        super().__init__(reason)
        self.modifier, self.reason = modifier, reason
