"""CMS objects (RFC 5652, 3274, 5083, 5084, 8551) on asn1crypto's structures and cryptography's primitives.

Trust is by certificate, not by chain: a signature counts if one of the certificates agreed with the partner
made it. Certificates inside a message are never trusted. Reading takes BER and DER; writing is DER.
"""

from __future__ import annotations

import hashlib
import os
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import lru_cache
from typing import Any, ParamSpec, TypeVar, cast

from asn1crypto import algos, cms, core
from asn1crypto import x509 as asn1x509
from cryptography import x509
from cryptography.exceptions import InvalidSignature, InvalidTag, UnsupportedAlgorithm
from cryptography.hazmat.decrepit.ciphers.algorithms import TripleDES
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, padding, rsa
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.padding import PKCS7
from cryptography.hazmat.primitives.serialization import pkcs7

from brassweir.as2.errors import As2Error, Modifier

PrivateKey = rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey

DIGESTS: dict[str, Callable[[], hashes.HashAlgorithm]] = {
    "sha1": hashes.SHA1,
    "sha224": hashes.SHA224,
    "sha256": hashes.SHA256,
    "sha384": hashes.SHA384,
    "sha512": hashes.SHA512,
}
LEGACY_DIGESTS = frozenset({"sha1"})
CIPHERS = {
    "aes128-cbc": 16,
    "aes192-cbc": 24,
    "aes256-cbc": 32,
    "3des": 24,
    "aes128-gcm": 16,
    "aes192-gcm": 24,
    "aes256-gcm": 32,
}
LEGACY_CIPHERS = frozenset({"3des"})
_CIPHER_OIDS = {
    "aes128_cbc": "aes128-cbc",
    "aes192_cbc": "aes192-cbc",
    "aes256_cbc": "aes256-cbc",
    "tripledes_3key": "3des",
    "aes128_gcm": "aes128-gcm",
    "aes192_gcm": "aes192-gcm",
    "aes256_gcm": "aes256-gcm",
}
_PLAIN_CIPHERS: dict[str, Any] = {"aes128-cbc": algorithms.AES128, "aes256-cbc": algorithms.AES256}
_MOST_SIGNERS = 8  # signatures are costly to check: a message with more is no honest one

# The DER of the object identifiers (RFC 3565, section 4.1), which stand within the head of an EnvelopedData.
_PLAIN_OIDS = {
    "aes128-cbc": bytes.fromhex("0609608648016503040102"),
    "aes256-cbc": bytes.fromhex("060960864801650304012a"),
}
_HEAD = 4096

_P = ParamSpec("_P")
_T = TypeVar("_T")


class _GcmParameters(core.Sequence):  # type: ignore[misc]
    """AES-GCM parameters (RFC 5084, section 3.2)."""

    _fields = [("nonce", core.OctetString), ("icv_len", core.Integer, {"default": 12})]


def _guard(modifier: Modifier, what: str) -> Callable[[Callable[_P, _T]], Callable[_P, _T]]:
    """Turn every error that hostile bytes can raise below into the codec's own."""

    def around(function: Callable[_P, _T]) -> Callable[_P, _T]:
        def inner(*args: _P.args, **kwargs: _P.kwargs) -> _T:
            try:
                return function(*args, **kwargs)
            except As2Error:
                raise
            except (
                ValueError,
                TypeError,
                KeyError,
                IndexError,
                AttributeError,
                OverflowError,
                RecursionError,
                UnsupportedAlgorithm,
                InvalidTag,
                zlib.error,
                NotImplementedError,
            ) as error:
                raise As2Error(modifier, f"{what}: {type(error).__name__}: {str(error)[:200]}") from None

        inner.__name__, inner.__doc__ = function.__name__, function.__doc__
        return inner

    return around


def digest_name(name: str) -> str:
    """The plain name of a digest however it is spelled: sha256, sha-256, SHA256, rsa-sha1.

    Raises As2Error for one that is not known.
    """
    plain = name.strip().strip('"').lower().replace("-", "").replace("_", "").removeprefix("rsa")
    if plain not in DIGESTS:
        raise As2Error(Modifier.MIC, f"unknown digest {name[:40]!r}")
    return plain


def micalg(name: str) -> str:
    """A digest as RFC 5751 spells it in micalg."""
    return name if name == "sha1" else name.replace("sha", "sha-")


def content_kind(data: bytes) -> str:
    """What kind of CMS object this is, such as ``signed_data``. Raises As2Error."""
    return str(_content_info(data)["content_type"].native)


