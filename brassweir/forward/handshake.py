"""HELO, PING and PONG, which prove the shared key (specification v1, "Handshake Messages"). No I/O."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

from msgpack import unpackb

from brassweir.forward.errors import ForwardError
from brassweir.forward.events import packed

MAX_FRAME_BYTES = 4096  # of any handshake message


def digest(salt: bytes, hostname: str, nonce: bytes, key: bytes) -> str:
    """Return SHA-512 over salt, hostname, nonce and key, which proves the key in both directions."""
    return hashlib.sha512(salt + hostname.encode() + nonce + key).hexdigest()


def password_digest(salt: bytes, username: str, password: bytes) -> str:
    """Return SHA-512 over the salt from HELO, the username and the password."""
    return hashlib.sha512(salt + username.encode() + password).hexdigest()


def equal_constant_time(left: str, right: str) -> bool:
    """Compare in constant time, against timing attacks."""
    return hmac.compare_digest(left.encode(), right.encode())


@dataclass(frozen=True, slots=True)
class Helo:
    """The server's first message. ``auth`` is the salt for passwords, empty if none is required."""

    nonce: bytes
    auth: bytes = b""
    keepalive: bool = True

    def encode(self) -> bytes:
        """Encode for the wire."""
        return packed(["HELO", {"nonce": self.nonce, "auth": self.auth, "keepalive": self.keepalive}])


@dataclass(frozen=True, slots=True)
class Ping:
    """The client's name and proof of the key."""

    hostname: str
    salt: bytes
    digest: str
    username: str = ""
    password: str = ""

    def encode(self) -> bytes:
        """Encode for the wire."""
        return packed(["PING", self.hostname, self.salt, self.digest, self.username, self.password])

    def proves(self, nonce: bytes, key: bytes) -> bool:
        """Whether it was made with this key and this connection's nonce."""
        return equal_constant_time(self.digest, digest(self.salt, self.hostname, nonce, key))


@dataclass(frozen=True, slots=True)
class Pong:
    """The server's decision and its own proof of the key."""

    accepted: bool
    reason: str
    hostname: str = ""
    digest: str = ""

    def encode(self) -> bytes:
        """Encode for the wire."""
        return packed(["PONG", self.accepted, self.reason, self.hostname, self.digest])

    def proves(self, salt: bytes, nonce: bytes, key: bytes) -> bool:
        """Whether the server knows the key."""
        return equal_constant_time(self.digest, digest(salt, self.hostname, nonce, key))


def ping(
    helo: Helo, hostname: str, salt: bytes, key: bytes, username: str = "", password: bytes = b""
) -> Ping:
    """Make the client's answer to a HELO; username and password are sent only if required."""
    proof = password_digest(helo.auth, username, password) if helo.auth else ""
    return Ping(hostname, salt, digest(salt, hostname, helo.nonce, key), username if helo.auth else "", proof)


def pong(ping_received: Ping, hostname: str, nonce: bytes, key: bytes) -> Pong:
    """Make the server's answer to a PING that proved this key."""
    return Pong(True, "", hostname, digest(ping_received.salt, hostname, nonce, key))


def read_helo(frame: bytes) -> Helo:
    """Read a HELO. Raises ForwardError if it is malformed."""
    parts = _read_array(frame, "HELO", 2, 2)
    options = parts[1]
    if not isinstance(options, dict):
        raise ForwardError("HELO: its options are no map")
    auth = options.get(b"auth") or b""
    nonce = options.get(b"nonce") or b""
    if not isinstance(auth, bytes) or not isinstance(nonce, bytes):
        raise ForwardError("HELO: nonce and auth are strings")
    return Helo(nonce, auth, options.get(b"keepalive") is not False)


def read_ping(frame: bytes) -> Ping:
    """Read a PING. Raises ForwardError if it is malformed."""
    parts = _read_array(frame, "PING", 6, 6)
    salt = parts[2]
    if not isinstance(salt, bytes):
        raise ForwardError("PING: the salt is no string")
    hostname, proof, username, password = (_text(parts[i], "PING") for i in (1, 3, 4, 5))
    return Ping(hostname, salt, proof, username, password)


def read_pong(frame: bytes) -> Pong:
    """Read a PONG. Raises ForwardError if it is malformed."""
    parts = _read_array(frame, "PONG", 5, 5)
    if not isinstance(parts[1], bool):
        raise ForwardError("PONG: its verdict is no boolean")
    reason, hostname, proof = (_text(parts[i], "PONG") for i in (2, 3, 4))
    return Pong(parts[1], reason, hostname, proof)


def _read_array(frame: bytes, name: str, min_parts: int, max_parts: int) -> list[Any]:
    if len(frame) > MAX_FRAME_BYTES:
        raise ForwardError(f"{name}: longer than {MAX_FRAME_BYTES} bytes")
    try:
        parts = unpackb(frame, raw=True, strict_map_key=False)
    except (ValueError, TypeError, RecursionError) as error:
        raise ForwardError(f"{name}: {error or type(error).__name__}") from None
    if not isinstance(parts, list) or not parts or parts[0] != name.encode():
        raise ForwardError(f"{name} is expected")
    if not min_parts <= len(parts) <= max_parts:
        raise ForwardError(f"{name}: {len(parts)} parts instead of {min_parts}")
    return parts


def _text(value: Any, name: str) -> str:
    if not isinstance(value, bytes):
        raise ForwardError(f"{name}: a part is no string")
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        raise ForwardError(f"{name}: a part is no UTF-8") from None
