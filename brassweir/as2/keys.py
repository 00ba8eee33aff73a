"""Creates, writes and describes keys and certificates in PEM."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509.oid import NameOID

from brassweir.as2.cms import PrivateKey
from brassweir.as2.message import Identity

KINDS = ("rsa2048", "rsa3072", "rsa4096", "ec256", "ec384")


def make(as2_id: str, kind: str = "rsa2048", days: float = 365.0, start: datetime | None = None) -> Identity:
    """Creates a key with a self-signed certificate. Raises ValueError for an unknown kind."""
    key: PrivateKey
    if kind.startswith("rsa") and kind in KINDS:
        key = rsa.generate_private_key(65537, int(kind[3:]))
    elif kind in KINDS:
        key = ec.generate_private_key(ec.SECP256R1() if kind == "ec256" else ec.SECP384R1())
    else:
        raise ValueError(f"kind {kind!r} is none of {', '.join(KINDS)}")
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, as2_id[:64])])
    begin = start or datetime.now(UTC) - timedelta(minutes=5)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(begin)
        .not_valid_after(begin + timedelta(days=days))
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False)
        .sign(key, hashes.SHA256())
    )
    return Identity(as2_id, key, certificate)


def file_name(as2_id: str) -> str:
    """Returns a file name for an AS2 name."""
    return re.sub(r"[^A-Za-z0-9._-]", "_", as2_id)


def write(identity: Identity, folder: Path) -> tuple[Path, Path]:
    """Writes ``NAME.key.pem``, readable by its owner only, and ``NAME.crt.pem``; returns their paths.

    Raises FileExistsError if the key exists already, and other OSErrors.
    """
    folder.mkdir(parents=True, exist_ok=True)
    base = file_name(identity.as2_id)
    key, certificate = folder / f"{base}.key.pem", folder / f"{base}.crt.pem"
    key.touch(mode=0o600, exist_ok=False)
    key.write_bytes(
        identity.key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    certificate.write_bytes(identity.certificate.public_bytes(serialization.Encoding.PEM))
    return key, certificate


@dataclass(frozen=True, slots=True)
class Shown:
    """Description of a certificate, as commands print it."""

    subject: str
    issuer: str
    serial: str
    begins: str
    ends: str
    key: str
    sha256: str


def show(certificate: x509.Certificate) -> Shown:
    """Describes a certificate."""
    public = certificate.public_key()
    if isinstance(public, rsa.RSAPublicKey):
        key = f"RSA {public.key_size}"
    elif isinstance(public, ec.EllipticCurvePublicKey):
        key = f"EC {public.curve.name}"
    else:
        key = type(public).__name__
    return Shown(
        certificate.subject.rfc4514_string(),
        certificate.issuer.rfc4514_string(),
        f"{certificate.serial_number:x}",
        certificate.not_valid_before_utc.isoformat(),
        certificate.not_valid_after_utc.isoformat(),
        key,
        certificate.fingerprint(hashes.SHA256()).hex(),
    )
