"""Makes SignedData (RFC 5652, section 5) and verifies it with agreed certificates."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, cast

from asn1crypto import cms
from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, padding, rsa
from cryptography.hazmat.primitives.serialization import pkcs7

from brassweir.as2.cms.common import (
    DIGESTS,
    LEGACY_DIGESTS,
    MAX_SIGNERS,
    PrivateKey,
    content_info,
    digest_name,
    raising_as2_error,
    to_asn1,
)
from brassweir.as2.errors import As2Error, Modifier


def sign(
    content: bytes,
    key: PrivateKey,
    certificate: x509.Certificate,
    digest: str,
    *,
    pss: bool = False,
    detached: bool = True,
) -> bytes:
    """Returns a SignedData over ``content`` with one signer, in DER."""
    if digest not in LEGACY_DIGESTS:
        scheme = _pss(DIGESTS[digest]()) if pss and isinstance(key, rsa.RSAPrivateKey) else None
        builder = (
            pkcs7.PKCS7SignatureBuilder()
            .set_data(content)
            .add_signer(certificate, key, cast(Any, DIGESTS[digest]()), rsa_padding=scheme)
        )
        options = [pkcs7.PKCS7Options.Binary, pkcs7.PKCS7Options.NoCapabilities]
        if detached:
            options.append(pkcs7.PKCS7Options.DetachedSignature)
        return builder.sign(serialization.Encoding.DER, options)
    return _sign_legacy(content, key, certificate, digest, detached)


def _pss(algorithm: hashes.HashAlgorithm) -> padding.PSS:
    return padding.PSS(padding.MGF1(algorithm), algorithm.digest_size)


def _sign_legacy(
    content: bytes, key: PrivateKey, certificate: x509.Certificate, digest: str, detached: bool
) -> bytes:
    """Does what ``sign`` does with a digest that cryptography's builder does not support."""
    algorithm = DIGESTS[digest]()
    cert = to_asn1(certificate)
    attributes = cms.CMSAttributes(
        [
            cms.CMSAttribute({"type": "content_type", "values": ["data"]}),
            cms.CMSAttribute(
                {
                    "type": "signing_time",
                    "values": [cms.Time({"utc_time": datetime.now(UTC).replace(microsecond=0)})],
                }
            ),
            cms.CMSAttribute({"type": "message_digest", "values": [hashlib.new(digest, content).digest()]}),
        ]
    )
    signed = attributes.dump()
    if isinstance(key, ec.EllipticCurvePrivateKey):
        signature = key.sign(signed, ec.ECDSA(algorithm))
        kind: Any = {"algorithm": f"{digest}_ecdsa"}
    else:
        signature = key.sign(signed, padding.PKCS1v15(), algorithm)
        kind = {"algorithm": "rsassa_pkcs1v15"}
    signer = cms.SignerInfo(
        {
            "version": "v1",
            "sid": cms.SignerIdentifier(
                {"issuer_and_serial_number": {"issuer": cert.issuer, "serial_number": cert.serial_number}}
            ),
            "digest_algorithm": {"algorithm": digest},
            "signed_attrs": attributes,
            "signature_algorithm": kind,
            "signature": signature,
        }
    )
    return bytes(
        cms.ContentInfo(
            {
                "content_type": "signed_data",
                "content": cms.SignedData(
                    {
                        "version": "v1",
                        "digest_algorithms": [{"algorithm": digest}],
                        "encap_content_info": {
                            "content_type": "data",
                            "content": None if detached else content,
                        },
                        "certificates": [cert],
                        "signer_infos": [signer],
                    }
                ),
            }
        ).dump()
    )


@dataclass(frozen=True, slots=True)
class Signed:
    """A valid signature: its digest, its signer's certificate and the signed content."""

    digest: str
    signer: x509.Certificate
    content: bytes


