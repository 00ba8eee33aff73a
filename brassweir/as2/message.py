"""AS2 messages built and read: compression, signature and encryption in layers, and the MIC.

Which bytes the MIC covers (RFC 4130, section 7.3.1; RFC 5402, section 4):

======================================  =====================================================================
signed, in whatever else                the entity that was signed, header included; compressed if it was then
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

DEEPEST = 5  # layers: encrypted, compressed, signed, compressed, content
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
    """How messages to a partner are wrapped; empty is not at all. ``compress`` is before or after signing."""

    sign: str = "sha256"
    encrypt: str = "aes256-cbc"
    compress: str = ""
    pss: bool = False
    oaep: bool = False


@dataclass(frozen=True, slots=True)
class Built:
    """What goes on the wire, and the MIC that the receipt must show."""

    content_type: str
    body: bytes
    mic: str
    micalg: str


@dataclass(frozen=True, slots=True)
class Received:
    """What a message held. ``layers`` names its wrappings from the outside in."""

    payload: Payload
    mic: str
    micalg: str
    layers: tuple[str, ...]
    signer: x509.Certificate | None

    @property
    def signed(self) -> bool:
        """Was there a signature that held?"""
        return self.signer is not None

    @property
    def encrypted(self) -> bool:
        """Was it encrypted?"""
        return any(layer.startswith("encrypted") for layer in self.layers)


def mic_of(data: bytes, digest: str) -> str:
    """A MIC as receipts show it: base64 of the digest."""
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
    """Wrap a payload as agreed; ``digest`` is for the MIC where nothing is signed.

    Raises ValueError if it is to be encrypted and ``theirs`` has no RSA key.
    """
    # Declared binary: line ends and bytes are then nobody's to change on the way.
    inner = mime.entity(
        [("Content-Type", payload.content_type), ("Content-Transfer-Encoding", "binary")], payload.content
    )
    whole, content_type, body = inner, payload.content_type, payload.content
    if security.compress == "before":
        whole = _pkcs7("compressed-data", cms.compress(whole))
    covered = inner if security.encrypt else payload.content
    if security.sign:
        digest, covered = security.sign, whole
        signature = cms.sign(whole, ours.key, ours.certificate, digest, pss=security.pss)
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
            [whole, part],
        )
        whole = mime.entity([("Content-Type", content_type)], body)
    if security.compress == "after":
        whole = _pkcs7("compressed-data", cms.compress(whole))
    if security.encrypt:
        if theirs is None:
            raise ValueError("no certificate to encrypt to")
        kind = "authEnveloped-data" if security.encrypt.endswith("-gcm") else "enveloped-data"
        body = cms.encrypt(whole, theirs, security.encrypt, oaep=security.oaep)
        content_type = f"application/pkcs7-mime; smime-type={kind}; name=smime.p7m"
    elif security.compress == "after" or (security.compress and not security.sign):
        outer = mime.parse(whole)
        content_type, body = outer.field("content-type"), outer.body
    return Built(content_type, body, mic_of(covered, digest), digest)


def read(
    entity: Entity,
    ours: Identity,
    trusted: Sequence[x509.Certificate],
    *,
    most: int,
    legacy: bool = False,
    digest: str = "sha256",
) -> Received:
    """Unwrap a message. ``most`` bounds each decompressed layer; ``digest`` is for the MIC if unsigned.

    Raises As2Error.
    """
    layers: list[str] = []
    signer: x509.Certificate | None = None
    covered: bytes | None = None
    wrapped = False
    for _ in range(DEEPEST):
        kind = entity.content_type
        if kind == "multipart/signed":
            if signer is not None:
                raise As2Error(Modifier.FORMAT, "signed twice")
            signed, entity = detached(entity, trusted, legacy)
            signer, digest, covered = signed.signer, signed.digest, signed.content
            layers.append(f"signed {digest}")
        elif kind in _PKCS7:
            data = entity.decoded()
            what = cms.content_kind(data)
            if what in ("enveloped_data", "authenticated_enveloped_data"):
                plain, cipher = cms.decrypt(data, ours.key, ours.certificate, legacy=legacy)
                layers.append(f"encrypted {cipher}")
                entity, wrapped = mime.parse(plain), True
            elif what == "compressed_data":
                entity = mime.parse(cms.decompress(data, most))
                layers.append("compressed zlib")
            elif what == "signed_data":
                if signer is not None:
                    raise As2Error(Modifier.FORMAT, "signed twice")
                opaque = cms.verify(data, trusted, None, legacy=legacy)
                signer, digest, covered = opaque.signer, opaque.digest, opaque.content
                layers.append(f"signed opaque {digest}")
                entity = mime.parse(opaque.content)
            else:
                raise As2Error(Modifier.FORMAT, f"CMS {what} is not served")
        else:
            break
    else:
        raise As2Error(Modifier.FORMAT, f"more than {DEEPEST} layers")
    content = entity.decoded()
    if covered is None:
        covered = entity.raw if wrapped else content
    payload = Payload(entity.field("content-type") or "text/plain", content)
    return Received(payload, mic_of(covered, digest), digest, tuple(layers), signer)


def detached(entity: Entity, trusted: Sequence[x509.Certificate], legacy: bool) -> tuple[cms.Signed, Entity]:
    """Check a multipart/signed (RFC 8551, section 3.5.3); the parts may come with others around them."""
    found = mime.parts(entity)
    signature = next((part for part in reversed(found) if part.content_type in _SIGNATURE), None)
    if signature is None or found[0] is signature:
        raise As2Error(Modifier.AUTHENTICATION, "multipart/signed without content and signature")
    content, data = found[0], signature.decoded()
    try:
        return cms.verify(data, trusted, content.raw, legacy=legacy), content
    except As2Error as error:
        canonical = content.raw.replace(b"\r\n", b"\n").replace(b"\n", b"\r\n")
        if error.modifier is not Modifier.INTEGRITY or canonical == content.raw:
            raise
        # Signed in canonical form, then line ends changed on the way (RFC 8551, section 3.1.1).
        return cms.verify(data, trusted, canonical, legacy=legacy), content
