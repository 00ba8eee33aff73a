"""Describes an AS2 message or receipt: its layers, outermost first, its signer and its MIC."""

from __future__ import annotations

from collections.abc import Sequence
from functools import cache
from typing import Any

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm

from brassweir.as2 import cms, keys, mdn, message, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.message import Identity

MAX_LAYER_BYTES = 100_000_000  # after decompression


def explain(raw: bytes, ours: Identity | None, trusted: Sequence[x509.Certificate]) -> dict[str, Any]:
    """Describes ``raw`` (header and body as sent) as far as the given keys can decrypt it. Never raises.

    Legacy algorithms are allowed, since the result is only displayed.
    """
    result: dict[str, Any] = {}
    try:
        entity = mime.parse(raw)
        for name in ("AS2-From", "AS2-To", "Message-ID", "Subject", "Date"):
            if entity.field(name):
                result[name] = entity.field(name)
        result["parts"] = _parts(entity, 0)
        try:
            result["receipt"] = _receipt(mdn.parse(entity, trusted, legacy=True))
            return result
        except As2Error as error:
            if any(part["type"] == "message/disposition-notification" for part in result["parts"]):
                result["receipt"] = {"problem": error.reason}
                return result
        result["message"] = _message(entity, ours, trusted)
    except As2Error as error:
        result["problem"] = f"{error.modifier.value}: {error.reason}"
    return result


@cache
def _unrelated_identity() -> Identity:
    """An identity that cannot decrypt anything, for when no key is given."""
    return keys.make("nobody", "ec256")


def _parts(entity: mime.Entity, depth: int) -> list[dict[str, Any]]:
    summary: dict[str, Any] = {"depth": depth, "type": entity.content_type, "bytes": len(entity.body)}
    if "pkcs7" in entity.content_type:
        try:
            data = entity.decoded()
            summary["cms"] = cms.content_kind(data)
            if summary["cms"] == "signed_data":
                summary["certificates"] = [_subject(cert) for cert in cms.embedded(data)]
        except As2Error as error:
            summary["problem"] = error.reason
    summaries = [summary]
    if entity.content_type.startswith("multipart/") and depth < 5:
        for part in mime.parts(entity):
            summaries += _parts(part, depth + 1)
    return summaries


def _subject(certificate: x509.Certificate) -> str:
    """Returns the subject of a certificate, which is parsed only now and may be malformed."""
    try:
        return keys.show(certificate).subject
    except (ValueError, UnsupportedAlgorithm) as error:
        return f"unreadable: {error}"


def _receipt(receipt: mdn.Mdn) -> dict[str, Any]:
    return {
        "original_message_id": receipt.original_message_id,
        "disposition": str(receipt.disposition),
        "good": receipt.disposition.good,
        "mic": receipt.mic,
        "micalg": receipt.micalg,
        "final_recipient": receipt.final_recipient,
        "text": receipt.text,
        "signer": keys.show(receipt.signer).subject if receipt.signer else None,
    }


def _message(
    entity: mime.Entity, ours: Identity | None, trusted: Sequence[x509.Certificate]
) -> dict[str, Any]:
    try:
        opened = message.read(
            entity, ours or _unrelated_identity(), trusted, max_layer_bytes=MAX_LAYER_BYTES, legacy=True
        )
    except As2Error as error:
        return {"problem": f"{error.modifier.value}: {error.reason}"}
    return {
        "layers": list(opened.layers),
        "signer": keys.show(opened.signer).subject if opened.signer else None,
        "mic": opened.mic,
        "micalg": opened.micalg,
        "content_type": opened.payload.content_type,
        "bytes": len(opened.payload.content),
    }
