"""Messages and certificates made by another AS2 implementation."""

from __future__ import annotations

from functools import cache
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from brassweir.as2 import mime
from brassweir.as2.message import Identity

DATA = Path(__file__).parent / "data"
PLAIN = (DATA / "plain.mime").read_bytes()
CONTENT = PLAIN.partition(b"\r\n\r\n")[2]
MAX_BYTES = 100_000


def certificate(name: str) -> x509.Certificate:
    return x509.load_pem_x509_certificate((DATA / f"{name}.crt.pem").read_bytes())


@cache
def bob() -> Identity:
    key = load_pem_private_key((DATA / "bob.key.pem").read_bytes(), None)
    return Identity("bob", key, certificate("bob"))  # type: ignore[arg-type]


TRUSTED = [certificate("alice"), certificate("eve")]


def load(name: str) -> mime.Entity:
    raw = (DATA / name).read_bytes()
    return mime.parse(raw) if name.endswith(".mime") else mime.of_http("application/pkcs7-mime", "", raw)
