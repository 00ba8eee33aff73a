"""Builds and reads AS2 messages: layers of compression, signature and encryption, and the MIC.

Which bytes the MIC covers (RFC 4130, section 7.3.1; RFC 5402, section 4):

======================================  =====================================================================
signed, at any layer                    the signed entity with its header, compressed if it was signed so
encrypted, not signed                   the innermost entity, decrypted and decompressed, header included
neither                                 the content alone, without header and transfer encoding
======================================  =====================================================================
"""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from cryptography import x509

from brassweir.as2 import cms, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mime import Entity
from brassweir.core.ports import Payload

MAX_LAYERS = 5  # encrypted, compressed, signed, compressed, content
_PKCS7 = ("application/pkcs7-mime", "application/x-pkcs7-mime")
_SIGNATURE = ("application/pkcs7-signature", "application/x-pkcs7-signature")


@dataclass(frozen=True, slots=True)
class Identity:
    """An AS2 name with its private key and certificate."""

    as2_id: str
    key: cms.PrivateKey
    certificate: x509.Certificate


@dataclass(frozen=True, slots=True)
class Security:
    """How messages to a partner are wrapped; empty means not. ``compress`` is before or after signing."""

    sign: str = "sha256"
    encrypt: str = "aes256-cbc"
    compress: str = ""
    pss: bool = False
    oaep: bool = False


@dataclass(frozen=True, slots=True)
class Built:
    """A message as it is sent, and the MIC that its receipt must show."""

    content_type: str
    body: bytes
    mic: str
    micalg: str


@dataclass(frozen=True, slots=True)
class Received:
    """The content of an unwrapped message. ``layers`` names its layers, outermost first."""

    payload: Payload
    mic: str
    micalg: str
    layers: tuple[str, ...]
    signer: x509.Certificate | None

    @property
    def signed(self) -> bool:
        """Whether the message had a valid signature."""
        return self.signer is not None

    @property
    def encrypted(self) -> bool:
        """Whether the message was encrypted."""
        return any(layer.startswith("encrypted") for layer in self.layers)


def mic_of(data: bytes, digest: str) -> str:
    """Returns a MIC as receipts show it: base64 of the digest."""
    return base64.b64encode(hashlib.new(digest, data).digest()).decode("ascii")


def _pkcs7(kind: str, data: bytes) -> bytes:
    return mime.entity(
        [
            ("Content-Type", f"application/pkcs7-mime; smime-type={kind}; name=smime.p7m"),
            ("Content-Transfer-Encoding", "binary"),
        ],
        data,
    )


def build(
    payload: Payload,
    security: Security,
    ours: Identity,
    theirs: x509.Certificate | None,
    digest: str = "sha256",
) -> Built:
    """Wraps a payload as agreed; ``digest`` is for the MIC of unsigned messages.

    Raises ValueError if the payload is to be encrypted and ``theirs`` has no RSA key.
    """
    # Declared binary so that no intermediary changes line ends or bytes.
    inner = mime.entity(
        [("Content-Type", payload.content_type), ("Content-Transfer-Encoding", "binary")], payload.content
    )
    encoded, content_type, body = inner, payload.content_type, payload.content
    if security.compress == "before":
        encoded = _pkcs7("compressed-data", cms.compress(encoded))
    covered = inner if security.encrypt else payload.content
    if security.sign:
        digest, covered = security.sign, encoded
        signature = cms.sign(encoded, ours.key, ours.certificate, digest, pss=security.pss)
        part = mime.entity(
            [
                ("Content-Type", "application/pkcs7-signature; name=smime.p7s"),
                ("Content-Transfer-Encoding", "base64"),
                ("Content-Disposition", "attachment; filename=smime.p7s"),
            ],
            base64.encodebytes(signature).replace(b"\n", b"\r\n").rstrip(),
        )
        content_type, body = mime.multipart(
            "signed",
            [("protocol", "application/pkcs7-signature"), ("micalg", cms.micalg(digest))],
            [encoded, part],
        )
        encoded = mime.entity([("Content-Type", content_type)], body)
    if security.compress == "after":
        encoded = _pkcs7("compressed-data", cms.compress(encoded))
    if security.encrypt:
        if theirs is None:
            raise ValueError("no certificate to encrypt to")
        kind = "authEnveloped-data" if security.encrypt.endswith("-gcm") else "enveloped-data"
        body = cms.encrypt(encoded, theirs, security.encrypt, oaep=security.oaep)
        content_type = f"application/pkcs7-mime; smime-type={kind}; name=smime.p7m"
    elif security.compress == "after" or (security.compress and not security.sign):
        outer = mime.parse(encoded)
        content_type, body = outer.field("content-type"), outer.body
    return Built(content_type, body, mic_of(covered, digest), digest)