@raising_as2_error(Modifier.AUTHENTICATION, "signature cannot be read")
def verify(
    data: bytes, trusted: Sequence[x509.Certificate], content: bytes | None, *, legacy: bool = False
) -> Signed:
    """Verifies a SignedData with the trusted certificates; ``content`` is None if it is in the SignedData.

    Raises As2Error: integrity-check-failed if the content differs from what was signed, authentication-failed
    if no trusted certificate's key made the signature or its digest is not allowed.
    """
    info = content_info(data)
    if info["content_type"].native != "signed_data":
        raise As2Error(Modifier.AUTHENTICATION, "no SignedData where a signature is due")
    signed = info["content"]
    if content is None:
        content = signed["encap_content_info"]["content"].native
        if not isinstance(content, bytes):
            raise As2Error(Modifier.AUTHENTICATION, "signature without content")
    signers = list(signed["signer_infos"])
    if not 1 <= len(signers) <= MAX_SIGNERS:
        raise As2Error(Modifier.AUTHENTICATION, f"{len(signers)} signers")
    problem = As2Error(Modifier.AUTHENTICATION, "signed by no certificate agreed with this partner")
    for signer in signers:
        digest = digest_name(str(signer["digest_algorithm"]["algorithm"].native))
        if digest in LEGACY_DIGESTS and not legacy:
            problem = As2Error(Modifier.AUTHENTICATION, f"digest {digest} is not allowed here")
            continue
        signer_certificate = next(
            (cert for cert in trusted if _signed_by(signer, cert, digest, content)), None
        )
        if signer_certificate is None:
            continue
        if not _digest_matches(signer, digest, content):
            problem = As2Error(Modifier.INTEGRITY, "content is not what was signed")
            continue
        return Signed(digest, signer_certificate, content)
    raise problem


def _signed_by(signer: Any, certificate: x509.Certificate, digest: str, content: bytes) -> bool:
    """Whether the key of this certificate made the signature."""
    attributes = signer["signed_attrs"]
    if not len(attributes):
        return _is_valid(signer, certificate, digest, content)
    # The signature covers the attributes as an explicit SET OF in DER (RFC 5652, section 5.4). Tries the
    # received bytes with that tag first, because encoding them again costs more than verifying the signature.
    encoded = attributes.dump()
    return (
        encoded[1] != 0x80
        and _is_valid(signer, certificate, digest, b"\x31" + encoded[1:])
        or _is_valid(signer, certificate, digest, attributes.untag().dump(force=True))
    )


def _is_valid(signer: Any, certificate: x509.Certificate, digest: str, covered: bytes) -> bool:
    """Whether this is the signature of ``covered`` by the key of this certificate."""
    kind = str(signer["signature_algorithm"]["algorithm"].native)
    signature = signer["signature"].native
    algorithm = DIGESTS[digest]()
    key = certificate.public_key()
    try:
        if isinstance(key, rsa.RSAPublicKey):
            if kind == "rsassa_pss":
                salt = int(signer["signature_algorithm"]["parameters"]["salt_length"].native)
                scheme: padding.AsymmetricPadding = padding.PSS(padding.MGF1(algorithm), salt)
            else:
                scheme = padding.PKCS1v15()
            key.verify(signature, covered, scheme, algorithm)
        elif isinstance(key, ec.EllipticCurvePublicKey):
            key.verify(signature, covered, ec.ECDSA(algorithm))
        else:
            return False
    except InvalidSignature:
        return False
    return True


def _digest_matches(signer: Any, digest: str, content: bytes) -> bool:
    """Whether the signed digest is that of the content."""
    attributes = signer["signed_attrs"]
    if not len(attributes):
        return True  # the signature was made over the content itself
    for attribute in attributes:
        if attribute["type"].native == "message_digest":
            return bool(attribute["values"][0].native == hashlib.new(digest, content).digest())
    return False


@raising_as2_error(Modifier.AUTHENTICATION, "signature cannot be read")
def embedded(data: bytes) -> list[x509.Certificate]:
    """Returns the certificates inside a SignedData, for display only. Raises As2Error."""
    certificates = content_info(data)["content"]["certificates"]
    return [x509.load_der_x509_certificate(cert.chosen.dump()) for cert in certificates or []]
