"""Connections to forward destinations: the client's handshake, then chunks out and acks in."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass

from brassweir.forward import handshake, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.frames import Frames
from brassweir.net.address import Address
from brassweir.net.connection import CallFailed, Connection, Stage
from brassweir.net.pool import ConnectionPool
from brassweir.net.pool_manager import PoolManager

ANSWER = 4096  # bytes of anything a destination says


@dataclass(frozen=True, slots=True)
class Credentials:
    """How we name ourselves to a kind of destinations. Without a key no handshake is made."""

    hostname: str
    key: bytes = b""
    username: str = ""
    password: bytes = b""


class ForwardLinks(ConnectionPool):
    """Connections to one forward endpoint."""

    def __init__(self, address: Address, pools: PoolManager, credentials: Credentials) -> None:
        super().__init__(
            address,
            pools.limits,
            pools.connections_per_endpoint,
            pools.idle_ms,
            pools.connect_ms,
            limiter=pools,
        )
        self.credentials = credentials

    def new_connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        """A forward connection."""
        return ForwardLink(self, loop, self.credentials)


class ForwardLink(Connection):
    """One connection; a call on it is one or more chunks, each with an ack of its own."""

    def __init__(
        self, pool: ConnectionPool, loop: asyncio.AbstractEventLoop, credentials: Credentials
    ) -> None:
        super().__init__(pool, loop)
        self.credentials = credentials
        self.frames = Frames(ANSWER)
        self.said: asyncio.Future[bytes] | None = None  # what the handshake waits for
        self.early: list[bytes] = []
        self.acks: dict[str, asyncio.Future[None]] = {}
        self.keepalive = True

    # ---- the handshake

    async def perform_handshake(self) -> None:
        """Prove that both sides know the key; raises CallFailed where they do not."""
        own = self.credentials
        if not own.key:
            return
        salt = secrets.token_bytes(16)
        try:
            helo = handshake.read_helo(await self._hear())
            assert self.transport is not None
            self.transport.write(
                handshake.ping(helo, own.hostname, salt, own.key, own.username, own.password).encode()
            )
            pong = handshake.read_pong(await self._hear())
        except ForwardError as error:
            raise CallFailed(Stage.CONNECT, str(error)) from None
        if not pong.good:
            raise CallFailed(Stage.CONNECT, f"not let in: {pong.reason[:200]}")
        if not pong.proves(salt, helo.nonce, own.key):
            raise CallFailed(Stage.CONNECT, "it does not know the shared key")
        self.keepalive = helo.keepalive

    async def _hear(self) -> bytes:
        if self.early:
            return self.early.pop(0)
        if not self.usable:
            raise CallFailed(Stage.CONNECT, "closed during the handshake")
        self.said = self.loop.create_future()
        return await self.said

    # ---- chunks

    def send(self, chunk: str, data: bytes) -> asyncio.Future[None]:
        """Write one chunk; the future ends with its ack, or raises CallFailed."""
        assert self.transport is not None
        if self.transport.is_closing() or not self.usable:
            raise CallFailed(Stage.CONNECT, "connection closed before anything was written")
        waiting = self.acks.get(chunk)
        if waiting is None:
            waiting = self.acks[chunk] = self.loop.create_future()
            self.transport.write(data)
        return waiting

    def ended(self) -> None:
        """The call is over; with acks outstanding, or where the server takes one call only, so is the
        link."""
        left = any(not waiting.done() for waiting in self.acks.values())
        self.acks.clear()
        if left or not self.keepalive:
            self.drop()

    def fail(self, error: CallFailed) -> None:
        """End what waits."""
        self.usable = False
        if self.said is not None and not self.said.done():
            self.said.set_exception(CallFailed(Stage.CONNECT, error.reason))
        for waiting in self.acks.values():
            if not waiting.done():
                waiting.set_exception(error)
                waiting.exception()  # it may have nobody any more who asks for it

    def eof_received(self) -> bool:
        """The peer sends no more: no ack can come."""
        self.usable = False
        return False

    def data_received(self, data: bytes) -> None:
        """Take acks, and the handshake's messages; all else ends the connection."""
        try:
            self.frames.feed(data)
            while (frame := self.frames.next()) is not None:
                self._heard(frame)
        except ForwardError as error:
            self.fail(CallFailed(Stage.GARBLED, str(error)))
            self.drop()

    def _heard(self, frame: bytes) -> None:
        if self.said is not None and not self.said.done():
            self.said.set_result(frame)
        elif not self.acks:
            # Before a first call this is a handshake that is quicker than we; later nobody waits for it.
            if self.said is None and self.credentials.key and not self.early:
                self.early.append(frame)
            else:
                raise ForwardError("it says something unasked")
        else:
            waiting = self.acks.get(message.read_ack(frame))
            if waiting is None:
                raise ForwardError("an ack for a chunk that is not out")
            if not waiting.done():
                waiting.set_result(None)
