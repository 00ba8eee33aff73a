"""Encrypts and decrypts EnvelopedData and AuthEnvelopedData (RFC 5652, 5083, 5084)."""

from __future__ import annotations

import os
from typing import Any

from asn1crypto import algos, cms, core
from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.decrepit.ciphers.algorithms import TripleDES
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import padding, rsa
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.padding import PKCS7
from cryptography.hazmat.primitives.serialization import pkcs7

from brassweir.as2.cms.common import (
    DIGESTS,
    MAX_SIGNERS,
    PrivateKey,
    content_info,
    digest_name,
    raising_as2_error,
    to_asn1,
)
from brassweir.as2.errors import As2Error, Modifier

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
_BUILDER_CIPHERS: dict[str, Any] = {"aes128-cbc": algorithms.AES128, "aes256-cbc": algorithms.AES256}
# DER of the ciphers' object identifiers (RFC 3565, section 4.1), found near the start of an EnvelopedData.
_FAST_PATH_OIDS = {
    "aes128-cbc": bytes.fromhex("0609608648016503040102"),
    "aes256-cbc": bytes.fromhex("060960864801650304012a"),
}
_OID_SEARCH_BYTES = 4096


class _GcmParameters(core.Sequence):  # type: ignore[misc]
    """AES-GCM parameters (RFC 5084, section 3.2)."""

    _fields = [("nonce", core.OctetString), ("icv_len", core.Integer, {"default": 12})]


def encrypt(content: bytes, certificate: x509.Certificate, cipher: str, *, oaep: bool = False) -> bytes:
    """Returns an EnvelopedData, or AuthEnvelopedData for GCM, for one recipient with an RSA key, in DER.

    Raises ValueError if the certificate's key is no RSA key.
    """
    public = certificate.public_key()
    if not isinstance(public, rsa.RSAPublicKey):
        raise ValueError("only RSA certificates can be encrypted to")
    if cipher in _BUILDER_CIPHERS and not oaep:
        return (
            pkcs7.PKCS7EnvelopeBuilder()
            .set_data(content)
            .add_recipient(certificate)
            .set_content_encryption_algorithm(_BUILDER_CIPHERS[cipher])
            .encrypt(serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary])
        )
    content_key = os.urandom(CIPHERS[cipher])
    cert = to_asn1(certificate)
    if oaep:
        wrapped = public.encrypt(
            content_key, padding.OAEP(padding.MGF1(hashes.SHA256()), hashes.SHA256(), None)
        )
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
        wrapped = public.encrypt(content_key, padding.PKCS1v15())
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
        sealed = AESGCM(content_key).encrypt(nonce, content, None)
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
    encryptor = _cbc(cipher, content_key, iv).encryptor()
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


def _cbc(cipher: str, content_key: bytes, iv: bytes) -> Cipher[modes.CBC]:
    kind = TripleDES(content_key) if cipher == "3des" else algorithms.AES(content_key)
    return Cipher(kind, modes.CBC(iv))


@raising_as2_error(Modifier.DECRYPTION, "cannot be decrypted")
def decrypt(
    data: bytes, key: PrivateKey, certificate: x509.Certificate, *, legacy: bool = False
) -> tuple[bytes, str]:
    """Returns the content of an EnvelopedData or AuthEnvelopedData, and its cipher. Raises As2Error.

    A content key that cannot be unwrapped is replaced by a random one, which prevents padding-oracle attacks
    on the RSA key (RFC 3218, section 2.3).
    """
    if not isinstance(key, rsa.RSAPrivateKey):
        raise As2Error(Modifier.DECRYPTION, "our key here is no RSA key")
    fast_path_cipher = next(
        (name for name, oid in _FAST_PATH_OIDS.items() if oid in data[:_OID_SEARCH_BYTES]), None
    )
    if fast_path_cipher is not None:
        try:  # fast path of cryptography: DER, AES-CBC, PKCS #1 v1.5
            return pkcs7.pkcs7_decrypt_der(data, certificate, key, []), fast_path_cipher
        except (ValueError, UnsupportedAlgorithm):
            pass  # BER, other key transport or another recipient: retried below
    info = content_info(data)
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
    content_key = _unwrap(body["recipient_infos"], key, certificate, CIPHERS[cipher])
    content = sealed["encrypted_content"].native or b""
    if gcm:
        parameters = algorithm["parameters"].parse(_GcmParameters)
        if parameters["icv_len"].native != len(body["mac"].native) or len(body["mac"].native) < 12:
            raise As2Error(Modifier.DECRYPTION, "authentication tag of a wrong length")
        aad = body["auth_attrs"].untag().dump(force=True) if len(body["auth_attrs"]) else None
        if len(body["mac"].native) != 16:
            raise As2Error(Modifier.DECRYPTION, "authentication tags under 16 bytes are not served")
        return AESGCM(content_key).decrypt(
            parameters["nonce"].native, content + body["mac"].native, aad
        ), cipher
    decryptor = _cbc(cipher, content_key, algorithm["parameters"].native).decryptor()
    unpadder = PKCS7(64 if cipher == "3des" else 128).unpadder()
    plain = decryptor.update(content) + decryptor.finalize()
    return unpadder.update(plain) + unpadder.finalize(), cipher


def _unwrap(recipients: Any, key: rsa.RSAPrivateKey, certificate: x509.Certificate, size: int) -> bytes:
    cert = to_asn1(certificate)
    for recipient in list(recipients)[: MAX_SIGNERS * 4]:
        if recipient.name != "ktri":
            continue
        chosen = recipient.chosen
        rid = chosen["rid"]
        if rid.name == "issuer_and_serial_number":
            matches = (
                rid.chosen["serial_number"].native == cert.serial_number
                and rid.chosen["issuer"].hashable == cert.issuer.hashable
            )
        else:
            matches = rid.chosen.native == cert.key_identifier
        if not matches:
            continue
        scheme: padding.AsymmetricPadding = padding.PKCS1v15()
        algorithm = chosen["key_encryption_algorithm"]
        if algorithm["algorithm"].native == "rsaes_oaep":
            parameters = algorithm["parameters"]
            digest = DIGESTS[digest_name(str(parameters["hash_algorithm"]["algorithm"].native))]()
            mask = parameters["mask_gen_algorithm"]["parameters"]["algorithm"].native
            scheme = padding.OAEP(padding.MGF1(DIGESTS[digest_name(str(mask))]()), digest, None)
        try:
            content_key = key.decrypt(chosen["encrypted_key"].native, scheme)
        except ValueError:
            content_key = b""
        return content_key if len(content_key) == size else os.urandom(size)
    raise As2Error(Modifier.DECRYPTION, "encrypted for another certificate")
