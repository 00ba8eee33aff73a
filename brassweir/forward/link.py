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

MAX_REPLY_BYTES = 4096  # of one frame from a destination


@dataclass(frozen=True, slots=True)
class Credentials:
    """Our credentials at one kind of destinations. Without a key there is no handshake."""

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
        """Create a connection to the endpoint."""
        return ForwardLink(self, loop, self.credentials)


class ForwardLink(Connection):
    """One connection; a call on it sends one or more chunks, and each has its own ack."""

    def __init__(
        self, pool: ConnectionPool, loop: asyncio.AbstractEventLoop, credentials: Credentials
    ) -> None:
        super().__init__(pool, loop)
        self.credentials = credentials
        self.frames = Frames(MAX_REPLY_BYTES)
        self.frame_waiter: asyncio.Future[bytes] | None = None  # the handshake waits on it
        self.early_frames: list[bytes] = []
        self.acks: dict[str, asyncio.Future[None]] = {}
        self.previous_chunks: frozenset[str] = frozenset()  # of the call before
        self.keepalive = True

    # ---- the handshake

    async def perform_handshake(self) -> None:
        """Prove the shared key in both directions. Raises CallFailed if either side cannot."""
        credentials = self.credentials
        if not credentials.key:
            return
        salt = secrets.token_bytes(16)
        try:
            helo = handshake.read_helo(await self._next_frame())
            assert self.transport is not None
            self.transport.write(
                handshake.ping(
                    helo,
                    credentials.hostname,
                    salt,
                    credentials.key,
                    credentials.username,
                    credentials.password,
                ).encode()
            )
            pong = handshake.read_pong(await self._next_frame())
        except ForwardError as error:
            raise CallFailed(Stage.CONNECT, str(error)) from None
        if not pong.accepted:
            raise CallFailed(Stage.CONNECT, f"not let in: {pong.reason[:200]}")
        if not pong.proves(salt, helo.nonce, credentials.key):
            raise CallFailed(Stage.CONNECT, "it does not know the shared key")
        self.keepalive = helo.keepalive

    async def _next_frame(self) -> bytes:
        if self.early_frames:
            return self.early_frames.pop(0)
        if not self.usable:
            raise CallFailed(Stage.CONNECT, "closed during the handshake")
        self.frame_waiter = self.loop.create_future()
        return await self.frame_waiter

    # ---- chunks

    def send(self, chunk: str, data: bytes) -> asyncio.Future[None]:
        """Write one chunk; returns a future that completes with its ack or raises CallFailed.

        Raises CallFailed at once if the connection is closed. A chunk id already sent in this call is not
        written again.
        """
        assert self.transport is not None
        if self.transport.is_closing() or not self.usable:
            raise CallFailed(Stage.CONNECT, "connection closed before anything was written")
        waiting = self.acks.get(chunk)
        if waiting is None:
            waiting = self.acks[chunk] = self.loop.create_future()
            self.transport.write(data)
        return waiting

    def finish_call(self) -> None:
        """End the call.

        Drops the connection if acks are outstanding, so that a late ack cannot meet a later call, or if the
        server declined keepalive.
        """
        unacknowledged = any(not waiting.done() for waiting in self.acks.values())
        self.previous_chunks = frozenset(self.acks)
        self.acks.clear()
        if unacknowledged or not self.keepalive:
            self.drop()

    def fail(self, error: CallFailed) -> None:
        """Fail the handshake and all pending acks."""
        self.usable = False
        if self.frame_waiter is not None and not self.frame_waiter.done():
            self.frame_waiter.set_exception(CallFailed(Stage.CONNECT, error.reason))
        for waiting in self.acks.values():
            if not waiting.done():
                waiting.set_exception(error)
                waiting.exception()  # marks it as retrieved: its waiter may be gone

    def eof_received(self) -> bool:
        """Close the connection: after the peer's EOF no ack can arrive."""
        self.usable = False
        return False

    def data_received(self, data: bytes) -> None:
        """Process handshake messages and acks; anything else fails the connection."""
        try:
            self.frames.feed(data)
            while (frame := self.frames.next()) is not None:
                self._handle_frame(frame)
        except ForwardError as error:
            self.fail(CallFailed(Stage.GARBLED, str(error)))
            self.drop()

    def _handle_frame(self, frame: bytes) -> None:
        if self.frame_waiter is not None and not self.frame_waiter.done():
            self.frame_waiter.set_result(frame)
        elif not self.acks:
            # HELO may arrive before the handshake waits for it; any later frame is unsolicited.
            if self.frame_waiter is None and self.credentials.key and not self.early_frames:
                self.early_frames.append(frame)
            else:
                raise ForwardError("it says something unasked")
        else:
            self._handle_ack(message.read_ack(frame))

    def _handle_ack(self, chunk: str) -> None:
        """Complete a chunk. A second copy of an ack names its chunk, so it is passed over."""
        waiting = self.acks.get(chunk)
        if waiting is None and chunk in self.previous_chunks:
            self.keepalive = False
        elif waiting is None:
            raise ForwardError("an ack for a chunk that is not out")
        elif not waiting.done():
            waiting.set_result(None)