@_guard(Modifier.FORMAT, "CMS object cannot be read")
def _content_info(data: bytes) -> Any:
    info = cms.ContentInfo.load(data)
    info["content_type"].native  # noqa: B018 - parsed lazily: an error is to come here
    return info


@lru_cache(4096)
def _asn1(certificate: x509.Certificate) -> Any:
    return asn1x509.Certificate.load(certificate.public_bytes(serialization.Encoding.DER))


# ---- signatures


def sign(
    content: bytes,
    key: PrivateKey,
    certificate: x509.Certificate,
    digest: str,
    *,
    pss: bool = False,
    detached: bool = True,
) -> bytes:
    """A SignedData over ``content`` with one signer, DER (RFC 5652, section 5)."""
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
    """The same with a digest that cryptography's own builder no longer writes."""
    algorithm = DIGESTS[digest]()
    cert = _asn1(certificate)
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
    """A signature that holds: its digest, who made it, and the content it covers."""

    digest: str
    signer: x509.Certificate
    content: bytes


@_guard(Modifier.AUTHENTICATION, "signature cannot be read")
def verify(
    data: bytes, trusted: Sequence[x509.Certificate], content: bytes | None, *, legacy: bool = False
) -> Signed:
    """Check a SignedData against the trusted certificates; ``content`` is given if it is detached.

    Raises As2Error: integrity-check-failed if the content is not what was signed, authentication-failed if
    no trusted certificate made the signature or its digest is not allowed.
    """
    info = _content_info(data)
    if info["content_type"].native != "signed_data":
        raise As2Error(Modifier.AUTHENTICATION, "no SignedData where a signature is due")
    signed = info["content"]
    if content is None:
        content = signed["encap_content_info"]["content"].native
        if not isinstance(content, bytes):
            raise As2Error(Modifier.AUTHENTICATION, "signature without content")
    signers = list(signed["signer_infos"])
    if not 1 <= len(signers) <= _MOST_SIGNERS:
        raise As2Error(Modifier.AUTHENTICATION, f"{len(signers)} signers")
    problem = As2Error(Modifier.AUTHENTICATION, "signed by no certificate agreed with this partner")
    for signer in signers:
        digest = digest_name(str(signer["digest_algorithm"]["algorithm"].native))
        if digest in LEGACY_DIGESTS and not legacy:
            problem = As2Error(Modifier.AUTHENTICATION, f"digest {digest} is not allowed here")
            continue
        maker = next((cert for cert in trusted if _made(signer, cert, digest, content)), None)
        if maker is None:
            continue
        if not _covers(signer, digest, content):
            problem = As2Error(Modifier.INTEGRITY, "content is not what was signed")
            continue
        return Signed(digest, maker, content)
    raise problem


def _made(signer: Any, certificate: x509.Certificate, digest: str, content: bytes) -> bool:
    """Did the key of this certificate make the signature?"""
    attributes = signer["signed_attrs"]
    if not len(attributes):
        return _holds(signer, certificate, digest, content)
    # Signed as an explicit SET OF in DER, whatever the message holds (RFC 5652, section 5.4). Nearly always
    # it holds just that but for the tag; putting it in order anew costs more than the signature.
    held = attributes.dump()
    return (
        held[1] != 0x80
        and _holds(signer, certificate, digest, b"\x31" + held[1:])
        or _holds(signer, certificate, digest, attributes.untag().dump(force=True))
    )


def _holds(signer: Any, certificate: x509.Certificate, digest: str, covered: bytes) -> bool:
    """Is this the signature of these bytes by the key of this certificate?"""
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


def _covers(signer: Any, digest: str, content: bytes) -> bool:
    """Does the signed digest belong to this content?"""
    attributes = signer["signed_attrs"]
    if not len(attributes):
        return True  # the signature was made over the content itself
    for attribute in attributes:
        if attribute["type"].native == "message_digest":
            return bool(attribute["values"][0].native == hashlib.new(digest, content).digest())
    return False


@_guard(Modifier.AUTHENTICATION, "signature cannot be read")
def embedded(data: bytes) -> list[x509.Certificate]:
    """The certificates a SignedData carries, for showing only. Raises As2Error."""
    found = _content_info(data)["content"]["certificates"]
    return [x509.load_der_x509_certificate(cert.chosen.dump()) for cert in found or []]


# ---- encryption


