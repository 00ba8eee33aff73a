"""Files that hold keys, certificates and passwords: read, with errors that name the field."""

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

SHORTEST_KEY = 16  # bytes of a key between copies: a shorter one can be guessed


def certificate(path: Path, field: str, problems: list[str]) -> x509.Certificate | None:
    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
        certificate.public_key()  # read only now, and may be anything
        return certificate
    except OSError as error:
        problems.append(f"{field}: {path}: {error.strerror or error}")
    except (ValueError, UnsupportedAlgorithm) as error:
        problems.append(f"{field}: {path}: no PEM certificate: {error}")
    return None


def private_key(path: Path, field: str, problems: list[str]) -> PrivateKey | None:
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


def secrets(kind: KindModel, base: Path) -> tuple[bytes, ...]:
    """The signing keys of a kind of webhooks. Raises ConfigError."""
    found, problems = [], []
    for path in kind.secrets:
        try:
            found.append(codec.parse_secret((base / path).read_text(encoding="ascii").strip()))
        except (OSError, ValueError) as error:
            problems.append(f"kind {kind.name}: secrets: {path}: {error}")
    if problems:
        raise ConfigError(problems)
    return tuple(found)


def secret_line(path: Path, field: str) -> bytes:
    """A shared key or password: a file's one line, without the blanks at its ends. Raises ConfigError."""
    try:
        data = path.read_bytes().strip()
    except OSError as error:
        raise ConfigError([f"{field}: {path}: {error.strerror or error}"]) from None
    if not data or b"\n" in data:
        raise ConfigError([f"{field}: {path}: one line that is not empty is expected"])
    return data


def credentials(kind: KindModel, name: str, base: Path) -> Credentials:
    """How a sender names itself to a kind of forward destinations. Raises ConfigError."""
    field = f"kind {kind.name}"
    key = secret_line(base / kind.shared_key, f"{field}: shared_key") if kind.shared_key else b""
    password = secret_line(base / kind.password, f"{field}: password") if kind.password else b""
    return Credentials(kind.hostname or name, key, kind.username, password)


def peer_keys(peers: PeersModel, base: Path) -> list[bytes]:
    """The keys that seal messages between copies, newest first. Raises ConfigError, all at once."""
    found: list[bytes] = []
    problems: list[str] = []
    for number, path in enumerate(peers.keys):
        field = f"peers.keys[{number}]"
        try:
            found.append(secret_line(base / path, field))
            if len(found[-1]) < SHORTEST_KEY:
                problems.append(f"{field}: {base / path}: a key has {SHORTEST_KEY} bytes or more")
        except ConfigError as error:
            problems += error.problems
    if problems:
        raise ConfigError(problems)
    return found
