"""The server's side of one connection, from HELO to the last chunk, as a state machine. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from brassweir.forward import handshake, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.frames import Frames
from brassweir.forward.message import Message


@dataclass(frozen=True, slots=True)
class Admitted:
    """The source is authenticated; ``reply`` is the PONG to send."""

    source: str
    reply: bytes


@dataclass(frozen=True, slots=True)
class Denied:
    """Authentication failed; send ``reply``, the PONG, and close the connection."""

    reason: str
    reply: bytes


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A complete message of ``size`` bytes. ``message`` is None for a heartbeat."""

    message: Message | None
    size: int


class Authenticator(Protocol):
    """The keys and passwords of sources."""

    def keys(self, source: str) -> tuple[bytes, ...]:
        """The shared keys of a source, newest first; none if it is unknown."""

    def password(self, source: str, username: str) -> bytes | None:
        """The password of a user of a source; None if there is no such user."""

    def needs_user(self) -> bool:
        """Whether sources must give a username and a password."""


class Session:
    """One connection. ``nonce`` and ``salt`` are fresh random bytes; ``max_bytes`` bounds a message."""

    def __init__(
        self, authenticator: Authenticator, hostname: str, nonce: bytes, salt: bytes, max_bytes: int
    ) -> None:
        self.authenticator, self.hostname, self.nonce, self.max_bytes = (
            authenticator,
            hostname,
            nonce,
            max_bytes,
        )
        self.salt = salt if authenticator.needs_user() else b""
        # An unauthenticated peer can make us buffer no more than this.
        self.frames = Frames(handshake.MAX_FRAME_BYTES)
        self.source = ""

    def hello(self) -> bytes:
        """Return the encoded HELO, the server's first message."""
        return handshake.Helo(self.nonce, self.salt).encode()

    def feed(self, data: bytes) -> None:
        """Buffer received bytes. Raises ForwardError if a value exceeds 2 GiB."""
        self.frames.feed(data)

    def events(self) -> Iterator[Admitted | Denied | ReceivedMessage]:
        """Yield what is complete in the bytes so far. After ForwardError the connection must be closed."""
        while (frame := self.frames.next()) is not None:
            if self.source:
                if frame == message.NIL:
                    yield ReceivedMessage(None, len(frame))
                else:
                    yield ReceivedMessage(message.read(frame), len(frame))
                continue
            verdict = self._admit(frame)
            yield verdict
            if isinstance(verdict, Denied):
                return

    def _admit(self, frame: bytes) -> Admitted | Denied:
        try:
            ping = handshake.read_ping(frame)
        except ForwardError as error:
            return self._denied(str(error))
        # An unknown source costs the same work and gets the same reply as a wrong key.
        keys = self.authenticator.keys(ping.hostname)
        matching_keys = [key for key in keys or (b"",) if ping.proves(self.nonce, key)]
        if not keys or not matching_keys:
            return self._denied("shared key mismatch", ping.hostname)
        if self.salt:
            password = self.authenticator.password(ping.hostname, ping.username)
            expected = handshake.password_digest(self.salt, ping.username, password or b"")
            if password is None or not handshake.equal_constant_time(expected, ping.password):
                return self._denied("username/password mismatch", ping.hostname)
        self.source = ping.hostname
        self.frames.max_bytes = self.max_bytes
        return Admitted(
            self.source, handshake.pong(ping, self.hostname, self.nonce, matching_keys[0]).encode()
        )

    def _denied(self, reason: str, hostname: str = "") -> Denied:
        detail = f"{reason} ({hostname[:120]!r})" if hostname else reason
        return Denied(detail, handshake.Pong(False, reason).encode())