def encrypt(content: bytes, certificate: x509.Certificate, cipher: str, *, oaep: bool = False) -> bytes:
    """An EnvelopedData, or AuthEnvelopedData for GCM, for one recipient with an RSA key; DER.

    Raises ValueError if the certificate's key is no RSA key.
    """
    public = certificate.public_key()
    if not isinstance(public, rsa.RSAPublicKey):
        raise ValueError("only RSA certificates can be encrypted to")
    if cipher in _PLAIN_CIPHERS and not oaep:
        return (
            pkcs7.PKCS7EnvelopeBuilder()
            .set_data(content)
            .add_recipient(certificate)
            .set_content_encryption_algorithm(_PLAIN_CIPHERS[cipher])
            .encrypt(serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary])
        )
    secret = os.urandom(CIPHERS[cipher])
    cert = _asn1(certificate)
    if oaep:
        wrapped = public.encrypt(secret, padding.OAEP(padding.MGF1(hashes.SHA256()), hashes.SHA256(), None))
        transport: Any = {
            "algorithm": "rsaes_oaep",
            "parameters": algos.RSAESOAEPParams(
                {
                    "hash_algorithm": {"algorithm": "sha256"},
                    "mask_gen_algorithm": {"algorithm": "mgf1", "parameters": {"algorithm": "sha256"}},
                }
            ),
        }
    else:
        wrapped = public.encrypt(secret, padding.PKCS1v15())
        transport = {"algorithm": "rsaes_pkcs1v15"}
    recipient = cms.RecipientInfo(
        "ktri",
        cms.KeyTransRecipientInfo(
            {
                "version": "v0",
                "rid": cms.RecipientIdentifier(
                    {"issuer_and_serial_number": {"issuer": cert.issuer, "serial_number": cert.serial_number}}
                ),
                "key_encryption_algorithm": transport,
                "encrypted_key": wrapped,
            }
        ),
    )
    if cipher.endswith("-gcm"):
        nonce = os.urandom(12)
        sealed = AESGCM(secret).encrypt(nonce, content, None)
        parameters = core.Any(_GcmParameters({"nonce": nonce, "icv_len": 16}))
        body = cms.AuthEnvelopedData(
            {
                "version": "v0",
                "recipient_infos": [recipient],
                "auth_encrypted_content_info": {
                    "content_type": "data",
                    "content_encryption_algorithm": {
                        "algorithm": cipher.replace("-", "_"),
                        "parameters": parameters,
                    },
                    "encrypted_content": sealed[:-16],
                },
                "mac": sealed[-16:],
            }
        )
        return bytes(
            cms.ContentInfo({"content_type": "authenticated_enveloped_data", "content": body}).dump()
        )
    block = 8 if cipher == "3des" else 16
    iv = os.urandom(block)
    padder = PKCS7(block * 8).padder()
    encryptor = _cbc(cipher, secret, iv).encryptor()
    sealed = encryptor.update(padder.update(content) + padder.finalize()) + encryptor.finalize()
    name = "tripledes_3key" if cipher == "3des" else cipher.replace("-", "_")
    return bytes(
        cms.ContentInfo(
            {
                "content_type": "enveloped_data",
                "content": cms.EnvelopedData(
                    {
                        "version": "v0",
                        "recipient_infos": [recipient],
                        "encrypted_content_info": {
                            "content_type": "data",
                            "content_encryption_algorithm": {"algorithm": name, "parameters": iv},
                            "encrypted_content": sealed,
                        },
                    }
                ),
            }
        ).dump()
    )


def _cbc(cipher: str, secret: bytes, iv: bytes) -> Cipher[modes.CBC]:
    kind = TripleDES(secret) if cipher == "3des" else algorithms.AES(secret)
    return Cipher(kind, modes.CBC(iv))