def read(
    entity: Entity,
    ours: Identity,
    trusted: Sequence[x509.Certificate],
    *,
    max_layer_bytes: int,
    legacy: bool = False,
    digest: str = "sha256",
) -> Received:
    """Unwraps a message. ``digest`` is for the MIC of unsigned messages.

    ``max_layer_bytes`` limits the bytes of each decompressed layer. Raises As2Error.
    """
    layers: list[str] = []
    signer: x509.Certificate | None = None
    covered: bytes | None = None
    was_encrypted = False
    for _ in range(MAX_LAYERS):
        kind = entity.content_type
        if kind == "multipart/signed":
            if signer is not None:
                raise As2Error(Modifier.FORMAT, "signed twice")
            signed, entity = verify_detached(entity, trusted, legacy)
            signer, digest, covered = signed.signer, signed.digest, signed.content
            layers.append(f"signed {digest}")
        elif kind in _PKCS7:
            data = entity.decoded()
            cms_kind = cms.content_kind(data)
            if cms_kind in ("enveloped_data", "authenticated_enveloped_data"):
                plain, cipher = cms.decrypt(data, ours.key, ours.certificate, legacy=legacy)
                layers.append(f"encrypted {cipher}")
                entity, was_encrypted = mime.parse(plain), True
            elif cms_kind == "compressed_data":
                entity = mime.parse(cms.decompress(data, max_layer_bytes))
                layers.append("compressed zlib")
            elif cms_kind == "signed_data":
                if signer is not None:
                    raise As2Error(Modifier.FORMAT, "signed twice")
                opaque = cms.verify(data, trusted, None, legacy=legacy)
                signer, digest, covered = opaque.signer, opaque.digest, opaque.content
                layers.append(f"signed opaque {digest}")
                entity = mime.parse(opaque.content)
            else:
                raise As2Error(Modifier.FORMAT, f"CMS {cms_kind} is not served")
        else:
            break
    else:
        raise As2Error(Modifier.FORMAT, f"more than {MAX_LAYERS} layers")
    content = entity.decoded()
    if covered is None:
        covered = entity.raw if was_encrypted else content
    payload = Payload(entity.field("content-type") or "text/plain", content)
    return Received(payload, mic_of(covered, digest), digest, tuple(layers), signer)


def verify_detached(
    entity: Entity, trusted: Sequence[x509.Certificate], legacy: bool
) -> tuple[cms.Signed, Entity]:
    """Verifies a multipart/signed (RFC 8551, section 3.5.3) and returns the signature and the signed entity.

    The content must be the first part; the signature may be any later one. Raises As2Error.
    """
    parts = mime.parts(entity)
    signature = next((part for part in reversed(parts) if part.content_type in _SIGNATURE), None)
    if signature is None or parts[0] is signature:
        raise As2Error(Modifier.AUTHENTICATION, "multipart/signed without content and signature")
    content, data = parts[0], signature.decoded()
    try:
        return cms.verify(data, trusted, content.raw, legacy=legacy), content
    except As2Error as error:
        canonical = content.raw.replace(b"\r\n", b"\n").replace(b"\n", b"\r\n")
        if error.modifier is not Modifier.INTEGRITY or canonical == content.raw:
            raise
        # The line ends were changed in transit after signing in canonical form (RFC 8551, section 3.1.1).
        return cms.verify(data, trusted, canonical, legacy=legacy), content
