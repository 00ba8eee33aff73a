"""HELO, PING, PONG: do both know the key (specification v1, "Handshake Messages"). No I/O."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

from msgpack import unpackb

from brassweir.forward.errors import ForwardError
from brassweir.forward.events import packed

LONGEST = 4096  # bytes of any handshake message


def digest(salt: bytes, hostname: str, nonce: bytes, key: bytes) -> str:
    """SHA-512 over salt, hostname, nonce and key: what proves the key in both directions."""
    return hashlib.sha512(salt + hostname.encode() + nonce + key).hexdigest()


def password_digest(salt: bytes, username: str, password: bytes) -> str:
    """SHA-512 over the salt that HELO gave, the username and the password."""
    return hashlib.sha512(salt + username.encode() + password).hexdigest()


def same(one: str, other: str) -> bool:
    """Compare in a time that tells nothing."""
    return hmac.compare_digest(one.encode(), other.encode())


@dataclass(frozen=True, slots=True)
class Helo:
    """The server begins. ``auth`` is the salt for passwords, empty if none is asked for."""

    nonce: bytes
    auth: bytes = b""
    keepalive: bool = True

    def encode(self) -> bytes:
        """As it goes over the wire."""
        return packed(["HELO", {"nonce": self.nonce, "auth": self.auth, "keepalive": self.keepalive}])


@dataclass(frozen=True, slots=True)
class Ping:
    """The client names itself and proves the key."""

    hostname: str
    salt: bytes
    digest: str
    username: str = ""
    password: str = ""

    def encode(self) -> bytes:
        """As it goes over the wire."""
        return packed(["PING", self.hostname, self.salt, self.digest, self.username, self.password])

    def proves(self, nonce: bytes, key: bytes) -> bool:
        """Was it made with this key, for this connection?"""
        return same(self.digest, digest(self.salt, self.hostname, nonce, key))


@dataclass(frozen=True, slots=True)
class Pong:
    """The server's verdict, and its own proof."""

    good: bool
    reason: str
    hostname: str = ""
    digest: str = ""

    def encode(self) -> bytes:
        """As it goes over the wire."""
        return packed(["PONG", self.good, self.reason, self.hostname, self.digest])

    def proves(self, salt: bytes, nonce: bytes, key: bytes) -> bool:
        """Does the server know the key as well?"""
        return same(self.digest, digest(salt, self.hostname, nonce, key))


def ping(
    helo: Helo, hostname: str, salt: bytes, key: bytes, username: str = "", password: bytes = b""
) -> Ping:
    """The client's answer to a HELO; a password is told only where one is asked for."""
    proof = password_digest(helo.auth, username, password) if helo.auth else ""
    return Ping(hostname, salt, digest(salt, hostname, helo.nonce, key), username if helo.auth else "", proof)


def pong(given: Ping, hostname: str, nonce: bytes, key: bytes) -> Pong:
    """The server's answer to a PING that proved this key."""
    return Pong(True, "", hostname, digest(given.salt, hostname, nonce, key))


def read_helo(frame: bytes) -> Helo:
    """Read a HELO. Raises ForwardError."""
    tree = _array(frame, "HELO", 2, 2)
    options = tree[1]
    if not isinstance(options, dict):
        raise ForwardError("HELO: its options are no map")
    auth = options.get(b"auth") or b""
    nonce = options.get(b"nonce") or b""
    if not isinstance(auth, bytes) or not isinstance(nonce, bytes):
        raise ForwardError("HELO: nonce and auth are strings")
    return Helo(nonce, auth, options.get(b"keepalive") is not False)


def read_ping(frame: bytes) -> Ping:
    """Read a PING. Raises ForwardError."""
    tree = _array(frame, "PING", 6, 6)
    salt = tree[2]
    if not isinstance(salt, bytes):
        raise ForwardError("PING: the salt is no string")
    hostname, proof, username, password = (_text(tree[i], "PING") for i in (1, 3, 4, 5))
    return Ping(hostname, salt, proof, username, password)


def read_pong(frame: bytes) -> Pong:
    """Read a PONG. Raises ForwardError."""
    tree = _array(frame, "PONG", 5, 5)
    if not isinstance(tree[1], bool):
        raise ForwardError("PONG: its verdict is no boolean")
    reason, hostname, proof = (_text(tree[i], "PONG") for i in (2, 3, 4))
    return Pong(tree[1], reason, hostname, proof)


def _array(frame: bytes, name: str, least: int, most: int) -> list[Any]:
    if len(frame) > LONGEST:
        raise ForwardError(f"{name}: longer than {LONGEST} bytes")
    try:
        tree = unpackb(frame, raw=True, strict_map_key=False)
    except (ValueError, TypeError, RecursionError) as error:
        raise ForwardError(f"{name}: {error or type(error).__name__}") from None
    if not isinstance(tree, list) or not tree or tree[0] != name.encode():
        raise ForwardError(f"{name} is expected")
    if not least <= len(tree) <= most:
        raise ForwardError(f"{name}: {len(tree)} parts instead of {least}")
    return tree


def _text(value: Any, name: str) -> str:
    if not isinstance(value, bytes):
        raise ForwardError(f"{name}: a part is no string")
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        raise ForwardError(f"{name}: a part is no UTF-8") from None
