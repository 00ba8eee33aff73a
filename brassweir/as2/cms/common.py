"""Shared by the CMS modules: digests, parsing of CMS objects, and conversion of parsing errors."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from functools import lru_cache
from typing import Any, ParamSpec, TypeVar

from asn1crypto import cms
from asn1crypto import x509 as asn1x509
from cryptography import x509
from cryptography.exceptions import InvalidTag, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa

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
MAX_SIGNERS = 8  # limits the cost of verifying a hostile message

_P = ParamSpec("_P")
_T = TypeVar("_T")


def raising_as2_error(modifier: Modifier, problem: str) -> Callable[[Callable[_P, _T]], Callable[_P, _T]]:
    """Decorator that converts every error that malformed bytes can raise into As2Error."""

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
                raise As2Error(modifier, f"{problem}: {type(error).__name__}: {str(error)[:200]}") from None

        inner.__name__, inner.__doc__ = function.__name__, function.__doc__
        return inner

    return around


def digest_name(name: str) -> str:
    """Normalizes the name of a digest: sha256, sha-256, SHA256, rsa-sha1.

    Raises As2Error for an unknown digest.
    """
    plain = name.strip().strip('"').lower().replace("-", "").replace("_", "").removeprefix("rsa")
    if plain not in DIGESTS:
        raise As2Error(Modifier.MIC, f"unknown digest {name[:40]!r}")
    return plain


def micalg(name: str) -> str:
    """Returns the name of a digest as RFC 5751 spells it in micalg."""
    return name if name == "sha1" else name.replace("sha", "sha-")


def content_kind(data: bytes) -> str:
    """Returns the content type of a CMS object, such as ``signed_data``. Raises As2Error."""
    return str(content_info(data)["content_type"].native)


@raising_as2_error(Modifier.FORMAT, "CMS object cannot be read")
def content_info(data: bytes) -> Any:
    """Parses a CMS object up to its content type. Raises As2Error."""
    info = cms.ContentInfo.load(data)
    info["content_type"].native  # noqa: B018 - parsed lazily: raises here if malformed
    return info


@lru_cache(4096)
def to_asn1(certificate: x509.Certificate) -> Any:
    """Converts a certificate to asn1crypto's type."""
    return asn1x509.Certificate.load(certificate.public_bytes(serialization.Encoding.DER))
