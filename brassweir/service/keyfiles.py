"""Reads keys, certificates and passwords from files; every error names the setting and the file."""

from __future__ import annotations

from pathlib import Path

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from brassweir.as2.cms import PrivateKey
from brassweir.config.load import ConfigError
from brassweir.config.model import KindModel, PeersModel
from brassweir.forward.link import Credentials
from brassweir.webhook import codec

MIN_PEER_KEY_BYTES = 16


def load_certificate(path: Path, field: str, problems: list[str]) -> x509.Certificate | None:
    """Read a PEM certificate; on failure add a problem and return None."""
    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
        certificate.public_key()  # parsed only here; raises for an unsupported key
        return certificate
    except OSError as error:
        problems.append(f"{field}: {path}: {error.strerror or error}")
    except (ValueError, UnsupportedAlgorithm) as error:
        problems.append(f"{field}: {path}: no PEM certificate: {error}")
    return None


def load_private_key(path: Path, field: str, problems: list[str]) -> PrivateKey | None:
    """Read an unencrypted RSA or EC key in PEM; on failure add a problem and return None."""
    try:
        key = load_pem_private_key(path.read_bytes(), None)
    except OSError as error:
        problems.append(f"{field}: {path}: {error.strerror or error}")
        return None
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        problems.append(f"{field}: {path}: no private key in PEM without a password: {error}")
        return None
    if not isinstance(key, rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey):
        problems.append(f"{field}: {path}: only RSA and EC keys are served")
        return None
    return key


def load_signing_keys(kind: KindModel, base: Path) -> tuple[bytes, ...]:
    """Read the signing keys of a kind of webhooks. Raises ConfigError with all problems."""
    keys, problems = [], []
    for path in kind.secrets:
        try:
            keys.append(codec.parse_secret((base / path).read_text(encoding="ascii").strip()))
        except (OSError, ValueError) as error:
            problems.append(f"kind {kind.name}: secrets: {path}: {error}")
    if problems:
        raise ConfigError(problems)
    return tuple(keys)


def read_secret(path: Path, field: str) -> bytes:
    """Read a shared key or password: a file's only line, without surrounding blanks. Raises ConfigError."""
    try:
        data = path.read_bytes().strip()
    except OSError as error:
        raise ConfigError([f"{field}: {path}: {error.strerror or error}"]) from None
    if not data or b"\n" in data:
        raise ConfigError([f"{field}: {path}: one line that is not empty is expected"])
    return data


def load_credentials(kind: KindModel, name: str, base: Path) -> Credentials:
    """Read a sender's credentials for a kind of forward destinations. Raises ConfigError."""
    field = f"kind {kind.name}"
    key = read_secret(base / kind.shared_key, f"{field}: shared_key") if kind.shared_key else b""
    password = read_secret(base / kind.password, f"{field}: password") if kind.password else b""
    return Credentials(kind.hostname or name, key, kind.username, password)


def load_peer_keys(peers: PeersModel, base: Path) -> list[bytes]:
    """Read the keys that authenticate messages between copies, newest first.

    Raises ConfigError with all problems; a key of fewer than 16 bytes could be guessed and is one.
    """
    keys: list[bytes] = []
    problems: list[str] = []
    for number, path in enumerate(peers.keys):
        field = f"peers.keys[{number}]"
        try:
            keys.append(read_secret(base / path, field))
            if len(keys[-1]) < MIN_PEER_KEY_BYTES:
                problems.append(f"{field}: {base / path}: a key has {MIN_PEER_KEY_BYTES} bytes or more")
        except ConfigError as error:
            problems += error.problems
    if problems:
        raise ConfigError(problems)
    return keys