@_guard(Modifier.DECRYPTION, "cannot be decrypted")
def decrypt(
    data: bytes, key: PrivateKey, certificate: x509.Certificate, *, legacy: bool = False
) -> tuple[bytes, str]:
    """The content of an EnvelopedData or AuthEnvelopedData, and its cipher. Raises As2Error.

    A key that does not unwrap is replaced by a random one, so that whoever probes paddings sees no
    difference (RFC 3218, section 2.3).
    """
    if not isinstance(key, rsa.RSAPrivateKey):
        raise As2Error(Modifier.DECRYPTION, "our key here is no RSA key")
    plain_cipher = next((name for name, oid in _PLAIN_OIDS.items() if oid in data[:_HEAD]), None)
    if plain_cipher is not None:
        try:  # most messages: DER, AES-CBC, PKCS #1 v1.5, and read in one go by cryptography itself
            return pkcs7.pkcs7_decrypt_der(data, certificate, key, []), plain_cipher
        except (ValueError, UnsupportedAlgorithm):
            pass  # BER, other key transport or another recipient: and what fails, fails below
    info = _content_info(data)
    kind = info["content_type"].native
    if kind not in ("enveloped_data", "authenticated_enveloped_data"):
        raise As2Error(Modifier.DECRYPTION, f"no enveloped data but {kind}")
    body = info["content"]
    gcm = kind == "authenticated_enveloped_data"
    sealed = body["auth_encrypted_content_info" if gcm else "encrypted_content_info"]
    algorithm = sealed["content_encryption_algorithm"]
    cipher = _CIPHER_OIDS.get(str(algorithm["algorithm"].native))
    if cipher is None or gcm != cipher.endswith("-gcm"):
        raise As2Error(Modifier.DECRYPTION, f"cipher {algorithm['algorithm'].native} is not served")
    if cipher in LEGACY_CIPHERS and not legacy:
        raise As2Error(Modifier.SECURITY, f"cipher {cipher} is not allowed here")
    secret = _unwrap(body["recipient_infos"], key, certificate, CIPHERS[cipher])
    content = sealed["encrypted_content"].native or b""
    if gcm:
        parameters = algorithm["parameters"].parse(_GcmParameters)
        if parameters["icv_len"].native != len(body["mac"].native) or len(body["mac"].native) < 12:
            raise As2Error(Modifier.DECRYPTION, "authentication tag of a wrong length")
        aad = body["auth_attrs"].untag().dump(force=True) if len(body["auth_attrs"]) else None
        if len(body["mac"].native) != 16:
            raise As2Error(Modifier.DECRYPTION, "authentication tags under 16 bytes are not served")
        return AESGCM(secret).decrypt(parameters["nonce"].native, content + body["mac"].native, aad), cipher
    decryptor = _cbc(cipher, secret, algorithm["parameters"].native).decryptor()
    unpadder = PKCS7(64 if cipher == "3des" else 128).unpadder()
    plain = decryptor.update(content) + decryptor.finalize()
    return unpadder.update(plain) + unpadder.finalize(), cipher


def _unwrap(recipients: Any, key: rsa.RSAPrivateKey, certificate: x509.Certificate, size: int) -> bytes:
    cert = _asn1(certificate)
    for recipient in list(recipients)[: _MOST_SIGNERS * 4]:
        if recipient.name != "ktri":
            continue
        chosen = recipient.chosen
        rid = chosen["rid"]
        if rid.name == "issuer_and_serial_number":
            mine = (
                rid.chosen["serial_number"].native == cert.serial_number
                and rid.chosen["issuer"].hashable == cert.issuer.hashable
            )
        else:
            mine = rid.chosen.native == cert.key_identifier
        if not mine:
            continue
        scheme: padding.AsymmetricPadding = padding.PKCS1v15()
        algorithm = chosen["key_encryption_algorithm"]
        if algorithm["algorithm"].native == "rsaes_oaep":
            parameters = algorithm["parameters"]
            digest = DIGESTS[digest_name(str(parameters["hash_algorithm"]["algorithm"].native))]()
            mask = parameters["mask_gen_algorithm"]["parameters"]["algorithm"].native
            scheme = padding.OAEP(padding.MGF1(DIGESTS[digest_name(str(mask))]()), digest, None)
        try:
            secret = key.decrypt(chosen["encrypted_key"].native, scheme)
        except ValueError:
            secret = b""
        return secret if len(secret) == size else os.urandom(size)
    raise As2Error(Modifier.DECRYPTION, "encrypted for another certificate")


# ---- compression


def compress(content: bytes) -> bytes:
    """A CompressedData with zlib, DER (RFC 3274)."""
    return bytes(
        cms.ContentInfo(
            {
                "content_type": "compressed_data",
                "content": cms.CompressedData(
                    {
                        "version": "v0",
                        "compression_algorithm": {"algorithm": "zlib"},
                        "encap_content_info": {"content_type": "data", "content": zlib.compress(content)},
                    }
                ),
            }
        ).dump()
    )


@_guard(Modifier.DECOMPRESSION, "cannot be decompressed")
def decompress(data: bytes, most: int) -> bytes:
    """The content of a CompressedData, at most ``most`` bytes. Raises As2Error."""
    info = _content_info(data)
    if info["content_type"].native != "compressed_data":
        raise As2Error(Modifier.DECOMPRESSION, "no CompressedData where one is due")
    packed = info["content"]["encap_content_info"]["content"].native
    if not isinstance(packed, bytes):
        raise As2Error(Modifier.DECOMPRESSION, "CompressedData without content")
    machine = zlib.decompressobj()
    content = machine.decompress(packed, most + 1)
    if len(content) > most:
        raise As2Error(Modifier.DECOMPRESSION, f"more than {most} bytes when decompressed")
    if not machine.eof:
        raise As2Error(Modifier.DECOMPRESSION, "compressed content was cut")
    return content
