"""CMS objects (RFC 5652, 3274, 5083, 5084, 8551) on asn1crypto's structures and cryptography's primitives.

Certificates are trusted one by one, without chains: a signature is accepted if it was made with the key of a
certificate agreed with the partner. Certificates inside a message are never trusted. Reads BER and DER;
writes DER.
"""

from brassweir.as2.cms.common import DIGESTS, LEGACY_DIGESTS, PrivateKey, content_kind, digest_name, micalg
from brassweir.as2.cms.compression import compress, decompress
from brassweir.as2.cms.envelopes import CIPHERS, LEGACY_CIPHERS, decrypt, encrypt
from brassweir.as2.cms.signatures import Signed, embedded, sign, verify

__all__ = [
    "CIPHERS",
    "DIGESTS",
    "LEGACY_CIPHERS",
    "LEGACY_DIGESTS",
    "PrivateKey",
    "Signed",
    "compress",
    "content_kind",
    "decompress",
    "decrypt",
    "digest_name",
    "embedded",
    "encrypt",
    "micalg",
    "sign",
    "verify",
]
