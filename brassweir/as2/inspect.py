"""Explains any AS2 message or receipt: its layers from the outside in, who signed, and its MIC."""

from __future__ import annotations

from collections.abc import Sequence
from functools import cache
from typing import Any

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm

from brassweir.as2 import cms, keys, mdn, message, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.message import Identity

_MOST = 100_000_000  # bytes of a decompressed layer


def explain(raw: bytes, ours: Identity | None, trusted: Sequence[x509.Certificate]) -> dict[str, Any]:
    """What ``raw`` (header and body as sent) holds, as far as the keys given open it. Never raises.

    Legacy algorithms are read too: this only shows.
    """
    shown: dict[str, Any] = {}
    try:
        entity = mime.parse(raw)
        for name in ("AS2-From", "AS2-To", "Message-ID", "Subject", "Date"):
            if entity.field(name):
                shown[name] = entity.field(name)
        shown["parts"] = _parts(entity, 0)
        try:
            shown["receipt"] = _receipt(mdn.parse(entity, trusted, legacy=True))
            return shown
        except As2Error as error:
            if any(part["type"] == "message/disposition-notification" for part in shown["parts"]):
                shown["receipt"] = {"problem": error.reason}
                return shown
        shown["message"] = _message(entity, ours, trusted)
    except As2Error as error:
        shown["problem"] = f"{error.modifier.value}: {error.reason}"
    return shown


@cache
def _nobody() -> Identity:
    """A key that opens nothing."""
    return keys.make("nobody", "ec256")


def _parts(entity: mime.Entity, depth: int) -> list[dict[str, Any]]:
    one: dict[str, Any] = {"depth": depth, "type": entity.content_type, "bytes": len(entity.body)}
    if "pkcs7" in entity.content_type:
        try:
            data = entity.decoded()
            one["cms"] = cms.content_kind(data)
            if one["cms"] == "signed_data":
                one["certificates"] = [_subject(cert) for cert in cms.embedded(data)]
        except As2Error as error:
            one["problem"] = error.reason
    found = [one]
    if entity.content_type.startswith("multipart/") and depth < 5:
        for part in mime.parts(entity):
            found += _parts(part, depth + 1)
    return found


def _subject(certificate: x509.Certificate) -> str:
    """Whose it says it is; parts of a certificate are read only when asked for, and may be anything."""
    try:
        return keys.show(certificate).subject
    except (ValueError, UnsupportedAlgorithm) as error:
        return f"unreadable: {error}"


def _receipt(got: mdn.Mdn) -> dict[str, Any]:
    return {
        "original_message_id": got.original_message_id,
        "disposition": str(got.disposition),
        "good": got.disposition.good,
        "mic": got.mic,
        "micalg": got.micalg,
        "final_recipient": got.final_recipient,
        "text": got.text,
        "signer": keys.show(got.signer).subject if got.signer else None,
    }


def _message(
    entity: mime.Entity, ours: Identity | None, trusted: Sequence[x509.Certificate]
) -> dict[str, Any]:
    try:
        got = message.read(entity, ours or _nobody(), trusted, most=_MOST, legacy=True)
    except As2Error as error:
        return {"problem": f"{error.modifier.value}: {error.reason}"}
    return {
        "layers": list(got.layers),
        "signer": keys.show(got.signer).subject if got.signer else None,
        "mic": got.mic,
        "micalg": got.micalg,
        "content_type": got.payload.content_type,
        "bytes": len(got.payload.content),
    }
