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
    """The source has proved who it is; ``say`` tells it so."""

    source: str
    say: bytes


@dataclass(frozen=True, slots=True)
class Denied:
    """It has not; ``say`` tells it so, and the connection is to be closed."""

    reason: str
    say: bytes


@dataclass(frozen=True, slots=True)
class Came:
    """A whole message of ``size`` bytes. ``message`` is None for a heartbeat."""

    message: Message | None
    size: int


class Gatekeeper(Protocol):
    """Who may come in."""

    def keys(self, source: str) -> tuple[bytes, ...]:
        """The shared keys of a source, newest first; none if it is unknown."""

    def password(self, source: str, username: str) -> bytes | None:
        """The password of a user of a source; None if there is no such user."""

    def needs_user(self) -> bool:
        """Must sources give a username and a password?"""


class Session:
    """One connection. ``nonce`` and ``salt`` are fresh random bytes; ``most`` bounds a message in bytes."""

    def __init__(self, gate: Gatekeeper, hostname: str, nonce: bytes, salt: bytes, most: int) -> None:
        self.gate, self.hostname, self.nonce, self.most = gate, hostname, nonce, most
        self.salt = salt if gate.needs_user() else b""
        # Before it has proved who it is, a peer gets no room worth the name.
        self.frames = Frames(handshake.LONGEST)
        self.source = ""

    def hello(self) -> bytes:
        """What the server says first."""
        return handshake.Helo(self.nonce, self.salt).encode()

    def feed(self, data: bytes) -> None:
        """Take bytes as they come."""
        self.frames.feed(data)

    def events(self) -> Iterator[Admitted | Denied | Came]:
        """What the bytes so far make. Raises ForwardError, after which the connection can only be closed."""
        while (frame := self.frames.next()) is not None:
            if self.source:
                if frame == message.NIL:
                    yield Came(None, len(frame))
                else:
                    yield Came(message.read(frame), len(frame))
                continue
            verdict = self._admit(frame)
            yield verdict
            if isinstance(verdict, Denied):
                return

    def _admit(self, frame: bytes) -> Admitted | Denied:
        try:
            given = handshake.read_ping(frame)
        except ForwardError as error:
            return self._denied(str(error))
        # An unknown source is told the same as one with a wrong key, after the same work.
        keys = self.gate.keys(given.hostname)
        found = [key for key in keys or (b"",) if given.proves(self.nonce, key)]
        if not keys or not found:
            return self._denied("shared key mismatch", given.hostname)
        if self.salt:
            password = self.gate.password(given.hostname, given.username)
            expected = handshake.password_digest(self.salt, given.username, password or b"")
            if password is None or not handshake.same(expected, given.password):
                return self._denied("username/password mismatch", given.hostname)
        self.source = given.hostname
        self.frames.most = self.most
        return Admitted(self.source, handshake.pong(given, self.hostname, self.nonce, found[0]).encode())

    def _denied(self, reason: str, who: str = "") -> Denied:
        words = f"{reason} ({who[:120]!r})" if who else reason
        return Denied(words, handshake.Pong(False, reason).encode())
