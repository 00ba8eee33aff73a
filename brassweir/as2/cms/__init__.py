"""CMS objects (RFC 5652, 3274, 5083, 5084, 8551) on asn1crypto's structures and cryptography's primitives.

Trust is by certificate, not by chain: a signature counts if one of the certificates agreed with the partner
made it. Certificates inside a message are never trusted. Reading takes BER and DER; writing is DER.
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
